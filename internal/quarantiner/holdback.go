package quarantiner

import (
	"slices"
	"time"
)

// Servers that crash under a part all the time answer nothing else either, so that
// nothing tells the part from others that all requests have. Requests with such a part
// are then held back for a moment, so that answers without it can begin.
const (
	// holdBackTime is how long after its last crash a part is held back. It is longer
	// than settleTime, so that crashes can count as soon as others have begun.
	holdBackTime = settleTime + 500*time.Millisecond
	// maxHoldBackDoublings bounds how often holdBackTime doubles, which it does with each
	// further crash under a request that was never answered soundly: if nothing else
	// begins for long, hardly any of its repetitions reach a server.
	maxHoldBackDoublings = 5
	// maxHoldBackShare is the largest share of the requests that are held back, unless
	// they are repetitions of one that was never answered soundly.
	maxHoldBackShare = 0.75
	// maxRecentRequests is how many requests the shares are taken of, and
	// minRecentRequests the fewest that say anything.
	maxRecentRequests = 64
	minRecentRequests = 8
)

// recentRequests holds the parts of the last requests that have any. The zero value is
// empty.
type recentRequests struct {
	parts [][]uint64
	next  int
}

func (r *recentRequests) add(parts []uint64) {
	switch {
	case len(parts) == 0:
		return
	case len(r.parts) < maxRecentRequests:
		r.parts = append(r.parts, parts)
		return
	}
	r.parts[r.next] = parts
	r.next = (r.next + 1) % maxRecentRequests
}

// share returns the share of the requests that have a part; 1 if there were too few.
func (r *recentRequests) share(part uint64) float64 {
	if len(r.parts) < minRecentRequests {
		return 1
	}
	count := 0
	for _, parts := range r.parts {
		if slices.Contains(parts, part) {
			count++
		}
	}
	return float64(count) / float64(len(r.parts))
}

// holdBack returns for how long a request must be held back because of its traits; 0 if
// it may run.
func (t *Table) holdBack(now time.Time, traits Traits, levels map[uint64]Level) (hold time.Duration) {
	traits.each(func(id uint64, _ bool) {
		p, known := t.parts[id]
		if !known || levels[id] != LevelSuspected {
			return
		}
		last, length := p.holdBack(t.verdict.history)
		// Holding back what nearly all requests have leaves no others that can begin.
		if length > 0 && (p.isNeverSound() || t.recent.share(id) <= maxHoldBackShare) {
			hold = max(hold, length-now.Sub(last))
		}
	})
	return hold
}

// holdBack returns for how long a part must be held back after its last crash; 0 if it
// may run.
func (p *part) holdBack(history *history) (last time.Time, length time.Duration) {
	switch {
	case p.isRequest && p.wasSound:
		return last, 0 // it clears itself
	case !p.isRequest:
		last, undecided := p.lastUndecided(history)
		if !undecided {
			return last, 0
		}
		return last, holdBackTime
	}
	uncleared := p.unclearedCrashes()
	if uncleared < quarantiningCrashes {
		return last, 0
	}
	return p.lastEvidence(), holdBackTime << min(uncleared-quarantiningCrashes, maxHoldBackDoublings)
}

// lastUndecided returns the time of the last crash of a part, and whether its crashes
// would quarantine it if answers of the same service without it had begun since. Crashes
// that are explained do not count.
func (p *part) lastUndecided(history *history) (last time.Time, undecided bool) {
	var times, contrasted []time.Time
	for id, c := range p.crashes {
		if c.cleared || !history.isUnexplained(p, id) {
			continue
		}
		times = append(times, c.at)
		if c.contrasted {
			contrasted = append(contrasted, c.at)
		}
	}
	if countSeparate(times) < quarantiningCrashes || countSeparate(contrasted) >= quarantiningCrashes {
		return time.Time{}, false
	}
	return slices.MaxFunc(times, time.Time.Compare), true
}

// countSeparate returns how many of some crashes are further apart than a window.
func countSeparate(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range times {
		if count == 0 || at.Sub(last) > crashWindow {
			count++
			last = at
		}
	}
	return count
}
