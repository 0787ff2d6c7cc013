package estimator

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/emulator"
)

var assumed = Step{Base: 4 * time.Millisecond, PerRequest: 100 * time.Microsecond}

// play offers an emulated engine 600 requests of two sizes at random times, and has a model
// learn from them. It returns predicted over observed times of requests without a queue.
func play(m *Model, spec emulator.Spec, interval time.Duration) (ratios []float64) {
	random, engine := rand.New(rand.NewPCG(1, 2)), emulator.New(spec)
	samples, sentAt, firstAt := map[uint64]*Sample{}, map[uint64]time.Time{}, map[uint64]time.Time{}
	jobs, queued, next := map[uint64]emulator.Job{}, int64(0), time.Unix(0, 0)
	for id := uint64(1); id <= 600; {
		if wake, busy := engine.NextWake(); busy && wake.Before(next) {
			for _, event := range engine.Advance(wake) {
				if sample := samples[event.ID]; sample.FirstEvent == 0 {
					firstAt[event.ID], sample.FirstEvent = event.At, event.At.Sub(sentAt[event.ID])
					queued -= sample.Uncached
					if speed, known := m.Prefill(); known && sample.Queued == 0 {
						predicted := speed.Fixed.Seconds() + float64(sample.Uncached)/speed.TokensPerMs/1000
						ratios = append(ratios, predicted/sample.FirstEvent.Seconds())
					}
					m.Observe(*sample)
				}
				if running, _ := engine.Load(); event.Last {
					took := event.At.Sub(firstAt[event.ID])
					m.ObserveOutput(Output{Tokens: jobs[event.ID].OutputTokens - 1, Running: float64(running + 1), Duration: took})
				}
			}
			continue
		}
		uncached, output := 500+random.Int64N(300), 200+random.Int64N(100)
		if random.IntN(3) == 0 {
			uncached, output = 2500+random.Int64N(800), 40
		}
		samples[id], sentAt[id] = &Sample{Uncached: uncached, Queued: queued}, next
		jobs[id] = emulator.Job{ID: id, Parts: []emulator.PromptPart{{ID: id, Tokens: uncached}}, OutputTokens: output}
		if engine.Submit(next, jobs[id]) {
			queued += uncached
		}
		engine.Advance(next)
		next = next.Add(time.Duration(random.ExpFloat64() * float64(interval)))
		id++
	}
	return ratios
}

// TestModelConvergesOnEmulatedEngines guards against predictions by the figures of one
// engine: the model must learn those of engines that differ by a factor of four, idle and busy.
func TestModelConvergesOnEmulatedEngines(t *testing.T) {
	fast := emulator.Spec{
		Slots: 64, QueueLimit: 134, StepTime: 3900 * time.Microsecond, StepTimePerRequest: 47 * time.Microsecond,
		PrefillRate: 92_000, PrefillChunk: 1024, PrefillDelay: 53 * time.Millisecond, Memory: 355_000, TokensPerEvent: 7,
	}
	slow := fast
	slow.PrefillRate, slow.PrefillChunk, slow.PrefillDelay, slow.Slots = 23_000, 512, 20*time.Millisecond, 16
	slow.StepTime, slow.StepTimePerRequest = 11*time.Millisecond, 400*time.Microsecond
	for i, spec := range []emulator.Spec{fast, fast, slow, slow} {
		m := &Model{}
		ratios := play(m, spec, []time.Duration{400, 50, 1600, 400}[i]*time.Millisecond)
		speed, known := m.Prefill()
		assert.Assert(t, known, i)
		slices.Sort(ratios)
		chunk, step := float64(spec.PrefillChunk), spec.StepTime+2*spec.StepTimePerRequest
		ideal := chunk / (chunk*1000/spec.PrefillRate + spec.StepTime.Seconds()*1000)
		low, middle, high := ratios[len(ratios)/20], ratios[len(ratios)/2], ratios[len(ratios)*19/20]
		t.Logf("%d: %+v (at best %.1f), step %v, ratios %.2f %.2f %.2f", i, speed, ideal, m.Step(assumed), low, middle, high)
		assert.Assert(t, speed.TokensPerMs > 0.8*ideal && speed.TokensPerMs < 1.1*ideal, i)
		assert.Assert(t, low > 0.75 && middle > 0.9 && middle < 1.1 && high < 1.25, i)
		assert.Assert(t, m.Step(assumed).At(2) > step*8/10 && m.Step(assumed).At(2) < step*3/2, i)
	}
}

