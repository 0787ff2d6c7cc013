// Package emulator is a model of a language model engine in virtual time: it
// batches requests, reads prompts in chunks between the tokens of others, keeps
// parts of prompts while there is memory, and turns requests away when its queue
// is full. It owns no goroutine and no clock, so that load can be replayed.
package emulator

import (
	"slices"
	"time"
)

// Spec is what an engine can do. Times are those of one engine alone.
type Spec struct {
	// Slots is how many requests run at once, and Queue how many more wait.
	Slots int `yaml:"slots" validate:"gt=0"`
	Queue int `yaml:"queue" validate:"gte=0"`
	// Step is one decoding step of an empty batch; SlotStep is added for each
	// running request, and ContextStep for a thousand tokens that they hold.
	Step        time.Duration `yaml:"step" validate:"gt=0"`
	SlotStep    time.Duration `yaml:"slot-step" validate:"gte=0"`
	ContextStep time.Duration `yaml:"context-step" validate:"gte=0"`
	// ReadRate is the prompt tokens that are read in a second, and Chunk how many
	// of them between two steps.
	ReadRate float64 `yaml:"read-rate" validate:"gt=0"`
	Chunk    int64   `yaml:"chunk" validate:"gt=0"`
	// First is what a request takes before its prompt is read.
	First time.Duration `yaml:"first" validate:"gte=0"`
	// Memory is shared by running requests and cached parts, in tokens.
	Memory int64 `yaml:"memory" validate:"gt=0"`
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int64 `yaml:"event-tokens" validate:"gt=0"`
	// CopySetup and CopyRate, in tokens a second, are what it takes to copy parts
	// from another engine.
	CopySetup time.Duration `yaml:"copy-setup" validate:"gte=0"`
	CopyRate  float64       `yaml:"copy-rate" validate:"gte=0"`
}

// Part is a piece of a prompt. Requests share parts.
type Part struct {
	ID     uint64
	Tokens int64
}

// Job is one request.
type Job struct {
	ID uint64
	// Priority ranks it; 0 is the most urgent.
	Priority int
	Parts    []Part
	// Output is how many tokens it generates.
	Output int64
	// Copied is how many tokens of the prompt are copied from another engine.
	Copied int64
}

// Event is an event of a stream.
type Event struct {
	ID   uint64
	At   time.Time
	Last bool
}

// Engine is one engine. Create it with New.
type Engine struct {
	spec    Spec
	waiting []*run
	running []*run
	memory  memory
	// until is when the step under way ends; zero while the engine is idle.
	until time.Time
	// Read and Repeated are the prompt tokens that were read, and those of them
	// that had been read here before; Busy is the time spent on steps.
	Read     int64
	Repeated int64
	Busy     time.Duration
	// Preempted counts requests that lost their memory for a time.
	Preempted int
	// Known are the parts that were read before. Engines may share it.
	Known map[uint64]bool
}

// run is a job with what has been done of it.
type run struct {
	Job
	ready  time.Time
	unread int64
	// reading is how much is read in the step under way.
	reading  int64
	produced int64
	held     []uint64
	reserved int64
	read     bool
}

// New returns an idle engine.
func New(spec Spec) *Engine {
	return &Engine{spec: spec, memory: memory{room: spec.Memory, parts: map[uint64]*part{}}, Known: map[uint64]bool{}}
}

// Send offers a job. It reports false when the engine turns it away.
func (e *Engine) Send(now time.Time, job Job) bool {
	if len(e.waiting) >= e.spec.Queue || promptOf(job.Parts)+job.Output > e.spec.Memory {
		return false
	}
	r := &run{Job: job, ready: now.Add(e.spec.First)}
	if job.Copied > 0 {
		r.ready = r.ready.Add(e.spec.CopySetup + time.Duration(float64(job.Copied)/e.spec.CopyRate*float64(time.Second)))
	}
	e.enqueue(r)
	return true
}

// enqueue keeps waiting requests in the order of their urgency.
func (e *Engine) enqueue(r *run) {
	at, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *run) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.ready.Compare(b.ready)
	})
	e.waiting = slices.Insert(e.waiting, at, r)
}

