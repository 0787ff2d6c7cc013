package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/registrar"
)

// reportSlowdown has a server report a slowdown in the response to a placement of its own.
func reportSlowdown(p *Placer, now time.Time, server string, percent int32) {
	s := p.serversByName[server]
	p.recordServerLoad(now, &placement{start: s.start()}, ServerLoad{Reported: true, Slowdown: percent})
}

// placedOn places requests without shared parts on idle servers and counts them by server.
func placedOn(p *Placer, now time.Time, count int) map[string]int {
	counts := map[string]int{}
	for range count {
		request := shortPromptRequest(now, 50)
		request.Work.Parts = request.Work.Parts[1:]
		request.Work.Prompt, request.Work.Parts[0].Tokens = 6000, 6000
		decision := p.Place(now, request)
		if decision.Server != nil {
			counts[decision.Server.Name]++
		}
	}
	return counts
}

// TestSlowServerIsAvoidedWhileItsSlowdownIsFresh guards against requests that are sent to a
// server that has just said that it is slow, and against one that is left alone after that.
func TestSlowServerIsAvoidedWhileItsSlowdownIsFresh(t *testing.T) {
	slow := placedOn(newPlacer(2), start, 1)
	for name := range slow { // the server that is preferred otherwise
		p := newPlacer(2)
		reportSlowdown(p, start, name, 250)
		fresh := placedOn(p, start.Add(900*time.Millisecond), 1)
		assert.Equal(t, fresh[name], 0)
		p.serversByName = clearLoads(p)
		assert.Equal(t, placedOn(p, start.Add(1100*time.Millisecond), 1)[name], 1)
	}
}

// TestReportedSlownessCountsOnce guards against a latency ratio that holds the slowness that
// the slowdown explains: the server would be avoided long after a slow phase of 600 ms.
func TestReportedSlownessCountsOnce(t *testing.T) {
	p := newPlacer(1)
	s := p.serversByName["engines-0"]
	now := start
	for range 40 {
		request := shortPromptRequest(now, 50)
		decision := p.Place(now, request)
		normal := time.Duration(float64(decision.PredictedWait) / s.timeFactor(now))
		now = now.Add(normal * 5 / 2)
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
		type open struct {
			id    uint64
			first time.Time
			lies  bool
		}
		var running []open
		busyUntil := map[string]time.Time{}
		placed := map[string]int{}
		total := 0
		for step := range 6000 {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			kept := running[:0]
			for _, r := range running {
				if now.Before(r.first) {
					kept = append(kept, r)
					continue
				}
				said := ServerLoad{Reported: true, Slowdown: 100}
				if r.lies {
					said.Slowdown = percent
				}
				p.RecordNotice(now, r.id, Notice{Load: said})
				p.RecordFirstEvent(now, r.id)
				p.Finish(now, r.id, OutcomeAnswered)
			}
			running = kept
			if step%4 > 0 {
				continue
			}
			request := shortPromptRequest(now, 50)
			request.Work.Prompt, request.Work.Parts = 2500, []PromptPart{{ID: 1<<42 + lastID, Tokens: 2500}}
			decision := p.Place(now, request)
			if decision.Server == nil {
				continue
			}
			name := decision.Server.Name
			from := busyUntil[name]
			if from.Before(now) {
				from = now
			}
			busyUntil[name] = from.Add(prefillTime(request.Work.Prompt, 2))
			running = append(running, open{request.ID, busyUntil[name].Add(firstEventOverhead), name == "engines-1"})
			if step > 1000 {
				placed[decision.Server.Name]++
				total++
			}
		}
		share := float64(placed["engines-1"]) / float64(total)
		assert.Assert(t, share > 0.21 && share < 0.265, "reports %d: %.2f of the work, %v", percent, share, placed)
	}
}

// TestSlowdownsBetweenInstances guards against figures that are summed, lost on the way, or
// that circulate between failure domains and so never grow old.
func TestSlowdownsBetweenInstances(t *testing.T) {
	told, neighbour, other := newPlacer(2), newPlacer(2), newPlacer(2)
	reportSlowdown(told, start, "engines-0", 200)
	now := start.Add(300 * time.Millisecond)
	loads := told.FullLoads(now)
	assert.DeepEqual(t, loads, map[string]Load{"engines-0": {Slowdown: 200, SlowdownAge: 300}})
	neighbour.SetPeerLoads(now, "a", true, loads)
	assert.Equal(t, neighbour.serversByName["engines-0"].slowdowns.factor(now), 2.0)
	assert.Equal(t, neighbour.serversByName["engines-0"].peerLoad, Load{})
	assert.Equal(t, len(neighbour.FullLoads(now)), 0)
	assert.DeepEqual(t, neighbour.DomainLoads(now), loads)

	other.SetPeerLoads(now, "domain", false, neighbour.DomainLoads(now))
	assert.Equal(t, other.serversByName["engines-0"].slowdowns.factor(now), 2.0)
	assert.Equal(t, len(other.DomainLoads(now)), 0)

	// The newest counts, in whichever order the reports arrive.
	reportSlowdown(told, now, "engines-0", 120)
	neighbour.ApplyPeerChanges(now, "a", told.ChangedLoads(now))
	neighbour.SetPeerLoads(now, "b", true, loads)
	assert.Equal(t, neighbour.serversByName["engines-0"].slowdowns.factor(now), 1.2)
	assert.Equal(t, neighbour.serversByName["engines-0"].slowdowns.factor(now.Add(time.Second)), 0.0)

	// Impossible figures are ignored.
	odd := map[string]Load{"engines-1": {Slowdown: -5}, "gone": {Slowdown: 200}}
	other.SetPeerLoads(now, "x", true, odd)
	other.SetPeerLoads(now, "y", true, map[string]Load{"engines-1": {Slowdown: 300, SlowdownAge: -1}})
	other.SetPeerLoads(now, "z", true, map[string]Load{"engines-1": {Slowdown: MaxSlowdown + 1}})
	assert.Equal(t, other.serversByName["engines-1"].slowdowns.factor(now), 0.0)
	other.SetPeerLoads(now, "x", true, map[string]Load{"engines-1": {Slowdown: MaxSlowdown}})
	assert.Equal(t, other.serversByName["engines-1"].slowdowns.factor(now), 4.0)
}

// TestRestartedServerHasNoSlowdown guards against a figure of an earlier start.
func TestRestartedServerHasNoSlowdown(t *testing.T) {
	p, told := newPlacer(1), newPlacer(1)
	reportSlowdown(p, start, "engines-0", 300)
	reportSlowdown(told, start, "engines-0", 300)
	now := start.Add(200 * time.Millisecond)
	restarted := engineServer(0)
	restarted.StartedAtMillis, restarted.Counter = 2, 2
	p.SetServers(now, newView(engineService()), []registrar.Server{restarted})
	p.SetPeerLoads(now, "b", true, told.FullLoads(now))
	assert.Equal(t, p.serversByName["engines-0"].timeFactor(now), 1.0)
}
