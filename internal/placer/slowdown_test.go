package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/registrar"
)

// tell has engines-0 report a slowdown in the response to a placement of its own.
func tell(p *Placer, now time.Time, percent int32) {
	s := p.serversByName["engines-0"]
	p.recordServerLoad(now, &placement{start: s.start()}, ServerLoad{Reported: true, Slowdown: percent})
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

// TestReportedSlownessCountsOnce guards against a latency ratio that holds the slowness that
// the slowdown explains: the server would be avoided long after a slow phase of 600 ms.
func TestReportedSlownessCountsOnce(t *testing.T) {
	p, now := newPlacer(1), start
	s := p.serversByName["engines-0"]
	for range 40 {
		request := shortPromptRequest(now, 50)
		decision := p.Place(now, request)
		now = now.Add(time.Duration(2.5 * float64(decision.PredictedWait) / s.timeFactor(now)))
		p.RecordNotice(now, request.ID, Notice{Load: ServerLoad{Reported: true, Slowdown: 250}})
		p.RecordFirstEvent(now, request.ID)
		p.Finish(now, request.ID, OutcomeAnswered)
		assert.Assert(t, s.timeFactor(now) <= 2.8, "factor %v", s.timeFactor(now))
	}
	assert.Assert(t, s.latencyRatio > 0.9 && s.latencyRatio < 1.1, "ratio %v", s.latencyRatio)
}

// TestFalseSlowdown guards against a server that draws all work with a low figure, or is
// given none because of a high one: all servers are equally fast and 92 % busy, and one
// lies.
func TestFalseSlowdown(t *testing.T) {
	for _, percent := range []int32{10, 1000} {
		p := newPlacer(4)
		firstByID, serverByID := map[uint64]time.Time{}, map[uint64]string{}
		busyUntil, placed, total := map[string]time.Time{}, map[string]int{}, 0
		for step := range 1500 {
			now := start.Add(time.Duration(step) * 20 * time.Millisecond)
			for id, first := range firstByID {
				if now.Before(first) {
					continue
				}
				said := ServerLoad{Reported: true, Slowdown: 100}
				if serverByID[id] == "engines-1" {
					said.Slowdown = percent
				}
				p.RecordNotice(first, id, Notice{Load: said})
				p.RecordFirstEvent(first, id)
				p.Finish(first, id, OutcomeAnswered)
				delete(firstByID, id)
			}
			request := unsharedRequest(now, 2500)
			decision := p.Place(now, request)
			if decision.Server == nil {
				continue
			}
			name := decision.Server.Name
			if busyUntil[name].Before(now) {
				busyUntil[name] = now
			}
			busyUntil[name] = busyUntil[name].Add(prefillTime(request.Work.Prompt, 2))
			firstByID[request.ID], serverByID[request.ID] = busyUntil[name].Add(firstEventOverhead), name
			if step > 250 {
				placed[name]++
				total++
			}
		}
		share := float64(placed["engines-1"]) / float64(total)
		assert.Assert(t, share > 0.21 && share < 0.265, "reports %d: %.3f of the work, %v", percent, share, placed)
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
	assert.Equal(t, s.slowdowns.factor(now), 2.0)
	assert.Equal(t, s.peerLoad, Load{})
	assert.Equal(t, len(neighbour.FullLoads(now)), 0)
	assert.DeepEqual(t, neighbour.DomainLoads(now), loads)
	other.SetPeerLoads(now, "domain", false, neighbour.DomainLoads(now))
	assert.Equal(t, other.serversByName["engines-0"].slowdowns.factor(now), 2.0)
	assert.Equal(t, len(other.DomainLoads(now)), 0)

	tell(told, now, 120) // the newest counts, in whichever order the reports arrive
	neighbour.ApplyPeerChanges(now, "a", told.ChangedLoads(now))
	neighbour.SetPeerLoads(now, "b", true, loads)
	assert.Equal(t, s.slowdowns.factor(now), 1.2)
	assert.Equal(t, s.slowdowns.factor(now.Add(time.Second)), 0.0)

	for _, odd := range []Load{{Slowdown: -5}, {Slowdown: 300, SlowdownAge: -1}, {Slowdown: MaxSlowdown + 1}} {
		other.SetPeerLoads(now, "x", true, map[string]Load{"engines-1": odd, "gone": odd})
		assert.Equal(t, other.serversByName["engines-1"].slowdowns.factor(now), 0.0)
	}
	other.SetPeerLoads(now, "x", true, map[string]Load{"engines-1": {Slowdown: MaxSlowdown}})
	assert.Equal(t, other.serversByName["engines-1"].slowdowns.factor(now), 4.0)

	// A server that was started again has no slowdown, whoever still reports the earlier one.
	restarted := engineServer(0)
	restarted.StartedAtMillis, restarted.Counter = 2, 2
	now = now.Add(100 * time.Millisecond)
	neighbour.SetServers(now, newView(engineService()), []registrar.Server{restarted})
	neighbour.SetPeerLoads(now, "a", true, told.FullLoads(now))
	assert.Equal(t, neighbour.serversByName["engines-0"].timeFactor(now), 1.0)
}
