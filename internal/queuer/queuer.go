// Package queuer orders waiting requests fairly between workspaces.
//
// The one idea is start-time fair queueing: each request gets a virtual start
// time that advances with its workspace's cost over its weight, and the
// earliest start goes first. One workspace's flood delays itself. The queue is
// bounded by time, not by count: a request whose deadline cannot be met is
// refused when it arrives.
package queuer

import (
	"cmp"
	"container/heap"
	"time"
)

// Item is a waiting request.
type Item struct {
	ID        uint64
	Workspace string
	// Weight is the workspace's share; it must be above 0.
	Weight float64
	// Cost is the expected work in tokens.
	Cost     float64
	Deadline time.Time

	start    float64
	order    uint64
	position int
	passed   int
}

// Queue is a fair queue. The zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	items    itemHeap
	byID     map[uint64]*Item
	finishes map[string]float64
	virtual  float64
	order    uint64
	cost     float64
	drain    drainRate
}

// Push adds a request. It returns false, and how long the queue needs, when
// the request's deadline cannot be met.
func (q *Queue) Push(now time.Time, item Item) (wait time.Duration, ok bool) {
	wait = q.Delay(now)
	if now.Add(wait).After(item.Deadline) {
		return wait, false
	}
	if q.byID == nil {
		q.byID = map[uint64]*Item{}
		q.finishes = map[string]float64{}
	}
	if q.items.Len() == 0 {
		clear(q.finishes)
		q.virtual = 0
	}
	item.start = max(q.virtual, q.finishes[item.Workspace])
	q.finishes[item.Workspace] = item.start + item.Cost/item.Weight
	q.order++
	item.order = q.order
	q.cost += item.Cost
	q.byID[item.ID] = &item
	heap.Push(&q.items, &item)
	return wait, true
}

// Pop removes the request that goes next.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	if q.items.Len() == 0 {
		return Item{}, false
	}
	item := heap.Pop(&q.items).(*Item)
	q.virtual = max(q.virtual, item.start)
	q.forget(item)
	q.drain.note(now, item.Cost)
	return *item, true
}

// Bounds of passing over.
const (
	// lookahead is how many requests at the head are looked at.
	lookahead = 16
	// maxPassed is how often a request may be passed over.
	maxPassed = 16
)

// PopSuited removes the first request at the head that suits what is free
// now. Those passed over keep their places and are passed over only so often;
// when none suits, the head goes.
func (q *Queue) PopSuited(now time.Time, suits func(id uint64) bool) (Item, bool) {
	var passed []*Item
	var chosen *Item
	for len(passed) < lookahead && q.items.Len() > 0 {
		item := heap.Pop(&q.items).(*Item)
		if item.passed >= maxPassed || suits(item.ID) {
			chosen = item
			break
		}
		passed = append(passed, item)
	}
	if chosen == nil && len(passed) > 0 {
		chosen = passed[0]
		passed = passed[1:]
	}
	for _, item := range passed {
		item.passed++
		heap.Push(&q.items, item)
	}
	if chosen == nil {
		return Item{}, false
	}
	q.virtual = max(q.virtual, chosen.start)
	q.forget(chosen)
	q.drain.note(now, chosen.Cost)
	return *chosen, true
}

// Remove takes a request out, as when its caller has gone.
func (q *Queue) Remove(id uint64) bool {
	item, known := q.byID[id]
	if !known {
		return false
	}
	heap.Remove(&q.items, item.position)
	q.forget(item)
	return true
}

func (q *Queue) forget(item *Item) {
	delete(q.byID, item.ID)
	q.cost = max(q.cost-item.Cost, 0)
}

// Overdue removes the requests whose deadline has passed.
func (q *Queue) Overdue(now time.Time) []Item {
	var overdue []Item
	for _, item := range q.byID {
		if !now.Before(item.Deadline) {
			overdue = append(overdue, *item)
		}
	}
	for _, item := range overdue {
		q.Remove(item.ID)
	}
	return overdue
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	return q.items.Len()
}

// Delay returns how long the queue needs to drain what waits in it.
func (q *Queue) Delay(now time.Time) time.Duration {
	return q.drain.timeFor(now, q.cost)
}

// drainRate averages the work that leaves a queue, in tokens per second.
type drainRate struct {
	rate float64
	work float64
	last time.Time
}

// drainWindow is the time over which the drain rate is measured.
const drainWindow = time.Second

func (d *drainRate) note(now time.Time, cost float64) {
	const weight = 0.3
	if d.last.IsZero() {
		d.last = now
	}
	d.work += cost
	elapsed := now.Sub(d.last)
	if elapsed < drainWindow {
		return
	}
	seen := d.work / elapsed.Seconds()
	if d.rate == 0 {
		d.rate = seen
	}
	d.rate += weight * (seen - d.rate)
	d.work = 0
	d.last = now
}

// timeFor returns how long some work takes; 0 while the rate is not known.
func (d *drainRate) timeFor(_ time.Time, cost float64) time.Duration {
	if d.rate <= 0 {
		return 0
	}
	return time.Duration(cost / d.rate * float64(time.Second))
}

// itemHeap orders items by virtual start, then by arrival.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].start, h[j].start), cmp.Compare(h[i].order, h[j].order)) < 0
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.position = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}
