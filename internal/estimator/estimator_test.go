package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/emulator"
)

var assumed = Step{Base: 4 * time.Millisecond, PerRequest: 100 * time.Microsecond}

// play offers an emulated engine requests of two sizes at random times until count of them
// have ended, and has a model learn from them. It returns predicted over observed times.
func play(m *Model, spec emulator.Spec, interval time.Duration, count int) (ratios []float64) {
	type request struct {
		uncached, queued, output int64
		sentAt, firstAt          time.Time
		running                  int
	}
	random := rand.New(rand.NewPCG(1, 2))
	engine := emulator.New(spec)
	requests, queued := map[uint64]*request{}, int64(0)
	next := time.Unix(0, 0)
	for id := uint64(1); count > 0; {
		if wake, busy := engine.NextWake(); busy && wake.Before(next) {
			for _, event := range engine.Advance(wake) {
				r := requests[event.ID]
				running, _ := engine.Load()
				if r.firstAt.IsZero() {
					r.firstAt, r.running = event.At, running
					queued -= r.uncached
					speed, known := m.Prefill()
					if known && r.queued == 0 {
						predicted := speed.Fixed.Seconds()*1000 + float64(r.uncached)/speed.TokensPerMs
						ratios = append(ratios, predicted/(event.At.Sub(r.sentAt).Seconds()*1000))
					}
					m.Observe(Sample{Uncached: r.uncached, Queued: r.queued, FirstEvent: event.At.Sub(r.sentAt)})
				}
				if event.Last {
					count--
					m.ObserveOutput(Output{Tokens: r.output - 1, Running: float64(r.running+running) / 2, Duration: event.At.Sub(r.firstAt)})
				}
			}
			continue
		}
		now := next
		r := &request{uncached: 500 + random.Int64N(300), queued: queued, output: 200 + random.Int64N(100), sentAt: now}
		if random.IntN(3) == 0 {
			r.uncached, r.output = 2500+random.Int64N(800), 40
		}
		if engine.Submit(now, emulator.Job{ID: id, Parts: []emulator.PromptPart{{ID: id, Tokens: r.uncached}}, OutputTokens: r.output}) {
			requests[id] = r
			queued += r.uncached
		}
		engine.Advance(now)
		next = now.Add(time.Duration(random.ExpFloat64() * float64(interval)))
		id++
	}
	return ratios
}

// TestModelConvergesOnEmulatedEngines guards against predictions by the figures of one
// engine: the model must learn those of engines that differ by a factor of four.
func TestModelConvergesOnEmulatedEngines(t *testing.T) {
	fast := emulator.Spec{
		Slots: 64, QueueLimit: 134, StepTime: 3900 * time.Microsecond, StepTimePerRequest: 47 * time.Microsecond,
		PrefillRate: 92_000, PrefillChunk: 1024, PrefillDelay: 53 * time.Millisecond, Memory: 355_000, TokensPerEvent: 7,
	}
	slow := emulator.Spec{
		Slots: 16, QueueLimit: 30, StepTime: 11 * time.Millisecond, StepTimePerRequest: 400 * time.Microsecond,
		PrefillRate: 23_000, PrefillChunk: 512, PrefillDelay: 20 * time.Millisecond, Memory: 200_000, TokensPerEvent: 4,
	}
	cases := []struct {
		name     string
		spec     emulator.Spec
		interval time.Duration
	}{
		{"fast, idle", fast, 400 * time.Millisecond}, {"fast, busy", fast, 50 * time.Millisecond},
		{"slow, idle", slow, 1600 * time.Millisecond}, {"slow, busy", slow, 400 * time.Millisecond},
	}
	for _, c := range cases {
		m := &Model{}
		ratios := play(m, c.spec, c.interval, 600)
		speed, known := m.Prefill()
		assert.Assert(t, known, c.name)
		chunk := float64(c.spec.PrefillChunk)
		ideal := chunk / (chunk*1000/c.spec.PrefillRate + c.spec.StepTime.Seconds()*1000)
		slices.Sort(ratios)
		low, middle, high := ratios[len(ratios)/20], ratios[len(ratios)/2], ratios[len(ratios)*19/20]
		step := m.Step(assumed)
		at := c.spec.StepTime + 2*c.spec.StepTimePerRequest
		t.Logf("%s: %.1f tokens/ms (ideal %.1f), fixed %v, step %v, ratios %.2f %.2f %.2f", c.name, speed.TokensPerMs, ideal, speed.Fixed, step, low, middle, high)
		assert.Assert(t, speed.TokensPerMs > 0.6*ideal && speed.TokensPerMs < 1.15*ideal, "%s: %.1f tokens/ms, %.1f at best", c.name, speed.TokensPerMs, ideal)
		assert.Assert(t, middle > 0.85 && middle < 1.15, "%s: ratio %.2f", c.name, middle)
		assert.Assert(t, step.At(2) > at*8/10 && step.At(2) < at*2, "%s: step %v, want %v", c.name, step.At(2), at)
	}
}

