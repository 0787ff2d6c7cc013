package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestChangesTellTheSameAsAllLoads lets one instance work and tell another one,
// at times everything and else only what has changed.
func TestChangesTellTheSameAsAllLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teller, listener := newPlacer(4), newPlacer(4)
		now := start
		listener.HearLoads(now, "a", true, teller.Loads(now))
		var placed []uint64
		for range rapid.IntRange(1, 40).Draw(t, "turns") {
			now = now.Add(50 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				request := draft(now, rapid.Uint64Range(1, 9).Draw(t, "subject"))
				if teller.Place(now, request).Server != nil {
					placed = append(placed, request.ID)
				}
			case 2:
				if len(placed) > 0 {
					teller.Began(now, placed[0])
				}
			case 3:
				if len(placed) > 0 {
					teller.Done(now, placed[0], Answered)
					placed = placed[1:]
				}
			case 4:
				teller.NearLoads(now)
			}
			if rapid.IntRange(0, 3).Draw(t, "everything") == 0 {
				listener.HearLoads(now, "a", true, teller.Loads(now))
			} else {
				listener.HearChanges(now, "a", teller.Changes(now))
			}
			for name, s := range teller.servers {
				got, want := listener.servers[name].others, s.own
				got.Pace = 0 // it fades with time, which is no change
				if got != want {
					t.Fatalf("%s: heard %+v of %+v", name, got, want)
				}
			}
		}
	})
}

func TestChangesWithoutLoadsSayNothing(t *testing.T) {
	p := newPlacer(2)
	p.HearChanges(start, "b", map[string]Load{"engines-0": {Running: 3}})
	assert.Equal(t, p.servers["engines-0"].others, Load{})
	p.HearLoads(start, "b", true, nil)
	p.HearChanges(start, "b", map[string]Load{"engines-0": {Running: 3}, "gone": {Running: 1}})
	assert.Equal(t, p.servers["engines-0"].others, Load{Running: 3})
}

// TestNeighboursEjectionsAreShared replays a server that fails: once two
// neighbours have set it aside, one that has not seen it fail does not try it.
func TestNeighboursEjectionsAreShared(t *testing.T) {
	failing := map[string]Load{"engines-0": {Ejected: 1}}
	cases := []struct {
		name   string
		near   []bool
		others map[string]Load
		want   string
	}{
		{"one neighbour", []bool{true}, failing, "ready"},
		{"two neighbours", []bool{true, true}, failing, "ejected"},
		{"instances of other domains", []bool{false, false, false}, failing, "ready"},
		{"most of the servers", []bool{true, true}, map[string]Load{
			"engines-0": {Ejected: 1}, "engines-1": {Ejected: 1}, "engines-2": {Ejected: 1},
		}, "ready"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacer(4)
			for i, near := range c.near {
				p.HearLoads(start, string(rune('b'+i)), near, c.others)
			}
			assert.Equal(t, p.Conditions(start)["engines-0"], c.want)
		})
	}
}

// TestOneFailureConfirmsANeighboursWord needs three failures otherwise.
func TestOneFailureConfirmsANeighboursWord(t *testing.T) {
	for _, told := range []bool{false, true} {
		p := newPlacer(4)
		if told {
			p.HearLoads(start, "b", true, map[string]Load{"engines-0": {Ejected: 1}})
		}
		request := draft(start, 1)
		for name := range p.servers {
			if name != "engines-0" {
				request.Tried = append(request.Tried, name)
			}
		}
		assert.Equal(t, p.Place(start, request).Server.Name, "engines-0")
		p.Done(start, request.ID, Failed)
		assert.Equal(t, p.Conditions(start)["engines-0"] == "ejected", told)
	}
}

// TestEjectionIsToldWithoutWork lets a server fail that has nothing else to do.
func TestEjectionIsToldWithoutWork(t *testing.T) {
	p := newPlacer(4)
	p.Loads(start)
	for range ejectAfter {
		request := draft(start, 1)
		decision := p.Place(start, request)
		p.Done(start, request.ID, Failed)
		p.servers[decision.Server.Name].failures = ejectAfter
	}
	ejected := 0
	for name, load := range p.Changes(start) {
		ejected += int(load.Ejected)
		assert.Equal(t, load.Ejected > 0, p.Conditions(start)[name] == "ejected")
	}
	assert.Assert(t, ejected > 0)
	later := start.Add(longestEject)
	assert.Equal(t, len(p.Loads(later)), 0)
}
