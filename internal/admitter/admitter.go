// Package admitter holds requests that no server can take at the moment and that can
// still meet their objective if they wait for a fraction of it.
//
// A [Room] belongs to one instance. Requests of a service wait in one queue for each
// urgency, in which workspaces share by weight (see queuer): a workspace that sends
// several times its usual delays only itself. More urgent requests go first. A request
// that the rate at which others have left its queue cannot serve in time is refused when
// it comes.
//
// The package starts no goroutine and reads no clock.
package admitter

import (
	"maps"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/queuer"
)

// Entry is a waiting request.
type Entry struct {
	// ID must be unique in the room.
	ID uint64
	// Service and Urgency select the queue; an urgency of 0 goes first.
	Service   string
	Urgency   int
	Workspace string
	// Tokens is the size of the prompt.
	Tokens int64
	// LeaveBy is when the request has to leave the room at the latest.
	LeaveBy time.Time
}

// maxWaiting bounds the requests that wait in one queue: their bodies are in memory.
const maxWaiting = 128

type class struct {
	service string
	urgency int
}

type queue struct {
	queuer.Queue
	rate busyRate
}

// Room holds the waiting requests of one instance. The zero value is empty and ready to
// use. It is not safe for concurrent use.
type Room struct {
	queues  map[class]*queue
	classes map[uint64]class
}

// Add lets a request wait. It returns false if the request cannot leave in time.
func (r *Room) Add(now time.Time, entry Entry) bool {
	if r.queues == nil {
		r.queues, r.classes = map[class]*queue{}, map[uint64]class{}
	}
	key := class{service: entry.Service, urgency: entry.Urgency}
	q, exists := r.queues[key]
	if !exists {
		q = &queue{}
		r.queues[key] = q
	}
	cost := float64(max(entry.Tokens, 1))
	if q.Len() >= maxWaiting || !entry.LeaveBy.After(now.Add(q.rate.timeFor(now, q.WaitingCost()+cost))) {
		return false
	}
	if q.Len() == 0 {
		q.rate.start(now)
	}
	q.Add(queuer.Item{ID: entry.ID, Workspace: entry.Workspace, Weight: 1, Cost: cost, Deadline: entry.LeaveBy})
	r.classes[entry.ID] = key
	return true
}

// Heads calls try with the first request of each queue, the more urgent queues of a
// service first, and goes on with the next one of a queue as long as try returns true,
// which means that the request has left. Less urgent requests of a service are not tried
// once a more urgent one cannot leave.
func (r *Room) Heads(now time.Time, try func(id uint64) bool) {
	blocked := map[string]bool{}
	for _, key := range r.sortedClasses() {
		q := r.queues[key]
		for !blocked[key.service] {
			head, exists := q.Peek()
			if !exists {
				break
			}
			if !try(head.ID) {
				blocked[key.service] = true
				break
			}
			q.Pop(now)
			delete(r.classes, head.ID)
			q.rate.add(now, head.Cost, q.Len() == 0)
		}
	}
}

func (r *Room) sortedClasses() []class {
	return slices.SortedFunc(maps.Keys(r.queues), func(a, b class) int {
		if a.service != b.service {
			if a.service < b.service {
				return -1
			}
			return 1
		}
		return a.urgency - b.urgency
	})
}

// Expire removes and returns the requests that had to leave by now.
func (r *Room) Expire(now time.Time) []uint64 {
	var expired []uint64
	for _, q := range r.queues {
		for _, item := range q.RemoveExpired(now) {
			expired = append(expired, item.ID)
			delete(r.classes, item.ID)
		}
		if q.Len() == 0 {
			q.rate.stop(now)
		}
	}
	slices.Sort(expired)
	return expired
}

// Remove removes a request whose caller has gone. It returns false if the request does
// not wait.
func (r *Room) Remove(now time.Time, id uint64) bool {
	key, waits := r.classes[id]
	if !waits {
		return false
	}
	delete(r.classes, id)
	q := r.queues[key]
	q.Remove(id)
	if q.Len() == 0 {
		q.rate.stop(now)
	}
	return true
}

// Len returns the number of waiting requests.
func (r *Room) Len() int { return len(r.classes) }

// busyRate measures how fast requests leave a queue while others wait in it. What leaves
// an empty queue says nothing about how fast it would drain.
type busyRate struct {
	busySince time.Time
	busyTime  time.Duration
	cost      float64
}

// Limits of the measurement.
const (
	// minBusyTime is the shortest time that gives a rate.
	minBusyTime = 200 * time.Millisecond
	// maxBusyTime is the time after which earlier departures count half.
	maxBusyTime = time.Second
)

func (b *busyRate) start(now time.Time) { b.busySince = now }

func (b *busyRate) stop(now time.Time) {
	if !b.busySince.IsZero() {
		b.busyTime += now.Sub(b.busySince)
		b.busySince = time.Time{}
	}
	if b.busyTime > maxBusyTime {
		b.busyTime /= 2
		b.cost /= 2
	}
}

func (b *busyRate) add(now time.Time, cost float64, emptied bool) {
	b.cost += cost
	b.stop(now)
	if !emptied {
		b.start(now)
	}
}

// timeFor returns how long a cost takes to leave, or 0 while that is not known.
func (b *busyRate) timeFor(now time.Time, cost float64) time.Duration {
	busy := b.busyTime
	if !b.busySince.IsZero() {
		busy += now.Sub(b.busySince)
	}
	if busy < minBusyTime {
		return 0
	}
	return time.Duration(cost / max(b.cost, 1) * float64(busy))
}