// Cancel drops a job. It reports whether the engine still had it.
func (e *Engine) Cancel(id uint64) bool {
	for i, r := range e.waiting {
		if r.ID == id {
			e.waiting = slices.Delete(e.waiting, i, i+1)
			return true
		}
	}
	for i, r := range e.running {
		if r.ID == id {
			e.running = slices.Delete(e.running, i, i+1)
			e.memory.free(r)
			return true
		}
	}
	return false
}

// Load returns how many requests run and wait.
func (e *Engine) Load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// Keeps returns how many tokens of a prompt's beginning are kept.
func (e *Engine) Keeps(parts []Part) int64 {
	return e.memory.longest(parts)
}

// Next returns when the engine has something to do next.
func (e *Engine) Next() (time.Time, bool) {
	switch {
	case !e.until.IsZero():
		return e.until, true
	case len(e.waiting) == 0:
		return time.Time{}, false
	}
	next := e.waiting[0].ready
	for _, r := range e.waiting {
		if r.ready.Before(next) {
			next = r.ready
		}
	}
	return next, true
}

// Advance ends the step that is over and begins the next one. It returns the
// events of the step.
func (e *Engine) Advance(now time.Time) []Event {
	var events []Event
	if !e.until.IsZero() {
		if now.Before(e.until) {
			return nil
		}
		events = e.end(e.until)
		e.until = time.Time{}
	}
	e.begin(now)
	return events
}

// begin admits what fits and starts a step.
func (e *Engine) begin(now time.Time) {
	e.admit(now)
	if len(e.running) == 0 {
		return
	}
	budget, read, decoding, context := e.spec.Chunk, int64(0), 0, int64(0)
	for _, r := range e.running {
		r.reading = 0
		context += promptOf(r.Parts) + r.produced
		if r.unread == 0 {
			decoding++
			continue
		}
		r.reading = min(r.unread, budget)
		budget -= r.reading
		read += r.reading
	}
	took := e.spec.Step + time.Duration(decoding)*e.spec.SlotStep
	took += time.Duration(float64(e.spec.ContextStep) * float64(context) / 1000)
	took += time.Duration(float64(read) / e.spec.ReadRate * float64(time.Second))
	e.Read += read
	e.Busy += took
	e.until = now.Add(took)
}

// admit starts waiting requests, the most urgent first, while there is room.
func (e *Engine) admit(now time.Time) {
	for i := 0; i < len(e.waiting) && len(e.running) < e.spec.Slots; {
		r := e.waiting[i]
		if r.ready.After(now) {
			i++
			continue
		}
		if !e.memory.take(r) {
			return
		}
		e.noteRepeated(r)
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.running = append(e.running, r)
	}
}

// noteRepeated counts the shared parts that are read again.
func (e *Engine) noteRepeated(r *run) {
	skip := promptOf(r.Parts) - r.unread
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		if skip -= p.Tokens; skip < 0 {
			if e.Known[p.ID] {
				e.Repeated += min(-skip, p.Tokens)
			}
			skip = 0
		}
		e.Known[p.ID] = true
	}
}

// end makes one token of every request whose prompt is read.
func (e *Engine) end(now time.Time) []Event {
	var events []Event
	var left []*run
	for _, r := range e.running {
		if r.unread -= r.reading; r.unread > 0 {
			left = append(left, r)
			continue
		}
		if !r.read {
			r.read = true
			e.memory.keep(r)
		}
		r.reading = 0
		r.produced++
		r.reserved++
		e.memory.used++
		last := r.produced >= r.Output
		if last || (r.produced-1)%e.spec.EventTokens == 0 {
			events = append(events, Event{ID: r.ID, At: now, Last: last})
		}
		if last {
			e.memory.free(r)
			continue
		}
		left = append(left, r)
	}
	e.running = left
	e.preempt(now)
	return events
}

// preempt takes the memory of the newest of the least urgent requests while more
// is used than there is.
func (e *Engine) preempt(now time.Time) {
	for e.memory.used > e.memory.room && !e.memory.evict() && len(e.running) > 1 {
		at := 0
		for i, r := range e.running {
			if r.Priority >= e.running[at].Priority {
				at = i
			}
		}
		r := e.running[at]
		e.running = slices.Delete(e.running, at, at+1)
		e.memory.free(r)
		r.read, r.ready, r.Copied = false, now, 0
		e.Preempted++
		e.enqueue(r)
	}
}

func promptOf(parts []Part) int64 {
	total := int64(0)
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}
