// Package queuer orders waiting requests fairly between workspaces.
//
// It uses start-time fair queueing: each request gets a virtual start time that
// advances with the cost of its workspace's requests divided by the workspace's
// weight, and the request with the earliest start goes first. A workspace that
// sends many requests delays only itself. The queue is bounded by time, not by
// count: a request whose deadline cannot be met is refused when it arrives.
package queuer

import (
	"cmp"
	"container/heap"
	"time"
)

// Item is a waiting request.
type Item struct {
	// ID must be unique in the queue.
	ID        uint64
	Workspace string
	// Weight is the workspace's relative share; it must be above 0.
	Weight float64
	// Cost is the expected work in tokens.
	Cost     float64
	Deadline time.Time

	virtualStart float64
	// arrival numbers the requests in the order in which they were added.
	arrival         uint64
	heapIndex       int
	timesPassedOver int
}

// Queue is a fair queue. The zero value is empty and ready to use. It is not safe
// for concurrent use.
type Queue struct {
	items itemHeap
	byID  map[uint64]*Item
	// finishByWorkspace is the virtual time at which the last request of each
	// workspace finishes. It is cleared when the queue has become empty.
	finishByWorkspace map[string]float64
	// virtualTime is the latest virtual start of the requests popped.
	virtualTime float64
	lastArrival uint64
	// waitingCost is the total cost of the waiting requests.
	waitingCost float64
	drainRate   rateEstimator
}

// Push adds a request and returns the expected wait. If the request's deadline
// comes before the end of that wait, Push returns false and does not add it.
func (q *Queue) Push(now time.Time, item Item) (wait time.Duration, ok bool) {
	wait = q.DrainTime(now)
	if now.Add(wait).After(item.Deadline) {
		return wait, false
	}
	q.Add(item)
	return wait, true
}

// Add adds a request whatever its deadline.
func (q *Queue) Add(item Item) {
	if q.byID == nil {
		q.byID = map[uint64]*Item{}
		q.finishByWorkspace = map[string]float64{}
	}
	if q.items.Len() == 0 {
		clear(q.finishByWorkspace)
		q.virtualTime = 0
	}
	item.virtualStart = max(q.virtualTime, q.finishByWorkspace[item.Workspace])
	q.finishByWorkspace[item.Workspace] = item.virtualStart + item.Cost/item.Weight
	q.lastArrival++
	item.arrival = q.lastArrival
	q.waitingCost += item.Cost
	q.byID[item.ID] = &item
	heap.Push(&q.items, &item)
}

// Peek returns the request that goes next. It returns false if the queue is empty.
func (q *Queue) Peek() (Item, bool) {
	if q.items.Len() == 0 {
		return Item{}, false
	}
	return *q.items[0], true
}

// WaitingCost returns the total cost of the waiting requests.
func (q *Queue) WaitingCost() float64 {
	return q.waitingCost
}

// Pop removes and returns the request that goes next. It returns false if the
// queue is empty.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	if q.items.Len() == 0 {
		return Item{}, false
	}
	item := heap.Pop(&q.items).(*Item)
	q.virtualTime = max(q.virtualTime, item.virtualStart)
	q.removeFromTotals(item)
	q.drainRate.addDeparture(now, item.Cost)
	return *item, true
}

// Limits of PopSuitable.
const (
	// maxLookahead is how many requests at the head are considered.
	maxLookahead = 16
	// maxTimesPassedOver is how often a request may be passed over.
	maxTimesPassedOver = 16
)

// PopSuitable removes and returns the first of the requests near the head for
// which suitable returns true, or the head if there is none. Requests that are
// passed over keep their places. One that has been passed over
// maxTimesPassedOver times is taken without asking suitable, so that it does not
// starve. PopSuitable returns false if the queue is empty.
func (q *Queue) PopSuitable(now time.Time, suitable func(id uint64) bool) (Item, bool) {
	var passedOver []*Item
	var chosen *Item
	for len(passedOver) < maxLookahead && q.items.Len() > 0 {
		item := heap.Pop(&q.items).(*Item)
		if item.timesPassedOver >= maxTimesPassedOver || suitable(item.ID) {
			chosen = item
			break
		}
		passedOver = append(passedOver, item)
	}
	if chosen == nil && len(passedOver) > 0 {
		chosen = passedOver[0]
		passedOver = passedOver[1:]
	}
	for _, item := range passedOver {
		item.timesPassedOver++
		heap.Push(&q.items, item)
	}
	if chosen == nil {
		return Item{}, false
	}
	q.virtualTime = max(q.virtualTime, chosen.virtualStart)
	q.removeFromTotals(chosen)
	q.drainRate.addDeparture(now, chosen.Cost)
	return *chosen, true
}

// Remove removes a request, for example because its caller has gone. It returns
// false if the request is not in the queue.
func (q *Queue) Remove(id uint64) bool {
	item, known := q.byID[id]
	if !known {
		return false
	}
	heap.Remove(&q.items, item.heapIndex)
	q.removeFromTotals(item)
	return true
}

// removeFromTotals deletes an item that has left the heap from the other fields.
func (q *Queue) removeFromTotals(item *Item) {
	delete(q.byID, item.ID)
	q.waitingCost = max(q.waitingCost-item.Cost, 0)
}

// RemoveExpired removes and returns the requests whose deadline has passed, in
// no particular order.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for _, item := range q.byID {
		if !now.Before(item.Deadline) {
			expired = append(expired, *item)
		}
	}
	for _, item := range expired {
		q.Remove(item.ID)
	}
	return expired
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.items.Len()
}

// DrainTime returns how long it takes until all waiting requests have left the
// queue at the rate measured so far. It is 0 while no rate has been measured.
func (q *Queue) DrainTime(now time.Time) time.Duration {
	return q.drainRate.timeToDrain(now, q.waitingCost)
}

// rateEstimator computes a moving average of the cost that leaves a queue, in
// tokens per second.
type rateEstimator struct {
	costPerSecond float64
	// windowCost is the cost that has left the queue since windowStart.
	windowCost  float64
	windowStart time.Time
}

// rateWindow is the shortest time over which a sample of the rate is taken.
const rateWindow = time.Second

// addDeparture records that a request of the given cost has left the queue.
func (r *rateEstimator) addDeparture(now time.Time, cost float64) {
	const smoothing = 0.3
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.windowCost += cost
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return
	}
	sample := r.windowCost / elapsed.Seconds()
	if r.costPerSecond == 0 {
		r.costPerSecond = sample
	}
	r.costPerSecond += smoothing * (sample - r.costPerSecond)
	r.windowCost = 0
	r.windowStart = now
}

// timeToDrain returns how long it takes until a cost has left the queue, or 0
// while the rate is not known.
func (r *rateEstimator) timeToDrain(_ time.Time, cost float64) time.Duration {
	if r.costPerSecond <= 0 {
		return 0
	}
	return time.Duration(cost / r.costPerSecond * float64(time.Second))
}

// itemHeap orders items by virtual start, then by arrival.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].virtualStart, h[j].virtualStart), cmp.Compare(h[i].arrival, h[j].arrival)) < 0
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.heapIndex = len(*h)
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
