package follower

import (
	"net/netip"

	"github.com/boragehead/boragehead/internal/beaconer"
)

// spreadFanOut is the number of instances to which an instance sends a beacon that others
// pass on. With the square root of the receivers, the representative of a failure domain of
// 50 instances needs more than its link of 10 Mbit/s.
const spreadFanOut = 4

// branch is an instance that a beacon is sent to, and those that it passes the beacon
// on to.
type branch struct {
	to      netip.AddrPort
	forward []netip.AddrPort
}

// spread divides the receivers of a beacon into spreadFanOut branches, and each receiver is
// sent one. Who passes beacons on
// changes with the turn: an instance that is gone but not yet known to be then takes one
// beacon in several from its branch, and the work is shared evenly.
func spread(receivers []netip.AddrPort, turn uint64) []branch {
	if len(receivers) == 0 {
		return nil
	}
	size := (len(receivers) + spreadFanOut - 1) / spreadFanOut
	var branches []branch
	for start := 0; start < len(receivers); start += size {
		group := receivers[start:min(start+size, len(receivers))]
		first := int(turn % uint64(len(group)))
		branches = append(branches, branch{
			to:      group[first],
			forward: append(append([]netip.AddrPort{}, group[first+1:]...), group[:first]...),
		})
	}
	return branches
}

// spreadTo returns a beacon for all receivers, as spread divides them.
func spreadTo(receivers []netip.AddrPort, turn uint64, beacon beaconer.Beacon) []outgoingBeacon {
	beacon.Forward = nil
	if len(receivers) <= spreadFanOut {
		return []outgoingBeacon{{beacon: beacon, addresses: receivers}}
	}
	var outgoing []outgoingBeacon
	for _, branch := range spread(receivers, turn) {
		beacon.Forward = branch.forward
		outgoing = append(outgoing, outgoingBeacon{beacon: beacon, addresses: []netip.AddrPort{branch.to}})
	}
	return outgoing
}

// passOnTurn returns the turn in which a beacon is passed on. Sequences of digests grow by
// the same step each time, which must not choose the same instance again and again.
func passOnTurn(sequence uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return sequence * golden >> 32
}
