// Package estimator learns the speed of the engines of one service from the times that
// their responses took. It starts no goroutines, opens no sockets and reads no clock.
package estimator

import "time"

// MinSamples is the number of usable samples from which on a speed is known.
const MinSamples = 50

// minOwnShare is the share of the tokens of a sample that must be the request's own. How
// many other instances have queued is known up to 400 ms late.
const minOwnShare = 0.8

// Sample is the time to the first event of one request at an engine that works at its
// normal speed.
type Sample struct {
	// Uncached is how many tokens of the request's own prompt had to be prefilled, and
	// Queued how many others were believed to be prefilled before them.
	Uncached, Queued int64
	// FirstEvent is the time from sending the request to its first event.
	FirstEvent time.Duration
}

// Output is the output of one request, after its first event, at an engine that works at
// its normal speed.
type Output struct {
	Tokens int64
	// Running is the mean number of requests that the engine ran, this one included.
	Running float64
	// Duration is the time that the engine spent on decoding steps meanwhile.
	Duration time.Duration
}

// Prefill is the speed at which engines prefill prompts: the time to the first event of an
// idle engine is Fixed plus the uncached tokens over TokensPerMs.
type Prefill struct {
	// TokensPerMs is the effective rate: it includes the decoding steps between two chunks.
	TokensPerMs float64
	Fixed       time.Duration
}

// Step is the duration of a decoding step: Base plus PerRequest for each running request.
type Step struct {
	Base, PerRequest time.Duration
}

// At returns the duration of a step with some running requests.
func (s Step) At(running float64) time.Duration {
	return s.Base + time.Duration(running*float64(s.PerRequest))
}

// Model is the learned speed of the engines of one service. The zero value has learned
// nothing. It is not safe for concurrent use.
type Model struct {
	prefill, step line
}

// Observe learns from the time to a first event. It ignores samples in which other requests
// have much of the tokens, and impossible ones.
func (m *Model) Observe(sample Sample) {
	if sample.Uncached < 0 || sample.Queued < 0 || sample.FirstEvent <= 0 {
		return
	}
	total := float64(sample.Uncached) + float64(sample.Queued)
	if float64(sample.Uncached) < minOwnShare*total {
		return
	}
	m.prefill.observe(total, sample.FirstEvent.Seconds()*1000)
}

// ObserveOutput learns from an output.
func (m *Model) ObserveOutput(output Output) {
	if output.Tokens <= 0 || output.Running < 0 || output.Duration <= 0 {
		return
	}
	m.step.observe(output.Running, output.Duration.Seconds()*1000/float64(output.Tokens))
}

// Prefill returns the learned speed of prefills. It returns false while there are fewer than
// MinSamples, or if their sizes have not differed enough yet.
func (m *Model) Prefill() (Prefill, bool) {
	if !m.prefill.fitted {
		return Prefill{}, false
	}
	return Prefill{TokensPerMs: 1 / m.prefill.slope, Fixed: milliseconds(max(m.prefill.intercept, 0))}, true
}

// Step returns the learned duration of a decoding step. While there are fewer than
// MinSamples that is the given one. If the number of running requests has not differed
// enough to learn the growth by it, the given step is scaled to the observed ones.
func (m *Model) Step(given Step) Step {
	switch {
	case m.step.fitted && m.step.intercept > 0:
		return Step{Base: milliseconds(m.step.intercept), PerRequest: milliseconds(m.step.slope)}
	case m.step.count < MinSamples || given.At(m.step.medianX) <= 0:
		return given
	}
	scale := m.step.medianY / (given.At(m.step.medianX).Seconds() * 1000)
	return Step{Base: time.Duration(scale * float64(given.Base)), PerRequest: time.Duration(scale * float64(given.PerRequest))}
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
