package placer

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPredictionsWithoutSlowdownAreUnchanged guards against other predictions for services
// whose servers report no slowdown: those of the release before slowdowns are written out.
func TestPredictionsWithoutSlowdownAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlacer(1)
		s := p.serversByName["engines-0"]
		s.ownLoad = Load{Running: rapid.Int32Range(0, 90).Draw(t, "own"), PrefillTokens: rapid.Int64Range(0, 50_000).Draw(t, "queued")}
		s.peerLoad = Load{Running: rapid.Int32Range(0, 40).Draw(t, "peers"), PrefillRate: rapid.Int64Range(0, 60_000).Draw(t, "rate")}
		s.latencyRatio = rapid.Float64Range(0.7, 3).Draw(t, "ratio")
		uncached, output := rapid.Int64Range(1, 20_000).Draw(t, "uncached"), rapid.Int64Range(1, 900).Draw(t, "output")

		running := float64(s.ownLoad.Running + s.peerLoad.Running)
		perToken := 1/36.7 + (4.34+running*0.151)/2048
		wait := 22 + float64(s.ownLoad.PrefillTokens+uncached)*perToken + max(running+1-64, 0)*3000/64
		assertMillis(t, s.firstEventWait(start, uncached), wait*s.latencyRatio)
		free := 1 - min(float64(s.peerLoad.PrefillRate)/36_700, 0.85)
		assertMillis(t, s.outputTime(start, Work{Output: output}), float64(output)*(4.34+(running+1)*0.151)/free*s.latencyRatio)

		request := shortPromptRequest(start, 50)
		request.Deadline = start.Add(time.Hour)
		predicted := p.assign(start, request, p.evaluate(start, s, request, comparisonBasis{})).PredictedWait
		observed := time.Duration(rapid.Int64Range(1, 5000).Draw(t, "observed")) * time.Millisecond
		ratio := min(max(observed.Seconds()/predicted.Seconds()*s.latencyRatio, 0.5), 4)
		ratio = min(max(0.9*s.latencyRatio+0.1*ratio, 0.7), 3)
		p.RecordNotice(start.Add(observed), request.ID, Notice{Load: ServerLoad{Reported: true, Running: 4, Slots: 64}})
		p.RecordFirstEvent(start.Add(observed), request.ID)
		assert.Assert(t, math.Abs(s.latencyRatio-ratio) < 1e-9, "ratio %v, want %v", s.latencyRatio, ratio)
	})
}

func assertMillis(t *rapid.T, got time.Duration, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got.Seconds()*1000-want) < 0.001, "predicted %v, want %v ms", got, want)
}
