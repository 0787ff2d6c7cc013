package emulator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func spec() Spec {
	return Spec{
		Slots: 4, QueueLimit: 8, StepTime: 5 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillRate: 10_000, PrefillChunk: 1000,
		PrefillDelay: 20 * time.Millisecond, Memory: 20_000, TokensPerEvent: 5, CopySetup: 5 * time.Millisecond, CopyRate: 1e6,
	}
}

// drain advances an engine until it is idle. It returns all events and the time
// of the last advance.
func drain(e *Engine) (events []Event, end time.Time) {
	for {
		next, busy := e.NextWake()
		if !busy {
			return events, end
		}
		end = next
		events = append(events, e.Advance(next)...)
	}
}

func job(id uint64, shared, own, output int64) Job {
	return Job{ID: id, Parts: []PromptPart{{ID: 1, Tokens: shared}, {ID: 1000 + id, Tokens: own}}, OutputTokens: output}
}

func TestFirstEventWaitsForPrefill(t *testing.T) {
	cases := []struct {
		name string
		job  Job
		want time.Duration
	}{
		// A delay of 20 ms, then 100 ms for each chunk of 1,000 tokens and a step of 5 ms.
		{"one chunk", job(1, 500, 500, 1), 125 * time.Millisecond},
		{"three chunks", job(1, 2000, 1000, 1), 335 * time.Millisecond},
		{"copied", Job{ID: 1, Parts: []PromptPart{{1, 2000}, {2, 1000}}, OutputTokens: 1, CopiedTokens: 2000}, 132 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := New(spec())
			assert.Assert(t, e.Submit(start, c.job))
			events, _ := drain(e)
			assert.Equal(t, len(events), 1)
			assert.Assert(t, events[0].Last)
			assert.Equal(t, events[0].At.Sub(start), c.want)
		})
	}
}

// TestSlowdownAppliesFromTheNextStep changes the speed within a step: that step must
// keep its end, and the steps after it must take twice as long.
func TestSlowdownAppliesFromTheNextStep(t *testing.T) {
	e := New(spec())
	assert.Assert(t, e.Submit(start, job(1, 500, 500, 3)))
	begin, _ := e.NextWake()
	e.Advance(begin)
	e.Slowdown = 2
	events, _ := drain(e)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].At.Sub(begin), 105*time.Millisecond)
	assert.Equal(t, events[1].At.Sub(events[0].At), 2*2*6*time.Millisecond)
}

func TestLargerBatchSlowsEachToken(t *testing.T) {
	alone, batch := New(spec()), New(spec())
	assert.Assert(t, alone.Submit(start, job(1, 10, 10, 100)))
	for id := range uint64(4) {
		assert.Assert(t, batch.Submit(start, job(id, 10, 10, 100)))
	}
	_, aloneEnd := drain(alone)
	_, batchEnd := drain(batch)
	// A token takes 6 ms alone and 9 ms in the batch of four.
	assert.Assert(t, batchEnd.Sub(start) > aloneEnd.Sub(start)*5/4)
	assert.Assert(t, batchEnd.Sub(start) < aloneEnd.Sub(start)*2)
}

func TestCachedPartsAreNotPrefilledAgain(t *testing.T) {
	e := New(spec())
	assert.Assert(t, e.Submit(start, job(1, 2000, 100, 5)))
	_, end := drain(e)
	assert.Equal(t, e.PrefilledTokens, int64(2100))
	assert.Equal(t, e.CachedTokens(job(2, 2000, 100, 5).Parts), int64(2000))
	assert.Assert(t, e.Submit(end, job(2, 2000, 100, 5)))
	drain(e)
	assert.Equal(t, e.PrefilledTokens, int64(2200))
	assert.Equal(t, e.RepeatedTokens, int64(0))
}

