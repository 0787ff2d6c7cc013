package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestChangesMatchFullLoads reports the load of one instance to another one, at
// random as full loads or as changes. The receiver must always know the exact load.
func TestChangesMatchFullLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := newPlacer(4), newPlacer(4)
		now := start
		receiver.SetPeerLoads(now, "a", true, sender.FullLoads(now))
		var placed []uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				request := sharedPromptRequest(now, rapid.Uint64Range(1, 9).Draw(t, "subject"))
				if sender.Place(now, request).Server != nil {
					placed = append(placed, request.ID)
				}
			case 2:
				if len(placed) > 0 {
					sender.RecordFirstEvent(now, placed[0])
				}
			case 3:
				if len(placed) > 0 {
					sender.Finish(now, placed[0], OutcomeAnswered)
					placed = placed[1:]
				}
			case 4:
				sender.DomainLoads(now)
			}
			if rapid.IntRange(0, 3).Draw(t, "full") == 0 {
				receiver.SetPeerLoads(now, "a", true, sender.FullLoads(now))
			} else {
				receiver.ApplyPeerChanges(now, "a", sender.ChangedLoads(now))
			}
			for name, s := range sender.serversByName {
				got, want := receiver.serversByName[name].peerLoad, s.ownLoad
				got.PrefillRate = 0 // it decays with time, which does not count as a change
				if got != want {
					t.Fatalf("%s: received load %+v, want %+v", name, got, want)
				}
			}
		}
	})
}

func TestChangesBeforeFullLoadsAreIgnored(t *testing.T) {
	p := newPlacer(2)
	p.ApplyPeerChanges(start, "b", map[string]Load{"engines-0": {Running: 3}})
	assert.Equal(t, p.serversByName["engines-0"].peerLoad, Load{})
	p.SetPeerLoads(start, "b", true, nil)
	p.ApplyPeerChanges(start, "b", map[string]Load{"engines-0": {Running: 3}, "gone": {Running: 1}})
	assert.Equal(t, p.serversByName["engines-0"].peerLoad, Load{Running: 3})
}

// TestPeerEjectionsAreAdopted guards against requests that are sent to a server
// which others know to fail: once two instances of its failure domain have ejected
// a server, an instance that has not seen it fail does not use it either.
func TestPeerEjectionsAreAdopted(t *testing.T) {
	failing := map[string]Load{"engines-0": {EjectedBy: 1}}
	cases := []struct {
		name       string
		sameDomain []bool
		loads      map[string]Load
		want       string
	}{
		{"one instance of the domain", []bool{true}, failing, "ready"},
		{"two instances of the domain", []bool{true, true}, failing, "ejected"},
		{"instances of other domains", []bool{false, false, false}, failing, "ready"},
		{"most of the servers", []bool{true, true}, map[string]Load{
			"engines-0": {EjectedBy: 1}, "engines-1": {EjectedBy: 1}, "engines-2": {EjectedBy: 1},
		}, "ready"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacer(4)
			for i, sameDomain := range c.sameDomain {
				p.SetPeerLoads(start, string(rune('b'+i)), sameDomain, c.loads)
			}
			assert.Equal(t, p.ServerConditions(start)["engines-0"], c.want)
		})
	}
}

// TestOneFailureConfirmsPeerEjection lets a server fail once. That ejects it only
// if another instance of the failure domain has ejected it already; otherwise it
// takes three consecutive failures.
func TestOneFailureConfirmsPeerEjection(t *testing.T) {
	for _, peerEjected := range []bool{false, true} {
		p := newPlacer(4)
		if peerEjected {
			p.SetPeerLoads(start, "b", true, map[string]Load{"engines-0": {EjectedBy: 1}})
		}
		request := sharedPromptRequest(start, 1)
		for name := range p.serversByName {
			if name != "engines-0" {
				request.TriedServers = append(request.TriedServers, name)
			}
		}
		assert.Equal(t, p.Place(start, request).Server.Name, "engines-0")
		p.Finish(start, request.ID, OutcomeFailed)
		assert.Equal(t, p.ServerConditions(start)["engines-0"] == "ejected", peerEjected)
	}
}

// TestEjectionIsReportedWithoutRunningRequests ejects a server that has no running
// requests: its ejection must be among the changes, and be gone when it ends.
func TestEjectionIsReportedWithoutRunningRequests(t *testing.T) {
	p := newPlacer(4)
	p.FullLoads(start)
	for range ejectionFailures {
		request := sharedPromptRequest(start, 1)
		decision := p.Place(start, request)
		p.Finish(start, request.ID, OutcomeFailed)
		p.serversByName[decision.Server.Name].consecutiveFailures = ejectionFailures
	}
	ejected := 0
	for name, load := range p.ChangedLoads(start) {
		ejected += int(load.EjectedBy)
		assert.Equal(t, load.EjectedBy > 0, p.ServerConditions(start)[name] == "ejected")
	}
	assert.Assert(t, ejected > 0)
	later := start.Add(maxEjectionTime)
	assert.Equal(t, len(p.FullLoads(later)), 0)
}

// TestLoadsOfLastSilentPeerAreForgotten guards against an instance that goes on counting
// what its only peer had placed on a server before it ended, since nobody is left whose
// reports would drop it.
func TestLoadsOfLastSilentPeerAreForgotten(t *testing.T) {
	p := newPlacer(1)
	p.SetPeerLoads(start, "b", true, map[string]Load{"engines-0": {Running: 40, EjectedBy: 1}})
	assert.Equal(t, p.serversByName["engines-0"].totalLoad().Running, int32(40))
	later := start.Add(peerLoadTTL + time.Second)
	p.SetServers(later, newView(engineService()), p.announcedServers())
	assert.Equal(t, p.serversByName["engines-0"].totalLoad(), Load{})
}
