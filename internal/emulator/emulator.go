// Package emulator models a language model engine in virtual time: it batches
// requests, prefills prompts in chunks between decoding steps, caches prompt
// parts while memory lasts, and rejects requests when its queue is full. It
// starts no goroutine and reads no clock, so that a load can be replayed. An
// Engine is not safe for concurrent use.
package emulator

import (
	"slices"
	"time"
)

// Spec describes the capacity and speed of one engine.
type Spec struct {
	// Slots is the maximum number of running requests, QueueLimit that of waiting
	// ones.
	Slots      int `yaml:"slots" validate:"gt=0"`
	QueueLimit int `yaml:"queue" validate:"gte=0"`
	// StepTime is the duration of one step before the following is added:
	// StepTimePerRequest for each request that decodes in the step, and
	// StepTimePerKilotoken for every thousand prompt and generated tokens of the
	// running requests.
	StepTime             time.Duration `yaml:"step" validate:"gt=0"`
	StepTimePerRequest   time.Duration `yaml:"slot-step" validate:"gte=0"`
	StepTimePerKilotoken time.Duration `yaml:"context-step" validate:"gte=0"`
	// PrefillRate is in prompt tokens per second. PrefillChunk bounds the prompt
	// tokens that are prefilled in one step.
	PrefillRate  float64 `yaml:"read-rate" validate:"gt=0"`
	PrefillChunk int64   `yaml:"chunk" validate:"gt=0"`
	// PrefillDelay is the least time between submission and the start of the prefill.
	PrefillDelay time.Duration `yaml:"first" validate:"gte=0"`
	// Memory is shared by running requests and cached parts, in tokens.
	Memory int64 `yaml:"memory" validate:"gt=0"`
	// TokensPerEvent is the number of tokens in one event of a stream; the first
	// event has one token and the last may have fewer.
	TokensPerEvent int64 `yaml:"event-tokens" validate:"gt=0"`
	// CopySetup is the fixed time, and CopyRate the tokens per second, of copying
	// cached prompt parts from another engine.
	CopySetup time.Duration `yaml:"copy-setup" validate:"gte=0"`
	CopyRate  float64       `yaml:"copy-rate" validate:"gte=0"`
}

// PromptPart is a section of a prompt. Requests whose prompts begin with the same
// parts, by ID, share them in the cache.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// Job describes one request to an engine.
type Job struct {
	ID uint64
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	Parts    []PromptPart
	// OutputTokens is the number of tokens to generate.
	OutputTokens int64
	// CopiedTokens is how many leading tokens of the prompt are copied from another
	// engine instead of prefilled.
	CopiedTokens int64
}

// Event is one event of the response stream of job ID. Last marks the end.
type Event struct {
	ID   uint64
	At   time.Time
	Last bool
}

// Engine is one emulated engine. Create it with New.
type Engine struct {
	spec    Spec
	waiting []*request
	running []*request
	memory  memory
	// stepEnd is when the current step ends; zero while the engine is idle.
	stepEnd time.Time
	// Slowdown multiplies the duration of the steps that start from now on. It is 1
	// at normal speed, and may be changed at any time.
	Slowdown float64
	// PrefilledTokens counts prompt tokens that were prefilled. RepeatedTokens counts
	// those of them in shared parts that had been prefilled before. BusyTime is the
	// total time of all steps.
	PrefilledTokens int64
	RepeatedTokens  int64
	BusyTime        time.Duration
	// Preemptions counts how often a running request lost its memory and was queued
	// again.
	Preemptions int
	// PrefilledBefore holds the IDs of parts that were prefilled at some time. Engines
	// may share the map to find repetitions across a fleet.
	PrefilledBefore map[uint64]bool
}

// request is a job and its progress.
type request struct {
	Job
	// readyAt is when the prefill may start.
	readyAt         time.Time
	tokensToPrefill int64
	// prefillingNow is the number of tokens prefilled in the current step.
	prefillingNow   int64
	generatedTokens int64
	// usedParts are the IDs of the cached parts that the request uses, and
	// reservedTokens what it holds in memory beside them.
	usedParts      []uint64
	reservedTokens int64
	prefilled      bool
}

// New returns an idle engine.
func New(spec Spec) *Engine {
	return &Engine{
		spec: spec, memory: memory{capacity: spec.Memory, partsByID: map[uint64]*cachedPart{}},
		Slowdown: 1, PrefilledBefore: map[uint64]bool{},
	}
}

// Submit offers a job. It returns false if the engine rejects it, because the
// queue is full or the job can never fit into memory.
func (e *Engine) Submit(now time.Time, job Job) bool {
	if len(e.waiting) >= e.spec.QueueLimit || tokenCount(job.Parts)+job.OutputTokens > e.spec.Memory {
		return false
	}
	r := &request{Job: job, readyAt: now.Add(e.spec.PrefillDelay)}
	if job.CopiedTokens > 0 {
		r.readyAt = r.readyAt.Add(e.spec.CopySetup + time.Duration(float64(job.CopiedTokens)/e.spec.CopyRate*float64(time.Second)))
	}
	e.enqueue(r)
	return true
}

// enqueue inserts a request into the queue, ordered by priority and then by
// readyAt.
func (e *Engine) enqueue(r *request) {
	at, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *request) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.readyAt.Compare(b.readyAt)
	})
	e.waiting = slices.Insert(e.waiting, at, r)
}