// TestLeastRecentlyUsedPartsAreEvicted fills the memory with other prompts: the
// oldest part must be evicted, and prefilling it again counts as repeated.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	e := New(spec())
	now := start
	for id := range uint64(5) {
		assert.Assert(t, e.Submit(now, Job{ID: id, Parts: []PromptPart{{ID: id, Tokens: 6000}, {ID: 100 + id, Tokens: 10}}, OutputTokens: 1}))
		_, now = drain(e)
	}
	assert.Equal(t, e.CachedTokens([]PromptPart{{ID: 0, Tokens: 6000}}), int64(0))
	assert.Equal(t, e.CachedTokens([]PromptPart{{ID: 4, Tokens: 6000}}), int64(6000))
	assert.Assert(t, e.Submit(now, Job{ID: 9, Parts: []PromptPart{{ID: 0, Tokens: 6000}, {ID: 109, Tokens: 10}}, OutputTokens: 1}))
	drain(e)
	assert.Equal(t, e.RepeatedTokens, int64(6000))
}

func TestEngineRejectsFullQueueAndOversizedJobs(t *testing.T) {
	e := New(spec())
	for id := range uint64(8) {
		assert.Assert(t, e.Submit(start, job(id, 10, 10, 10)))
	}
	assert.Assert(t, !e.Submit(start, job(8, 10, 10, 10)), "queue is full")
	assert.Assert(t, !New(spec()).Submit(start, job(1, 15_000, 5000, 10)), "job exceeds the memory")
}

func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	s := spec()
	s.Slots = 1
	e := New(s)
	for id := range uint64(3) {
		next := job(id, 10, 10, 1)
		next.Priority = 2 - int(id)
		assert.Assert(t, e.Submit(start, next))
	}
	events, _ := drain(e)
	assert.Equal(t, fmt.Sprint(events[0].ID, events[1].ID, events[2].ID), "2 1 0")
}

// TestNewestLeastUrgentRequestIsPreempted lets generated tokens outgrow the memory:
// the least urgent request must give way, and all requests must still finish.
func TestNewestLeastUrgentRequestIsPreempted(t *testing.T) {
	s := spec()
	s.Memory = 2000
	e := New(s)
	for id := range uint64(3) {
		next := Job{ID: id, Priority: int(id), Parts: []PromptPart{{ID: id, Tokens: 500}}, OutputTokens: 400}
		assert.Assert(t, e.Submit(start, next))
	}
	events, _ := drain(e)
	assert.Assert(t, e.Preemptions > 0)
	last := map[uint64]int{}
	for i, event := range events {
		if event.Last {
			last[event.ID] = i
		}
	}
	assert.Equal(t, len(last), 3, "all requests finish")
	assert.Assert(t, last[2] > last[0] && last[2] > last[1])
}

// TestRandomJobsFinishWithoutLeakingMemory submits random jobs and cancels some.
// Every other job must produce all its events, a cancelled job none after the
// cancellation, and at the end memory must hold cached parts only.
func TestRandomJobsFinishWithoutLeakingMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(spec())
		now := start
		want, got := map[uint64]int64{}, map[uint64]int64{}
		record := func(events []Event) {
			for _, event := range events {
				got[event.ID]++
				if _, asked := want[event.ID]; !asked {
					t.Fatalf("event of a cancelled job: %d", event.ID)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 30).Draw(t, "jobs")) {
			output := rapid.Int64Range(1, 60).Draw(t, "output")
			next := job(id, rapid.Int64Range(1, 4000).Draw(t, "shared"), rapid.Int64Range(1, 4000).Draw(t, "own"), output)
			next.Parts[0].ID = rapid.Uint64Range(1, 5).Draw(t, "subject")
			next.Parts[0].Tokens = int64(next.Parts[0].ID) * 500
			next.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			if e.Submit(now, next) {
				// The first event holds one token, and the last may hold fewer than five.
				want[id] = 1 + (output+3)/5
				if output == 1 {
					want[id] = 1
				}
			}
			if rapid.Bool().Draw(t, "drop") && e.Cancel(id) {
				delete(want, id)
			}
			for range rapid.IntRange(0, 20).Draw(t, "steps") {
				if at, busy := e.NextWake(); busy {
					now = at
					record(e.Advance(at))
				}
			}
		}
		events, _ := drain(e)
		record(events)
		for id, count := range want {
			if got[id] != count {
				t.Fatalf("job %d: got %d of %d events", id, got[id], count)
			}
		}
		kept := int64(0)
		for _, p := range e.memory.partsByID {
			kept += p.Tokens
		}
		if e.memory.used != kept || kept > e.memory.capacity {
			t.Fatalf("memory: %d tokens used, %d cached, capacity %d", e.memory.used, kept, e.memory.capacity)
		}
	})
}
