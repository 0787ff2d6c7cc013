package reserver

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// SmallBytes is the largest reservation of a request that may use the whole budget.
	// Larger ones leave a quarter of it, so that they cannot keep ordinary requests out.
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
	if r.Drop != nil && size > SmallBytes {
		limit -= limit / 4
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
// reservation may grow to a size and an eighth of the budget is free besides. It reports
// whether the reservation may grow. b.mu must be held.
//
// What a dropped request holds counts as free at once, although its goroutine frees it a
// moment later: a small request would be refused otherwise.
func (b *Budget) makeRoom(r *Reservation, size int64) bool {
	now := time.Now()
	if now.Sub(b.searchedInVain) < searchPause {
		return false
	}
	stalledBefore := now.Add(-stallTime).UnixNano()
	var stalled []*Reservation
	for other := range maps.Keys(b.droppable) {
		if other != r && other.progressAt.Load() < stalledBefore {
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(a, b *Reservation) int { return cmp.Compare(b.counted, a.counted) })
	for _, other := range stalled {
		if b.reserved <= b.Bytes*7/8 && b.hasRoom(r, size) {
			break
		}
		b.reserved -= other.counted
		other.dropped = true
		delete(b.droppable, other)
		other.Drop()
	}
	if !b.hasRoom(r, size) {
		b.searchedInVain = now
		return false
	}
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
