package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/estimator"
	"github.com/boragehead/boragehead/internal/registrar"
)

// serveAtSpeed has engines serve requests of two sizes, one after another, that prefill 12
// tokens in a millisecond after 80 ms and need 9 ms for a step. It returns predicted over
// observed time to the first event of the last one.
func serveAtSpeed(p *Placer, now time.Time, count int, said Notice) (time.Time, float64) {
	ratio := 0.0
	for i := range count {
		request := shortPromptRequest(now, 50)
		request.Work.Prompt = int64(600 + i%2*2400)
		request.Work.Parts = []PromptPart{{ID: 1<<43 + lastID, Tokens: request.Work.Prompt}}
		decision := p.Place(now, request)
		took := 80*time.Millisecond + time.Duration(request.Work.Prompt)*time.Millisecond/12
		slow := 1.0
		if said.Load.Slowdown > 0 {
			slow = float64(said.Load.Slowdown) / 100
		}
		took = time.Duration(float64(took) * slow)
		ratio = decision.PredictedFirstEvent.Seconds() / took.Seconds()
		now = now.Add(took)
		p.RecordNotice(now, request.ID, said)
		p.RecordFirstEvent(now, request.ID)
		now = now.Add(time.Duration(9 * slow * float64(50*time.Millisecond)))
		p.RecordOutput(now, request.ID, 11)
		p.Finish(now, request.ID, OutcomeAnswered)
		now = now.Add(50 * time.Millisecond) // the figure is still fresh
	}
	return now, ratio
}

// TestSpeedIsLearnedFromReportingServers guards against predictions by the assumed figures
// for engines that are much slower, also when they report a slowdown meanwhile, which must
// not be learned as their normal speed.
func TestSpeedIsLearnedFromReportingServers(t *testing.T) {
	for _, percent := range []int32{100, 200} {
		p := newPlacer(1)
		s := p.serversByName["engines-0"]
		said := Notice{Load: ServerLoad{Reported: true, Slots: 64, Slowdown: percent}}
		now, _ := serveAtSpeed(p, start, estimator.MinSamples-1, said)
		assert.Assert(t, !s.speed.isLearned())
		now, ratio := serveAtSpeed(p, now, 41, said)
		assert.Assert(t, s.speed.isLearned())
		assert.Assert(t, ratio > 0.95 && ratio < 1.05, "slowdown %d: ratio %.2f", percent, ratio)
		assert.Assert(t, s.latencyRatio > 0.9 && s.latencyRatio < 1.1, "slowdown %d: latency ratio %.2f", percent, s.latencyRatio)
		rate, step := s.speed.prefill.TokensPerMs, s.stepTime(1)
		assert.Assert(t, rate > 11 && rate < 13, "slowdown %d: %.1f tokens/ms", percent, rate)
		assert.Assert(t, step > 7*time.Millisecond && step < 11*time.Millisecond, "slowdown %d: step %v", percent, step)

		// Servers of a release that reports nothing take the place of the others.
		restarted := engineServer(0)
		restarted.StartedAtMillis, restarted.Counter = 2, 2
		p.SetServers(now, newView(engineService()), []registrar.Server{restarted})
		assert.Assert(t, !p.serversByName["engines-0"].speed.isLearned())
	}
}

// TestSpeedIsNotLearnedWithoutSlowdown guards against other predictions for services whose
// servers report three figures.
func TestSpeedIsNotLearnedWithoutSlowdown(t *testing.T) {
	p := newPlacer(1)
	_, _ = serveAtSpeed(p, start, 200, Notice{Load: ServerLoad{Reported: true, Running: 3, Slots: 64}})
	s := p.serversByName["engines-0"]
	_, learned := s.speed.model.Prefill()
	assert.Assert(t, !learned && !s.speed.isLearned())
	assert.Assert(t, s.latencyRatio > 1.5, "ratio %.2f", s.latencyRatio) // this corrects instead
	assert.Equal(t, s.prefillTime(5000, 3), prefillTime(5000, 3))
}
