package follower

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/beaconer"
)

// TestSpreadBeaconReachesEachReceiverOnce passes beacons on among the instances of a failure
// domain. Each must get one, nobody sends more than a few, whatever the size of the domain,
// and all take turns in passing on: the representative used to send the square root of the
// receivers, which its link does not carry in a domain of 50 instances.
func TestSpreadBeaconReachesEachReceiverOnce(t *testing.T) {
	for _, count := range []int{1, 4, 5, 16, 49, 100, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var receivers []netip.AddrPort
			for i := range count {
				receivers = append(receivers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7600))
			}
			passedOn := map[netip.AddrPort]int{}
			const turns = 400
			for turn := range uint64(turns) {
				got := map[netip.AddrPort]int{}
				deliverSpread(t, spreadTo(receivers, turn, beaconer.Beacon{Sequence: collectEvery * turn}), got, passedOn)
				assert.Equal(t, len(got), count)
			}
			for receiver, times := range passedOn {
				assert.Assert(t, times < turns, "%v passed on each time", receiver)
			}
		})
	}
}

// deliverSpread delivers beacons and those that the receivers pass on.
func deliverSpread(t *testing.T, beacons []outgoingBeacon, got, passedOn map[netip.AddrPort]int) {
	sent := 0
	for _, outgoing := range beacons {
		sent += len(outgoing.addresses)
		for _, address := range outgoing.addresses {
			got[address]++
			assert.Equal(t, got[address], 1)
			if len(outgoing.beacon.Forward) > 0 {
				passedOn[address]++
				deliverSpread(t, (&Follower{}).passOn(time.Now(), outgoing.beacon), got, passedOn)
			}
		}
	}
	assert.Assert(t, sent <= spreadFanOut, "%d sent", sent)
}
