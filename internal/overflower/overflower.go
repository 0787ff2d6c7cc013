// Package overflower limits what one instance relays to other regions by what these
// accept. Instances that see the same summaries of a region would otherwise all relay
// to it at once, and have most of it refused.
//
// For each region and rank of requests an [Overflower] keeps a window of relays whose
// outcome is not known yet. An acceptance widens it and a refusal narrows it, as
// congestion control does: the instances of all regions come to share what a region can
// take without telling each other, and none follows a summary that is out of date.
//
// The package starts no goroutine and reads no clock.
package overflower

import (
	"maps"
	"time"
)

// Limits of a window, in relays without a known outcome.
const (
	initialWindow = 8
	maxWindow     = 256
	// minWindow is below 1: a region that refuses everything gets one relay in a
	// probeInterval.
	minWindow     = 0.5
	probeInterval = 200 * time.Millisecond
	// narrowing is the factor of a window after a refusal.
	narrowing = 0.5
	// outcomeTimeout is after how long without any outcome the relays in a window count
	// as lost, so that they cannot block it for good.
	outcomeTimeout = 5 * time.Second
	// windowTTL is how long an unused window is kept, so that services and regions that
	// are gone leave none behind.
	windowTTL = time.Minute
)

// Key identifies a window: requests of one urgency for one service that go to one
// region.
type Key struct {
	Region, Service string
	Urgency         int
}

type window struct {
	size float64
	// open is how many relays have no outcome yet.
	open       int
	lastSent   time.Time
	lastChange time.Time
	narrowedAt time.Time
	// refused means that the window no longer grows by each acceptance.
	refused bool
}

// Overflower holds the windows of one instance. The zero value is ready to use. It is
// not safe for concurrent use.
type Overflower struct {
	windows map[Key]*window
}

// MayRelay reports whether a window has room for another relay.
func (o *Overflower) MayRelay(now time.Time, key Key) bool {
	w, known := o.windows[key]
	if !known {
		return true
	}
	if w.open > 0 && now.Sub(w.lastChange) > outcomeTimeout {
		w.open = 0
	}
	if w.size < 1 {
		return w.open == 0 && now.Sub(w.lastSent) >= probeInterval
	}
	return float64(w.open) < w.size
}

// Sent records a relay whose outcome is not known yet.
func (o *Overflower) Sent(now time.Time, key Key) {
	if o.windows == nil {
		o.windows = map[Key]*window{}
	}
	w, known := o.windows[key]
	if !known {
		maps.DeleteFunc(o.windows, func(_ Key, other *window) bool { return now.Sub(other.lastChange) > windowTTL })
		w = &window{size: initialWindow}
		o.windows[key] = w
	}
	w.open++
	w.lastSent, w.lastChange = now, now
}

// Accepted records that the region took a relay.
func (o *Overflower) Accepted(now time.Time, key Key) {
	w, known := o.windows[key]
	if !known {
		return
	}
	w.close(now)
	if w.refused {
		w.size += 1 / max(w.size, 1)
	} else {
		w.size++ // doubles in each round trip until the first refusal
	}
	w.size = min(w.size, maxWindow)
}

// Refused records that the region refused a relay that was sent at a time. Refusals of
// relays that were sent before the last one narrowed the window do not narrow it again.
func (o *Overflower) Refused(now, sentAt time.Time, key Key) {
	w, known := o.windows[key]
	if !known {
		return
	}
	w.close(now)
	w.refused = true
	if sentAt.Before(w.narrowedAt) {
		return
	}
	w.narrowedAt = now
	w.size = max(w.size*narrowing, minWindow)
}

func (w *window) close(now time.Time) {
	w.open = max(w.open-1, 0)
	w.lastChange = now
}