// observeAll has a model learn from samples with a rate of 50 tokens/ms after 40 ms.
func observeAll(count int, size func(i int) int64, disturb func(i int, took time.Duration) time.Duration) *Model {
	m := &Model{}
	for i := range count {
		uncached := size(i)
		took := 40*time.Millisecond + time.Duration(uncached)*time.Millisecond/50
		m.Observe(Sample{Uncached: uncached, FirstEvent: disturb(i, took)})
	}
	return m
}

// TestOutliersDoNotDecide guards against a rate that a fifth of the samples decides, as when
// requests are preempted, or prompts believed to be uncached are cached.
func TestOutliersDoNotDecide(t *testing.T) {
	sizes := func(i int) int64 { return int64(300 + i*7919%3000) }
	for name, outlier := range map[string]time.Duration{"slow": 8 * time.Second, "instant": time.Millisecond} {
		m := observeAll(400, sizes, func(i int, took time.Duration) time.Duration {
			if i%5 == 2 {
				return outlier
			}
			return took + time.Duration(i*31%7)*time.Millisecond
		})
		speed, known := m.Prefill()
		assert.Assert(t, known && math.Abs(speed.TokensPerMs-50) < 10, "%s: %+v", name, speed)
		assert.Assert(t, speed.Fixed > 25*time.Millisecond && speed.Fixed < 65*time.Millisecond, "%s: %+v", name, speed)
	}
}

// TestRateNeedsSpread guards against a wild rate from a workload whose sizes hardly differ,
// or whose sizes do not show in the noise, and against one that is known too early.
func TestRateNeedsSpread(t *testing.T) {
	noise := func(i int, took time.Duration) time.Duration { return took + time.Duration(i*37%23)*time.Millisecond }
	wide := func(i int) int64 { return int64(300 + i*7919%3000) }
	cases := []struct {
		name  string
		count int
		size  func(i int) int64
		known bool
	}{
		{"constant", 500, func(int) int64 { return 800 }, false},
		{"nothing uncached", 500, func(int) int64 { return 0 }, false},
		{"nearly constant", 500, func(i int) int64 { return int64(800 + i%9) }, false},
		{"lost in the noise", 500, func(i int) int64 { return int64(1 + i%9) }, false},
		{"too few", MinSamples - 1, wide, false},
		{"enough", MinSamples, wide, true},
	}
	for _, c := range cases {
		speed, known := observeAll(c.count, c.size, noise).Prefill()
		assert.Equal(t, known, c.known, fmt.Sprintf("%s: %+v", c.name, speed))
	}
	// A rate that is known is kept when the sizes become constant.
	m := observeAll(200, wide, noise)
	before, _ := m.Prefill()
	for i := range 500 {
		m.Observe(Sample{Uncached: 800, FirstEvent: noise(i, 56*time.Millisecond)})
		speed, _ := m.Prefill()
		assert.Assert(t, math.Abs(speed.TokensPerMs-50) < 15, "after %d: %+v", i, speed)
	}
	after, known := m.Prefill()
	assert.Assert(t, known && math.Abs(after.TokensPerMs-50) < 10, "%+v, then %+v", before, after)
	assert.Assert(t, after.Fixed > 40*time.Millisecond && after.Fixed < 62*time.Millisecond, "%+v", after)
}

// TestUnusableSamplesAreIgnored guards against a rate that is learned from the queues of
// others, and against impossible samples.
func TestUnusableSamplesAreIgnored(t *testing.T) {
	m := &Model{}
	for i := range 200 {
		size := int64(1000 + i*10)
		m.Observe(Sample{Uncached: size, Queued: size/4 + 10, FirstEvent: time.Second})
		m.Observe(Sample{Uncached: -size, FirstEvent: time.Second})
		m.Observe(Sample{Uncached: size})
		m.ObserveOutput(Output{Tokens: 0, Running: 3, Duration: time.Second})
		m.ObserveOutput(Output{Tokens: 9, Running: 3})
	}
	_, known := m.Prefill()
	assert.Assert(t, !known)
	assert.Equal(t, m.Step(assumed), assumed)
}

// TestStepWithoutSpreadIsScaled guards against a wild growth by running requests when their
// number is always about the same.
func TestStepWithoutSpreadIsScaled(t *testing.T) {
	m := &Model{}
	for i := range 200 {
		m.ObserveOutput(Output{Tokens: 100, Running: 10, Duration: time.Second + time.Duration(i%5)*time.Millisecond})
	}
	step := m.Step(assumed)
	assert.Assert(t, step.At(10) > 9900*time.Microsecond && step.At(10) < 10_200*time.Microsecond, "%+v", step)
	assert.Assert(t, step.Base > 7*time.Millisecond && step.PerRequest > 150*time.Microsecond, "%+v", step)
}
