package overflower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var key = Key{Region: "south", Service: "engines"}

// TestInstancesShareWhatRegionTakes lets 24 instances relay as fast as they may to a
// region that takes 20 requests in each 100 ms and refuses the others after as long. It
// guards against instances that go on sending several times what is taken.
func TestInstancesShareWhatRegionTakes(t *testing.T) {
	const instances, capacity, rounds = 24, 20, 100
	all := make([]Overflower, instances)
	now := time.Unix(1_000_000, 0)
	taken, refused, most := 0, 0, 0
	for round := range rounds {
		left, sentAt := capacity, now
		var sent [instances]int
		for more := true; more; {
			more = false
			for i := range all {
				if all[i].MayRelay(now, key) {
					all[i].Sent(now, key)
					sent[i]++
					more = true
				}
			}
		}
		now = now.Add(100 * time.Millisecond)
		for offset := range all {
			i := (offset + round) % instances
			got := 0
			for range sent[i] {
				if left > 0 {
					left--
					got++
					all[i].Accepted(now, key)
				} else {
					all[i].Refused(now, sentAt, key)
				}
			}
			if round >= rounds/2 {
				taken, refused, most = taken+got, refused+sent[i]-got, max(most, got)
			}
		}
	}
	offered := capacity * rounds / 2
	assert.Assert(t, taken >= offered/2, "%d of %d were used", taken, offered)
	assert.Assert(t, refused <= taken, "%d were refused and %d taken", refused, taken)
}

// TestLostOutcomesDoNotBlockWindow guards against a region that is never used again after
// a cut in which the outcomes of relays were lost.
func TestLostOutcomesDoNotBlockWindow(t *testing.T) {
	var o Overflower
	now := time.Unix(1_000_000, 0)
	for o.MayRelay(now, key) {
		o.Sent(now, key)
	}
	assert.Assert(t, !o.MayRelay(now.Add(time.Second), key))
	assert.Assert(t, o.MayRelay(now.Add(outcomeTimeout+time.Second), key))
}

// TestRefusingRegionIsProbed guards against a region that is asked for everything while
// it refuses everything, or for nothing once it takes requests again.
func TestRefusingRegionIsProbed(t *testing.T) {
	var o Overflower
	now := time.Unix(1_000_000, 0)
	relay := func(accepted bool) (sent int) {
		for range 10 * time.Second / (10 * time.Millisecond) {
			now = now.Add(10 * time.Millisecond)
			if !o.MayRelay(now, key) {
				continue
			}
			sent++
			o.Sent(now, key)
			if accepted {
				o.Accepted(now, key)
			} else {
				o.Refused(now.Add(time.Millisecond), now, key)
			}
		}
		return sent
	}
	refused := relay(false)
	assert.Assert(t, refused > 10 && refused < 100, "%d relays in 10 s", refused)
	assert.Assert(t, relay(true) > 500)
}
