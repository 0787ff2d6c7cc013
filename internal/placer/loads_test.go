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
		listener.HearLoads(now, "a", true, teller.Loads())
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
				listener.HearLoads(now, "a", true, teller.Loads())
			} else {
				listener.HearChanges(now, "a", teller.Changes())
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