func noise(i int) time.Duration { return time.Duration(i*37%23) * time.Millisecond }

func wide(i int) int64 { return int64(300 + i*7919%3000) }

// observe has a model learn from a sample with a rate of 50 tokens/ms after 40 ms.
func observe(m *Model, uncached int64, noise time.Duration) {
	m.Observe(Sample{Uncached: uncached, FirstEvent: 40*time.Millisecond + time.Duration(uncached)*time.Millisecond/50 + noise})
}

// TestOutliersDoNotDecide guards against a rate that a fifth of the samples decides, as when
// requests are preempted, or prompts believed to be uncached are cached.
func TestOutliersDoNotDecide(t *testing.T) {
	for _, outlier := range []time.Duration{8 * time.Second, time.Millisecond} {
		m := &Model{}
		for i := range 400 {
			observe(m, wide(i), noise(i)/3)
			if i%4 == 2 {
				m.Observe(Sample{Uncached: wide(i), FirstEvent: outlier})
			}
		}
		speed, known := m.Prefill()
		assert.Assert(t, known && math.Abs(speed.TokensPerMs-50) < 10, "%v: %+v", outlier, speed)
		assert.Assert(t, speed.Fixed > 25*time.Millisecond && speed.Fixed < 65*time.Millisecond, "%v: %+v", outlier, speed)
	}
}

// TestRateNeedsSpread guards against a wild rate from a workload whose sizes hardly differ,
// or whose sizes do not show in the noise, and against one that is known too early.
func TestRateNeedsSpread(t *testing.T) {
	for _, c := range [][2]int64{{800, 0}, {0, 0}, {800, 1}, {1, 1}} { // the least size and the difference
		m := &Model{}
		for i := range 500 {
			observe(m, c[0]+c[1]*int64(i%9), noise(i))
		}
		speed, known := m.Prefill()
		assert.Assert(t, !known, "%v: %+v", c, speed)
	}
	m := &Model{}
	for i := range 700 { // constant from 200 on: the rate is kept
		observe(m, []int64{wide(i), 800}[min(i/200, 1)], noise(i))
		speed, known := m.Prefill()
		assert.Equal(t, known, i+1 >= MinSamples)
		assert.Assert(t, !known || i < 100 || math.Abs(speed.TokensPerMs-50) < 15, "after %d: %+v", i, speed)
	}
}

// TestUnusableSamplesAreIgnored guards against a rate that is learned from the queues of
// others or from impossible samples, and against a wild growth of the step by running
// requests when their number is always the same.
func TestUnusableSamplesAreIgnored(t *testing.T) {
	m := &Model{}
	for i := range 200 {
		m.Observe(Sample{Uncached: wide(i), Queued: wide(i)/4 + 10, FirstEvent: time.Second + noise(i)})
		m.Observe(Sample{Uncached: -wide(i), FirstEvent: time.Second})
		m.Observe(Sample{Uncached: wide(i)})
		m.ObserveOutput(Output{Running: 3, Duration: time.Second})
		m.ObserveOutput(Output{Tokens: 9, Running: 3})
	}
	_, known := m.Prefill()
	assert.Assert(t, !known && m.Step(assumed) == assumed)
	for i := range 200 {
		m.ObserveOutput(Output{Tokens: 100, Running: 10, Duration: time.Second + noise(i)})
	}
	at10 := m.Step(assumed).At(10) - 10*time.Millisecond
	assert.Assert(t, at10.Abs() < 300*time.Microsecond && m.Step(assumed).PerRequest > 150*time.Microsecond, "%v", m.Step(assumed))
}
