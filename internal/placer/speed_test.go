package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/estimator"
	"github.com/boragehead/boragehead/internal/registrar"
)

// serveAtSpeed has an engine serve requests of two sizes, one after another, that prefills 12
// tokens in a millisecond after 80 ms and needs 9 ms for a step. It returns predicted over
// observed time to the first event of the last one.
func serveAtSpeed(p *Placer, now time.Time, count int, load ServerLoad) (end time.Time, ratio float64) {
	slow := max(float64(load.Slowdown)/100, 1)
	for i := range count {
		request := unsharedRequest(now, int64(600+i%2*2400))
		decision := p.Place(now, request)
		took := time.Duration(slow * float64(80*time.Millisecond+time.Duration(request.Work.Prompt)*time.Millisecond/12))
		ratio, now = decision.PredictedFirstEvent.Seconds()/took.Seconds(), now.Add(took)
		p.RecordNotice(now, request.ID, Notice{Load: load})
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
// not be learned as their normal speed; and against other predictions for services whose
// servers report three figures, or do so again.
func TestSpeedIsLearnedFromReportingServers(t *testing.T) {
	for _, percent := range []int32{0, 100, 200} {
		p := newPlacer(1)
		s, load := p.serversByName["engines-0"], ServerLoad{Reported: true, Slots: 64, Slowdown: percent}
		now, _ := serveAtSpeed(p, start, estimator.MinSamples-1, load)
		assert.Assert(t, !s.speed.isLearned())
		now, ratio := serveAtSpeed(p, now, 41, load)
		if _, learned := s.speed.model.Prefill(); percent == 0 {
			assert.Assert(t, !learned && !s.speed.isLearned())
			assert.Equal(t, s.prefillTime(5000, 3), prefillTime(5000, 3))
			continue
		}
		assert.Assert(t, s.speed.isLearned())
		assert.Assert(t, ratio > 0.95 && ratio < 1.05, "slowdown %d: ratio %.2f", percent, ratio)
		assert.Assert(t, s.latencyRatio > 0.9 && s.latencyRatio < 1.1, "slowdown %d: latency ratio %.2f", percent, s.latencyRatio)
		rate, step := s.speed.prefill.TokensPerMs, s.stepTime(1)
		assert.Assert(t, rate > 11 && rate < 13 && step > 7*time.Millisecond && step < 11*time.Millisecond, "slowdown %d: %v, %v", percent, rate, step)
		restarted := engineServer(0)
		restarted.StartedAtMillis, restarted.Counter = 2, 2
		p.SetServers(now, newView(engineService()), []registrar.Server{restarted})
		assert.Assert(t, !p.serversByName["engines-0"].speed.isLearned())
	}
}
