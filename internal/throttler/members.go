package throttler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of silence.
const (
	// silenceTimeout is how long after it was last heard an instance counts as silent.
	silenceTimeout = 2 * time.Second
	// takeoverDelay is how long after that others take over its shares. An instance that
	// is cut off has noticed by then and uses no more than an even share.
	takeoverDelay = time.Second
)

// members are the instances that share the limits of a region's servers.
type members struct {
	// candidates are the names of the instances that may hold shares, this one included.
	candidates map[string]uint64
	// heard is how many instances are not silent, this one included, and known how many
	// there are together with those that are.
	heard, known int
	// settled is false while this instance may not know all others.
	settled bool
}

// set replaces the members. It reports whether that can change the shares.
func (m *members) set(self string, silence map[string]time.Duration, known int, settled bool) bool {
	next := members{candidates: map[string]uint64{self: xxhash.Sum64String(self)}, heard: 1, known: max(known, 1), settled: settled}
	for name, silent := range silence {
		if name == self {
			continue
		}
		if silent < silenceTimeout {
			next.heard++
		}
		if silent < silenceTimeout+takeoverDelay {
			next.candidates[name] = xxhash.Sum64String(name)
		}
	}
	next.known = max(next.known, len(next.candidates))
	same := m.isMajority() == next.isMajority() && m.known == next.known && maps.Equal(m.candidates, next.candidates)
	*m = next
	return !same
}

// isMajority reports whether this instance hears so many of the others that no other
// part of the region can do the same.
func (m *members) isMajority() bool {
	return m.settled && 2*m.heard > m.known
}

// first returns the names of the candidates that come first as holders of a server's
// limit, at most count.
func (m *members) first(count int, server Server) []string {
	hash := xxhash.Sum64String(server.Name)
	names := slices.SortedFunc(maps.Keys(m.candidates), func(a, b string) int {
		return cmp.Or(cmp.Compare(mixBits(m.candidates[b]^hash), mixBits(m.candidates[a]^hash)), cmp.Compare(a, b))
	})
	return names[:min(count, len(names))]
}

// mixBits spreads the bits of a combined hash. It is the finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
