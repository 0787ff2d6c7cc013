package placer

import (
	"time"

	"github.com/boragehead/boragehead/internal/estimator"
)

// serviceSpeed is the learned speed of the engines of a service. A nil one has learned
// nothing.
type serviceSpeed struct {
	model estimator.Model
	// reports means that a server of the service reports its slowdown. Times can only be
	// learned from then on, since they would be those of slow phases otherwise.
	reports bool
	// learned means that prefill and step are used instead of the assumed performance.
	learned bool
	prefill estimator.Prefill
	step    estimator.Step
	// latencyRatio is the mean of the servers that report their slowdown; 0 if none does.
	latencyRatio float64
}

// speedSample is what is learned from a placement.
type speedSample struct {
	// usable means that the server had a free slot and copied nothing.
	usable bool
	// learned means that the prediction was made with a learned speed.
	learned bool
	// uncached and queued are the tokens to prefill, and those before them.
	uncached, queued int64
	firstEventAt     time.Time
	firstEvent       time.Duration
	// slowdown, running and decodingShare are those at the first event; slowdown is 0 if it
	// is not known.
	slowdown, decodingShare float64
	running                 int32
}

// assumedStep is the time of a decoding step that is assumed until it has been learned.
var assumedStep = estimator.Step{Base: decodeStepTime, PerRequest: decodeTimePerRequest}

func (d *serviceSpeed) isLearned() bool {
	return d != nil && d.learned
}

// prefillTime predicts how long an engine of the service takes to prefill some tokens while
// it also decodes a batch of running requests.
func (d *serviceSpeed) prefillTime(tokens int64, running int32) time.Duration {
	if !d.isLearned() {
		return prefillTime(tokens, running)
	}
	return time.Duration(float64(max(tokens, 0)) / d.prefill.TokensPerMs * float64(time.Millisecond))
}

func (s *server) prefillTime(tokens int64, running int32) time.Duration {
	return s.speed.prefillTime(tokens, running)
}

// firstEventOverhead returns the part of the time to the first event that does not depend
// on the prompt.
func (s *server) firstEventOverhead() time.Duration {
	if !s.speed.isLearned() {
		return firstEventOverhead
	}
	return s.speed.prefill.Fixed
}

// prefillTokensPerMs returns how many tokens an engine prefills in a millisecond at most.
func (s *server) prefillTokensPerMs() float64 {
	if !s.speed.isLearned() {
		return prefillTokensPerMs
	}
	return s.speed.prefill.TokensPerMs
}

// stepTime predicts the time of a decoding step with some running requests.
func (s *server) stepTime(running int32) time.Duration {
	if !s.speed.isLearned() {
		return decodeStepTime + time.Duration(running)*decodeTimePerRequest
	}
	return s.speed.step.At(float64(running))
}

// newSpeedSample returns the sample of a placement on an engine.
func (s *server) newSpeedSample(uncached int64, best candidate) speedSample {
	total := s.totalLoad()
	return speedSample{
		usable: s.isEngine && best.copySource == nil && int(total.Running) < s.Slots, learned: s.speed.isLearned(),
		uncached: max(uncached, 0), queued: max(total.PrefillTokens, 0),
	}
}

// recordFirstEvent completes a sample with what was observed at the first event.
func (d *speedSample) recordFirstEvent(now time.Time, s *server, took time.Duration) {
	d.firstEventAt, d.firstEvent = now, took
	d.running, d.decodingShare, d.slowdown = s.totalLoad().Running, s.decodingShare(now), s.slowdowns.factor(now)
}

// RecordOutput records that the response to a placed request was a stream of some events,
// the last of which has just arrived. It must be called before Finish, and teaches the speed
// of the service and the length of such outputs. It ignores unknown IDs and requests whose first event is not recorded.
func (p *Placer) RecordOutput(now time.Time, id uint64, events int) {
	placed, known := p.placementsByID[id]
	if !known || !placed.firstEventSeen || events <= 0 {
		return
	}
	s, listed := p.serversByName[placed.start.name]
	if !listed || s.start() != placed.start || s.speed == nil {
		return
	}
	p.recordLength(placed, int64(events)*s.eventTokens)
	if !placed.speed.usable || !s.speed.reports || !s.slowdowns.reports {
		return
	}
	sample := &placed.speed
	s.speed.model.Observe(estimator.Sample{
		Uncached: sample.uncached, Queued: sample.queued,
		FirstEvent: time.Duration(float64(sample.firstEvent) / meanFactor(placed.slowdown, sample.slowdown)),
	})
	if events >= minStepEvents {
		share := (sample.decodingShare + s.decodingShare(now)) / 2
		took := float64(now.Sub(sample.firstEventAt)) * share / meanFactor(sample.slowdown, s.slowdowns.factor(now))
		s.speed.model.ObserveOutput(estimator.Output{
			Tokens: int64(events-1) * s.eventTokens, Running: float64(sample.running+s.totalLoad().Running) / 2, Duration: time.Duration(took),
		})
	}
	p.updateSpeed(s.Service)
}

// minStepEvents is the fewest events from which the time of a decoding step is learned: the
// last event may be short.
const minStepEvents = 5

// meanFactor returns the mean of two slowdown factors. One that is 0 is not known; if neither
// is, the mean is 1.
func meanFactor(a, b float64) float64 {
	switch {
	case a == 0 && b == 0:
		return 1
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return (a + b) / 2
}

// speedOf returns the speed of a service, which is created at its first use.
func (p *Placer) speedOf(service string) *serviceSpeed {
	if p.speeds == nil {
		p.speeds = map[string]*serviceSpeed{}
	}
	if p.speeds[service] == nil {
		p.speeds[service] = &serviceSpeed{}
	}
	return p.speeds[service]
}

// updateSpeeds updates the speeds of all services, and forgets those that have no servers.
func (p *Placer) updateSpeeds() {
	hasServers := map[string]bool{}
	for _, s := range p.serversByName {
		hasServers[s.Service] = true
	}
	for service := range p.speeds {
		if !hasServers[service] {
			delete(p.speeds, service)
			continue
		}
		p.updateSpeed(service)
	}
}

// updateSpeed takes over what has been learned of a service. When the predictions change
// between assumed and learned performance, the latency ratios of its servers start again.
func (p *Placer) updateSpeed(service string) {
	speed := p.speeds[service]
	if speed == nil {
		return
	}
	speed.reports = false
	sum, count := 0.0, 0
	for _, s := range p.serversByName {
		if s.Service == service && s.slowdowns.reports {
			speed.reports = true
			sum, count = sum+s.latencyRatio, count+1
		}
	}
	speed.latencyRatio = sum / float64(max(count, 1))
	prefill, learned := speed.model.Prefill()
	learned = learned && speed.reports
	speed.prefill, speed.step = prefill, speed.model.Step(assumedStep)
	if learned == speed.learned {
		return
	}
	speed.learned = learned
	for _, s := range p.serversByName {
		if s.Service == service {
			s.latencyRatio = 1
		}
	}
}
