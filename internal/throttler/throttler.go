// Package throttler shares the request limits that backend servers name among the
// instances of a region, without a coordinator in the path of a request.
//
// A server that is in need names a limit in its answers: the requests a second that
// it takes from all instances together. A few instances, its holders, share the
// limit; the others send the server nothing while it lasts. All instances choose the
// holders alike, by rendezvous hashing over those that they hear, so that the shares
// add up to the limit however many instances there are.
//
// An instance that hears only a minority of the others may be cut off from them, and
// cannot know who else counts as a holder. It uses no more than an even share of the
// limit among all of them.
//
// The package starts no goroutines, opens no sockets and reads no clock: callers
// pass the current time to every call.
package throttler

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Server identifies one start of a backend server. A limit ends with it.
type Server struct {
	Name            string
	StartedAtMillis int64
}

// Parameters of the shares.
const (
	// MinRate is the requests a second that are sent to a server whose limit is lower:
	// its answers tell when that changes.
	MinRate = 0.1
	// holdersPerRate and minHolders give the number of holders of a limit: with more, what
	// each saves up would exceed the limit when all spend it at once; with fewer, the
	// callers of the holders would not use it up.
	holdersPerRate = 2
	minHolders     = 3
	// retention is how long after the last observation of a server that is no longer
	// listed its limit is remembered.
	retention = 10 * time.Minute
	// endedRetention is how long it is remembered that a limit has ended, so that older
	// observations which arrive late do not restore it.
	endedRetention = 10 * time.Second
)

// Throttler holds one instance's view of the limits. The zero value, with Self set,
// knows of none. It is not safe for concurrent use.
type Throttler struct {
	// Self is the name of this instance.
	Self string

	limits   map[Server]*limit
	members  members
	refusals refusals
}

// limit is what a server last said of its limit, with this instance's share.
type limit struct {
	Observation
	// changedAt is when the rate last changed here.
	changedAt time.Time
	share     share
	// holders are the names of the instances that share the limit.
	holders []string
}

// Observe records what an answer of a server says of its limit. It reports whether
// that changes the limit.
func (t *Throttler) Observe(now time.Time, server Server, seen Observation) bool {
	current, known := t.limits[server]
	if !known {
		if !seen.Limited {
			return false
		}
		current = &limit{}
		if t.limits == nil {
			t.limits = map[Server]*limit{}
		}
		t.limits[server] = current
	}
	changed := current.merge(seen)
	if changed {
		current.changedAt = now
		current.share.refill(now) // at the earlier rate
		t.divide(server, current)
	}
	return changed
}

// Limit returns the limit of a server in requests a second, and whether it has one.
func (t *Throttler) Limit(server Server) (rate float64, limited bool) {
	known, exists := t.limits[server]
	if !exists || !known.Limited {
		return 0, false
	}
	return known.Rate, true
}

// MaySend reports whether this instance's share of a server's limit allows a request
// now. The most urgent requests may use the whole share; others leave a part of it
// for them.
func (t *Throttler) MaySend(now time.Time, server Server, urgent bool) bool {
	known, exists := t.limits[server]
	if !exists || !known.Limited {
		return true
	}
	known.share.refill(now)
	return known.share.allows(urgent)
}

// Take takes a request from this instance's share of a server's limit, if it has one.
func (t *Throttler) Take(now time.Time, server Server, urgent bool) {
	if known, exists := t.limits[server]; exists && known.Limited {
		known.share.refill(now)
		known.share.take(urgent)
	}
}

// Rate returns this instance's share of a server's limit in requests a second.
func (t *Throttler) Rate(server Server) float64 {
	known, exists := t.limits[server]
	if !exists || !known.Limited {
		return math.Inf(1)
	}
	return known.share.rate
}

// SetMembers takes over the instances of the region, this one included, that were
// heard within the last seconds, with the time since each was last heard. Known is
// how many there are together with those that have fallen silent, and settled is
// false while this instance may not know all of them yet.
func (t *Throttler) SetMembers(now time.Time, silence map[string]time.Duration, known int, settled bool) {
	if !t.members.set(t.Self, silence, known, settled) {
		return
	}
	for server, known := range t.limits {
		known.share.refill(now)
		t.divide(server, known)
	}
}

// divide sets the holders of a limit and this instance's share.
func (t *Throttler) divide(server Server, known *limit) {
	known.holders, known.share.rate = nil, 0
	if !known.Limited {
		return
	}
	rate := max(known.Rate, MinRate)
	if !t.members.isMajority() {
		known.share.rate = rate / float64(max(t.members.known, 1))
		return
	}
	known.holders = t.members.first(holderCount(rate, len(t.members.candidates)), server)
	if slices.Contains(known.holders, t.Self) {
		known.share.rate = rate / float64(len(known.holders))
	}
}

// holderCount returns how many of some candidates hold a limit. The conversion of a number
// that is too large for an int would differ between machines.
func holderCount(rate float64, candidates int) int {
	return min(int(min(rate*holdersPerRate, float64(candidates)))+minHolders, candidates)
}

// Forget drops the limits of servers that are no longer listed and have not been
// observed for long, and those that ended some time ago.
func (t *Throttler) Forget(now time.Time, listed func(Server) bool) {
	maps.DeleteFunc(t.limits, func(server Server, known *limit) bool {
		age := now.Sub(known.ArrivedAt)
		return !known.Limited && age > endedRetention || !listed(server) && age > retention
	})
}
