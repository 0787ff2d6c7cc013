package watcher

import (
	"time"

	"github.com/boragehead/boragehead/internal/tabler"
)

// maxHeard limits the number of revisions that a lagTracker distinguishes.
const maxHeard = 16

// lagTracker tells for how long an instance has known that newer revisions than
// its own exist. The zero value has heard of none. It is not safe for concurrent
// use.
type lagTracker struct {
	// heard are the revisions that the instance has heard of and does not have, in
	// ascending order.
	heard []heardRevision
}

type heardRevision struct {
	revision tabler.Revision
	at       time.Time
}

// hear records that a revision exists. own is the revision that the instance has.
func (l *lagTracker) hear(now time.Time, own, revision tabler.Revision) {
	for len(l.heard) > 0 && l.heard[0].revision <= own {
		l.heard = l.heard[1:]
	}
	if revision <= own || len(l.heard) > 0 && revision <= l.heard[len(l.heard)-1].revision {
		return
	}
	if len(l.heard) == maxHeard {
		// The earlier time counts for both, so that the lag is not too short.
		l.heard[maxHeard-1].revision = revision
		return
	}
	l.heard = append(l.heard, heardRevision{revision: revision, at: now})
}

// lag returns the time since the instance first heard of a revision that is newer
// than its own, or 0 if it knows of none.
func (l *lagTracker) lag(now time.Time, own tabler.Revision) time.Duration {
	for _, heard := range l.heard {
		if heard.revision > own {
			return now.Sub(heard.at)
		}
	}
	return 0
}
