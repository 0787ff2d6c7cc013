package dispatcher_test

import (
	"container/heap"
	"time"

	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/tracker"
)

// Speeds and limits of the fake engine.
const (
	prefillSpeed  = 8000.0                 // tokens per second, one prompt at a time
	tokenInterval = 12 * time.Millisecond  // per output token, before batchDelay
	batchDelay    = 1.5 * 1e6              // nanoseconds added to tokenInterval per running request
	reportLag     = 400 * time.Millisecond // age of the load in an announcement when it is sent
	cacheSize     = 60                     // prefixes
	maxRunning    = 12
)

// engine simulates a model engine in virtual time. It prefills one prompt after
// another, slows down as its batch grows, has an LRU prefix cache of bounded size
// and reports its load with a lag.
type engine struct {
	name           string
	cachedPrefixes []uint64
	prefillIdleAt  time.Time
	running        int
	pendingTokens  int64
	loadHistory    []loadSample
	counter        uint64
	slowFactor     float64
}

// loadSample is the load of an engine at one time.
type loadSample struct {
	at   time.Time
	load tracker.Load
}

// startRequest adds a request to the batch. It returns when the first token
// comes, when the answer ends and how many prompt tokens are prefilled.
func (e *engine) startRequest(now time.Time, a arrival) (first, end time.Time, prefill int64) {
	prefill = a.prompt
	if e.lookUpPrefix(a.prefix) {
		prefill -= a.prefixTokens
	}
	begin := later(now, e.prefillIdleAt)
	first = begin.Add(time.Duration(float64(prefill) / prefillSpeed * e.effectiveSlowFactor() * float64(time.Second)))
	e.prefillIdleAt = first
	e.running++
	e.pendingTokens += a.output
	interval := time.Duration((float64(tokenInterval) + batchDelay*float64(e.running)) * e.effectiveSlowFactor())
	end = first.Add(time.Duration(a.output) * interval)
	e.recordLoad(now)
	return first, end, prefill
}

// effectiveSlowFactor is 1 for an engine that has no slowFactor.
func (e *engine) effectiveSlowFactor() float64 {
	return max(e.slowFactor, 1)
}

func (e *engine) finishRequest(now time.Time, a arrival) {
	e.running--
	e.pendingTokens -= a.output
	e.recordLoad(now)
}

func (e *engine) recordLoad(now time.Time) {
	e.loadHistory = append(e.loadHistory, loadSample{at: now, load: tracker.Load{Running: e.running, Tokens: e.pendingTokens}})
}

// lookUpPrefix reports whether a prefix is in the cache, and makes it the most
// recently used one.
func (e *engine) lookUpPrefix(prefix uint64) bool {
	hit := false
	kept := []uint64{prefix}
	for _, other := range e.cachedPrefixes {
		if other == prefix {
			hit = true
			continue
		}
		kept = append(kept, other)
	}
	e.cachedPrefixes = kept[:min(len(kept), cacheSize)]
	return hit
}

// announce returns an announcement with the load of reportLag ago.
func (e *engine) announce(now time.Time) dispatcher.Announce {
	var load tracker.Load
	for _, r := range e.loadHistory {
		if r.at.After(now.Add(-reportLag)) {
			break
		}
		load = r.load
	}
	e.counter++
	return dispatcher.Announce{Announcement: tracker.Announcement{
		Name: e.name, Pools: []string{"p"}, State: tracker.StateReady, Counter: e.counter, MaxRunning: maxRunning, Load: load,
	}}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// arrival is one request of a load. Its offset is from the start of the load;
// prompt, prefixTokens and output are in tokens.
type arrival struct {
	offset       time.Duration
	workspace    string
	weight       float64
	prefix       uint64
	prompt       int64
	prefixTokens int64
	output       int64
	timeout      time.Duration
}

// event is a step of the simulation. Events of the same time run in the order in
// which they were added.
type event struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

// eventQueue is a priority queue of events, ordered by time.
type eventQueue struct {
	events       []event
	lastSequence int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	if !q.events[i].at.Equal(q.events[j].at) {
		return q.events[i].at.Before(q.events[j].at)
	}
	return q.events[i].sequence < q.events[j].sequence
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

func (q *eventQueue) add(at time.Time, run func(now time.Time)) {
	q.lastSequence++
	heap.Push(q, event{at: at, sequence: q.lastSequence, run: run})
}

func (q *eventQueue) next() event {
	return heap.Pop(q).(event)
}
