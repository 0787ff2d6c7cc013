package placer

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/estimator"
	"github.com/boragehead/boragehead/internal/registrar"
)

// tell has engines-0 report a slowdown in the response to a placement of its own.
func tell(p *Placer, now time.Time, percent int32) {
	s := p.serversByName["engines-0"]
	p.recordServerLoad(now, &placement{start: s.start()}, ServerLoad{Reported: true, Slowdown: percent})
}

// restart has engines-0 start again, as the only server.
func restart(p *Placer, now time.Time) {
	restarted := engineServer(0)
	restarted.StartedAtMillis, restarted.Counter = 2, 2
	p.SetServers(now, newView(engineService()), []registrar.Server{restarted})
}

// unsharedRequest returns a request whose prompt no server has cached.
func unsharedRequest(now time.Time, tokens int64) Request {
	request := shortPromptRequest(now, 50)
	request.Work.Prompt, request.Work.Parts = tokens, []PromptPart{{ID: 1<<42 + lastID, Tokens: tokens}}
	return request
}

// TestSlowServerIsAvoidedWhileItsSlowdownIsFresh guards against requests that are sent to a
// server that has just said that it is slow, and against one that is left alone after that.
func TestSlowServerIsAvoidedWhileItsSlowdownIsFresh(t *testing.T) {
	p := newPlacer(2)
	p.serversByName["engines-1"].nameHash = 1
	p.serversByName["engines-0"].nameHash = 0 // preferred if all else is equal
	tell(p, start, 250)
	for i, want := range []string{"engines-1", "engines-0"} {
		now := start.Add(time.Duration(900+200*i) * time.Millisecond)
		p.serversByName = clearLoads(p)
		assert.Equal(t, p.Place(now, unsharedRequest(now, 6000)).Server.Name, want)
	}
}

// TestFalseSlowdown guards against a server that draws all work with a low figure, or gets
// none because of a high one: all servers are equally fast and 92 % busy, and one lies.
func TestFalseSlowdown(t *testing.T) {
	for _, percent := range []int32{10, 1000} {
		p := newPlacer(4)
		firstByID, liarsByID := map[uint64]time.Time{}, map[uint64]bool{}
		busyUntil, placed, total := map[string]time.Time{}, 0.0, 0.0
		for step := range 1500 {
			now := start.Add(time.Duration(step) * 20 * time.Millisecond)
			for id, first := range firstByID {
				if !now.Before(first) {
					said := map[bool]int32{false: 100, true: percent}[liarsByID[id]]
					p.RecordNotice(first, id, Notice{Load: ServerLoad{Reported: true, Slowdown: said}})
					p.RecordFirstEvent(first, id)
					p.Finish(first, id, OutcomeAnswered)
					delete(firstByID, id)
				}
			}
			request := unsharedRequest(now, 2500)
			if decision := p.Place(now, request); decision.Server != nil {
				name := decision.Server.Name
				begin := max(busyUntil[name].Sub(now), 0)
				busyUntil[name] = now.Add(begin + prefillTime(request.Work.Prompt, 2))
				firstByID[request.ID], liarsByID[request.ID] = busyUntil[name].Add(firstEventOverhead), name == "engines-1"
				placed, total = placed+map[bool]float64{true: 1}[name == "engines-1"], total+1
			}
		}
		assert.Assert(t, placed > 0.21*total && placed < 0.265*total, "reports %d: %v of %v requests", percent, placed, total)
	}
}

// TestSlowdownsBetweenInstances guards against figures that are summed, lost on the way, or
// that circulate between failure domains and so never grow old.
func TestSlowdownsBetweenInstances(t *testing.T) {
	told, neighbour, other := newPlacer(2), newPlacer(2), newPlacer(2)
	tell(told, start, 200)
	now := start.Add(300 * time.Millisecond)
	loads := told.FullLoads(now)
	assert.DeepEqual(t, loads, map[string]Load{"engines-0": {Slowdown: 200, SlowdownAge: 300}})
	neighbour.SetPeerLoads(now, "a", true, loads)
	s := neighbour.serversByName["engines-0"]
	assert.Assert(t, s.slowdowns.factor(now) == 2 && s.peerLoad == (Load{}) && len(neighbour.FullLoads(now)) == 0)
	assert.DeepEqual(t, neighbour.DomainLoads(now), loads)
	other.SetPeerLoads(now, "domain", false, neighbour.DomainLoads(now))
	assert.Assert(t, other.serversByName["engines-0"].slowdowns.factor(now) == 2 && len(other.DomainLoads(now)) == 0)

	tell(told, now, 120) // the newest counts, in whichever order the reports arrive
	neighbour.ApplyPeerChanges(now, "a", told.ChangedLoads(now))
	neighbour.SetPeerLoads(now, "b", true, loads)
	assert.Assert(t, s.slowdowns.factor(now) == 1.2 && s.slowdowns.factor(now.Add(time.Second)) == 0)
	for _, odd := range []Load{{Slowdown: -5}, {Slowdown: 300, SlowdownAge: -1}, {Slowdown: MaxSlowdown + 1}} {
		other.SetPeerLoads(now, "x", true, map[string]Load{"engines-1": odd, "gone": odd})
		assert.Equal(t, other.serversByName["engines-1"].slowdowns.factor(now), 0.0)
	}
	other.SetPeerLoads(now, "x", true, map[string]Load{"engines-1": {Slowdown: MaxSlowdown}})
	assert.Equal(t, other.serversByName["engines-1"].slowdowns.factor(now), 4.0)

	// A server that was started again has no slowdown, whoever still reports the earlier one.
	now = now.Add(100 * time.Millisecond)
	restart(neighbour, now)
	neighbour.SetPeerLoads(now, "a", true, told.FullLoads(now))
	assert.Equal(t, neighbour.serversByName["engines-0"].timeFactor(now), 1.0)
}

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
// for engines that are much slower; against a reported slowdown that is learned as the
// normal speed, or counts again in the latency ratio, so that the server is avoided long after
// a slow phase; and against other predictions where servers report three figures, or do so again.
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
		assert.Assert(t, s.speed.isLearned() && ratio > 0.95 && ratio < 1.05, "slowdown %d: ratio %.2f", percent, ratio)
		assert.Assert(t, s.latencyRatio > 0.9 && s.latencyRatio < 1.1, "slowdown %d: latency ratio %.2f", percent, s.latencyRatio)
		rate, step := s.speed.prefill.TokensPerMs, s.stepTime(1)
		assert.Assert(t, rate > 11 && rate < 13 && step > 7*time.Millisecond && step < 11*time.Millisecond, "slowdown %d: %v, %v", percent, rate, step)
		restart(p, now)
		assert.Assert(t, !p.serversByName["engines-0"].speed.isLearned())
	}
}

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
		assert.Assert(t, math.Abs(s.firstEventWait(start, uncached).Seconds()*1000-wait*s.latencyRatio) < 0.001)
		free := 1 - min(float64(s.peerLoad.PrefillRate)/36_700, 0.85)
		pace := (4.34 + (running+1)*0.151) / free * s.latencyRatio
		assert.Assert(t, math.Abs(s.outputTime(start, Work{Output: output}).Seconds()*1000-float64(output)*pace) < 0.001)
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