// Cancel removes a job. It reports whether the job was still waiting or running.
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
			e.memory.release(r)
			return true
		}
	}
	return false
}

// Load returns the number of running and of waiting requests.
func (e *Engine) Load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// CachedTokens returns how many leading tokens of a prompt are cached.
func (e *Engine) CachedTokens(parts []PromptPart) int64 {
	return e.memory.cachedPrefix(parts)
}

// NextWake returns when Advance has to be called next: at the end of the current
// step or, on an idle engine, when the first waiting request may start. It returns
// false if there is no work.
func (e *Engine) NextWake() (time.Time, bool) {
	switch {
	case !e.stepEnd.IsZero():
		return e.stepEnd, true
	case len(e.waiting) == 0:
		return time.Time{}, false
	}
	next := e.waiting[0].readyAt
	for _, r := range e.waiting {
		if r.readyAt.Before(next) {
			next = r.readyAt
		}
	}
	return next, true
}

// Advance finishes the current step if it has ended by now, and then starts the
// next one. It returns the events of the finished step, and does nothing while
// the step still runs.
func (e *Engine) Advance(now time.Time) []Event {
	var events []Event
	if !e.stepEnd.IsZero() {
		if now.Before(e.stepEnd) {
			return nil
		}
		events = e.finishStep(e.stepEnd)
		e.stepEnd = time.Time{}
	}
	e.startStep(now)
	return events
}

// startStep admits waiting requests and starts a step if any request runs.
func (e *Engine) startStep(now time.Time) {
	e.admit(now)
	if len(e.running) == 0 {
		return
	}
	budget, prefilling, decoding, context := e.spec.PrefillChunk, int64(0), 0, int64(0)
	for _, r := range e.running {
		r.prefillingNow = 0
		context += tokenCount(r.Parts) + r.generatedTokens
		if r.tokensToPrefill == 0 {
			decoding++
			continue
		}
		r.prefillingNow = min(r.tokensToPrefill, budget)
		budget -= r.prefillingNow
		prefilling += r.prefillingNow
	}
	duration := e.spec.StepTime + time.Duration(decoding)*e.spec.StepTimePerRequest
	duration += time.Duration(float64(e.spec.StepTimePerKilotoken) * float64(context) / 1000)
	duration += time.Duration(float64(prefilling) / e.spec.PrefillRate * float64(time.Second))
	duration = time.Duration(float64(duration) * e.Slowdown)
	e.PrefilledTokens += prefilling
	e.BusyTime += duration
	e.stepEnd = now.Add(duration)
}

// admit starts waiting requests in queue order while there are free slots. It
// stops at the first ready request that does not fit into memory.
func (e *Engine) admit(now time.Time) {
	for i := 0; i < len(e.waiting) && len(e.running) < e.spec.Slots; {
		r := e.waiting[i]
		if r.readyAt.After(now) {
			i++
			continue
		}
		if !e.memory.reserve(r) {
			return
		}
		e.countRepeated(r)
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.running = append(e.running, r)
	}
}

// countRepeated counts the tokens of shared parts that are prefilled again. The
// last part of a prompt is not shared and not counted.
func (e *Engine) countRepeated(r *request) {
	skip := tokenCount(r.Parts) - r.tokensToPrefill
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		if skip -= p.Tokens; skip < 0 {
			if e.PrefilledBefore[p.ID] {
				e.RepeatedTokens += min(-skip, p.Tokens)
			}
			skip = 0
		}
		e.PrefilledBefore[p.ID] = true
	}
}

// finishStep generates one token for each request whose prompt is prefilled.
func (e *Engine) finishStep(now time.Time) []Event {
	var events []Event
	var remaining []*request
	for _, r := range e.running {
		if r.tokensToPrefill -= r.prefillingNow; r.tokensToPrefill > 0 {
			remaining = append(remaining, r)
			continue
		}
		if !r.prefilled {
			r.prefilled = true
			e.memory.cachePrompt(r)
		}
		r.prefillingNow = 0
		r.generatedTokens++
		r.reservedTokens++
		e.memory.used++
		last := r.generatedTokens >= r.OutputTokens
		if last || (r.generatedTokens-1)%e.spec.TokensPerEvent == 0 {
			events = append(events, Event{ID: r.ID, At: now, Last: last})
		}
		if last {
			e.memory.release(r)
			continue
		}
		remaining = append(remaining, r)
	}
	e.running = remaining
	e.preempt(now)
	return events
}

// preempt makes room when more memory is used than exists: it evicts an unused
// part or, if there is none, requeues the last admitted of the least urgent
// running requests. One request always keeps running.
func (e *Engine) preempt(now time.Time) {
	for e.memory.used > e.memory.capacity && !e.memory.evict() && len(e.running) > 1 {
		at := 0
		for i, r := range e.running {
			if r.Priority >= e.running[at].Priority {
				at = i
			}
		}
		r := e.running[at]
		e.running = slices.Delete(e.running, at, at+1)
		e.memory.release(r)
		r.prefilled, r.readyAt, r.CopiedTokens = false, now, 0
		e.Preemptions++
		e.enqueue(r)
	}
}

func tokenCount(parts []PromptPart) int64 {
	total := int64(0)
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}
