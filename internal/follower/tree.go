package follower

import (
	"math"
	"net/netip"
)

// branch is an instance that a beacon is sent to, and those that it passes the beacon
// on to.
type branch struct {
	to      netip.AddrPort
	forward []netip.AddrPort
}

// spread divides the receivers of a beacon into branches, so that the sender sends about
// the square root of their number and each receiver is sent one. Who passes beacons on
// changes with the turn: an instance that is gone but not yet known to be then takes one
// beacon in several from its branch, and the work is shared evenly.
func spread(receivers []netip.AddrPort, turn uint64) []branch {
	if len(receivers) == 0 {
		return nil
	}
	size := int(math.Ceil(math.Sqrt(float64(len(receivers)))))
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
