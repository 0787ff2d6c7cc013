package reserver

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// SmallBytes is the largest reservation of an ordinary request. Larger ones leave a
	// quarter of the budget, so that they cannot keep ordinary requests out, and those of
	// callers an eighth, so that they cannot keep out what is preferred.
	SmallBytes = 64 << 10
	// progressBytes must arrive within stallTime for a request not to count as stalled. A
	// caller on the slowest link sends several times as much.
	progressBytes = 512
	stallTime     = 500 * time.Millisecond
	// searchPause is how long after a search in vain no stalled request is searched for:
	// under attack each arrival would look at all requests.
	searchPause = 5 * time.Millisecond
)

// hasRoom reports whether a reservation may grow to a size. b.mu must be held.
func (b *Budget) hasRoom(r *Reservation, size int64) bool {
	limit := b.Bytes
	switch {
	case r.Drop == nil:
	case size > SmallBytes:
		limit -= limit / 4
	case !r.Preferred:
		limit -= limit / 8
	}
	return b.reserved+size-r.counted <= limit
}

// track lets a reservation be dropped. b.mu must be held.
func (b *Budget) track(r *Reservation) {
	if b.droppable == nil {
		b.droppable = map[*Reservation]struct{}{}
	}
	if _, known := b.droppable[r]; !known {
		b.droppable[r] = struct{}{}
		r.progressAt.Store(time.Now().UnixNano())
	}
}

// makeRoom drops the requests that have stalled, those first that hold the most, until a
// reservation may grow to a size and a quarter of the budget is free. It reports
// whether the reservation may grow. b.mu must be held.
//
// What a dropped request holds counts as free at once, although its goroutine frees it a
// moment later: a small request would be refused otherwise.
func (b *Budget) makeRoom(r *Reservation, size int64) bool {
	for _, other := range b.stalled(r) {
		if b.reserved <= b.Bytes*3/4 && b.hasRoom(r, size) {
			break
		}
		b.drop(other)
	}
	return b.hasRoom(r, size)
}

// stalled returns the requests that have stalled, except for one, those first that hold the
// most. b.mu must be held.
func (b *Budget) stalled(except *Reservation) []*Reservation {
	now := time.Now()
	if now.Sub(b.searchedInVain) < searchPause {
		return nil
	}
	stalledBefore := now.Add(-stallTime).UnixNano()
	var stalled []*Reservation
	for other := range maps.Keys(b.droppable) {
		if other != except && other.progressAt.Load() < stalledBefore {
			stalled = append(stalled, other)
		}
	}
	if len(stalled) == 0 {
		b.searchedInVain = now
	}
	slices.SortFunc(stalled, func(a, b *Reservation) int { return cmp.Compare(b.counted, a.counted) })
	return stalled
}

// drop ends the reading of a request. b.mu must be held.
func (b *Budget) drop(r *Reservation) {
	b.reserved -= r.counted
	r.dropped = true
	delete(b.droppable, r)
	r.Drop()
}

// DropStalled ends the reading of the stalled request that holds the most. It returns false if
// none has stalled.
func (b *Budget) DropStalled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	stalled := b.stalled(nil)
	if len(stalled) == 0 {
		return false
	}
	b.drop(stalled[0])
	return true
}

// Progress records that bytes of the request have arrived. The goroutine that uses the
// reservation calls it.
func (r *Reservation) Progress(count int) {
	if r.unnoted += count; r.unnoted >= progressBytes {
		r.unnoted = 0
		r.progressAt.Store(time.Now().UnixNano())
	}
}

// Keep ends the reading of a request: Drop is not called any more, and the memory stays
// reserved. It returns false if Drop was called.
func (r *Reservation) Keep() bool {
	if r.Budget == nil {
		return true
	}
	r.Budget.mu.Lock()
	defer r.Budget.mu.Unlock()
	delete(r.Budget.droppable, r)
	r.kept = true
	return !r.dropped
}
