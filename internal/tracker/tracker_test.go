package tracker

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOddAnnouncementUnderServersNameHidesIt has one announcement with a server's name and a
// number that the server never reaches. Once it is silent, the server must be used again.
func TestOddAnnouncementUnderServersNameHidesIt(t *testing.T) {
	sound := Announcement{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Pools: []string{"p"}, State: StateReady, Incarnation: 5}
	tests := []struct {
		name   string
		change func(odd *Announcement)
		usable bool
	}{
		{"incarnation", func(odd *Announcement) { odd.Incarnation = math.MaxInt64 }, true},
		{"counter", func(odd *Announcement) { odd.Counter = math.MaxUint64 }, true},
		// A late announcement must not bring back a server that has left.
		{"leaving", func(odd *Announcement) { odd.Counter, odd.State = math.MaxUint64, StateLeaving }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			now := time.Unix(100, 0)
			odd := sound
			odd.Address = netip.MustParseAddrPort("10.0.0.9:9")
			test.change(&odd)
			assert.Assert(t, table.Record(now, sound))
			assert.Assert(t, table.Record(now, odd))
			for range 5 {
				now = now.Add(AnnouncementPeriod)
				sound.Counter++
				table.Record(now, sound)
			}
			server, _ := table.Server("a")
			assert.Equal(t, server.Usable(now), test.usable)
			assert.Equal(t, server.Address == sound.Address, test.usable)
		})
	}
}

// TestLateAnnouncementIsIgnored checks that announcements that arrive out of order change
// nothing while newer ones come.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	var table Table
	now := time.Unix(100, 0)
	assert.Assert(t, table.Record(now, Announcement{Name: "a", State: StateReady, Incarnation: 5, Counter: 2}))
	assert.Assert(t, !table.Record(now.Add(SilenceTimeout), Announcement{Name: "a", State: StateReady, Incarnation: 5, Counter: 1}))
	assert.Assert(t, !table.Record(now.Add(SilenceTimeout), Announcement{Name: "a", State: StateReady, Incarnation: 4, Counter: 9}))
}
