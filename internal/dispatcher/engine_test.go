package dispatcher_test

import (
	"container/heap"
	"time"

	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/tracker"
)

// The speeds of the fake engine.
const (
	prefillTokens = 8000.0                 // tokens a second, one prompt at a time
	tokenInterval = 12 * time.Millisecond  // alone in its batch
	batchDrag     = 1.5 * 1e6              // nanoseconds more for each other request
	reportLag     = 400 * time.Millisecond // how old a report is when it is sent
	cacheSize     = 60                     // prefixes
	maxRunning    = 12
)

// engine is a fake model engine in virtual time: a prefill queue, a batch that
// slows with its size, a bounded prefix cache, and lagging reports.
type engine struct {
	name        string
	cache       []uint64
	prefillFree time.Time
	running     int
	tokens      int64
	history     []report
	counter     uint64
	slow        float64
}

// report is the load at a time.
type report struct {
	at   time.Time
	load tracker.Load
}

// start returns when the first token comes and when the answer ends.
func (e *engine) start(now time.Time, a arrival) (first, end time.Time, prefill int64) {
	prefill = a.prompt
	if e.cached(a.prefix) {
		prefill -= a.prefixTokens
	}
	begin := later(now, e.prefillFree)
	first = begin.Add(time.Duration(float64(prefill) / prefillTokens * e.slowness() * float64(time.Second)))
	e.prefillFree = first
	e.running++
	e.tokens += a.output
	interval := time.Duration((float64(tokenInterval) + batchDrag*float64(e.running)) * e.slowness())
	end = first.Add(time.Duration(a.output) * interval)
	e.note(now)
	return first, end, prefill
}

func (e *engine) slowness() float64 {
	return max(e.slow, 1)
}

func (e *engine) finish(now time.Time, a arrival) {
	e.running--
	e.tokens -= a.output
	e.note(now)
}

func (e *engine) note(now time.Time) {
	e.history = append(e.history, report{at: now, load: tracker.Load{Running: e.running, Tokens: e.tokens}})
}

// cached reports whether a prefix is in the cache, and puts it in front.
func (e *engine) cached(prefix uint64) bool {
	hit := false
	kept := []uint64{prefix}
	for _, other := range e.cache {
		if other == prefix {
			hit = true
			continue
		}
		kept = append(kept, other)
	}
	e.cache = kept[:min(len(kept), cacheSize)]
	return hit
}

// announce reports the load of a while ago.
func (e *engine) announce(now time.Time) dispatcher.Announce {
	var load tracker.Load
	for _, r := range e.history {
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

// arrival is one request of a load.
type arrival struct {
	at           time.Duration
	workspace    string
	weight       float64
	prefix       uint64
	prompt       int64
	prefixTokens int64
	output       int64
	deadline     time.Duration
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// agenda is the events in order of time.
type agenda struct {
	events []event
	order  int
}

func (a *agenda) Len() int { return len(a.events) }
func (a *agenda) Less(i, j int) bool {
	if !a.events[i].at.Equal(a.events[j].at) {
		return a.events[i].at.Before(a.events[j].at)
	}
	return a.events[i].order < a.events[j].order
}
func (a *agenda) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }
func (a *agenda) Push(x any)    { a.events = append(a.events, x.(event)) }
func (a *agenda) Pop() any {
	last := a.events[len(a.events)-1]
	a.events = a.events[:len(a.events)-1]
	return last
}

func (a *agenda) add(at time.Time, run func(now time.Time)) {
	a.order++
	heap.Push(a, event{at: at, order: a.order, run: run})
}

func (a *agenda) next() event {
	return heap.Pop(a).(event)
}
