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
		Slots: 4, Queue: 8, Step: 5 * time.Millisecond, SlotStep: time.Millisecond, ReadRate: 10_000, Chunk: 1000,
		First: 20 * time.Millisecond, Memory: 20_000, EventTokens: 5, CopySetup: 5 * time.Millisecond, CopyRate: 1e6,
	}
}

// drain lets an engine work until it has nothing left to do.
func drain(e *Engine) (events []Event, end time.Time) {
	for {
		next, busy := e.Next()
		if !busy {
			return events, end
		}
		end = next
		events = append(events, e.Advance(next)...)
	}
}

func job(id uint64, shared, own, output int64) Job {
	return Job{ID: id, Parts: []Part{{ID: 1, Tokens: shared}, {ID: 1000 + id, Tokens: own}}, Output: output}
}

func TestFirstEventFollowsTheReading(t *testing.T) {
	cases := []struct {
		name string
		job  Job
		want time.Duration
	}{
		// 20 ms, then each chunk of 1,000 tokens takes 100 ms and a step of 5 ms.
		{"one chunk", job(1, 500, 500, 1), 125 * time.Millisecond},
		{"three chunks", job(1, 2000, 1000, 1), 335 * time.Millisecond},
		{"copied", Job{ID: 1, Parts: []Part{{1, 2000}, {2, 1000}}, Output: 1, Copied: 2000}, 132 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := New(spec())
			assert.Assert(t, e.Send(start, c.job))
			events, _ := drain(e)
			assert.Equal(t, len(events), 1)
			assert.Assert(t, events[0].Last)
			assert.Equal(t, events[0].At.Sub(start), c.want)
		})
	}
}

func TestBatchesSlowEachToken(t *testing.T) {
	alone, crowd := New(spec()), New(spec())
	assert.Assert(t, alone.Send(start, job(1, 10, 10, 100)))
	for id := range uint64(4) {
		assert.Assert(t, crowd.Send(start, job(id, 10, 10, 100)))
	}
	_, quick := drain(alone)
	_, slow := drain(crowd)
	// 6 against 9 ms a token.
	assert.Assert(t, slow.Sub(start) > quick.Sub(start)*5/4)
	assert.Assert(t, slow.Sub(start) < quick.Sub(start)*2)
}

func TestKeptPartsAreNotReadAgain(t *testing.T) {
	e := New(spec())
	assert.Assert(t, e.Send(start, job(1, 2000, 100, 5)))
	_, end := drain(e)
	assert.Equal(t, e.Read, int64(2100))
	assert.Equal(t, e.Keeps(job(2, 2000, 100, 5).Parts), int64(2000))
	assert.Assert(t, e.Send(end, job(2, 2000, 100, 5)))
	drain(e)
	assert.Equal(t, e.Read, int64(2200))
	assert.Equal(t, e.Repeated, int64(0))
}

// TestLeastRecentlyUsedPartsYield fills the memory with other prompts.
func TestLeastRecentlyUsedPartsYield(t *testing.T) {
	e := New(spec())
	now := start
	for id := range uint64(5) {
		assert.Assert(t, e.Send(now, Job{ID: id, Parts: []Part{{ID: id, Tokens: 6000}, {ID: 100 + id, Tokens: 10}}, Output: 1}))
		_, now = drain(e)
	}
	assert.Equal(t, e.Keeps([]Part{{ID: 0, Tokens: 6000}}), int64(0))
	assert.Equal(t, e.Keeps([]Part{{ID: 4, Tokens: 6000}}), int64(6000))
	assert.Assert(t, e.Send(now, Job{ID: 9, Parts: []Part{{ID: 0, Tokens: 6000}, {ID: 109, Tokens: 10}}, Output: 1}))
	drain(e)
	assert.Equal(t, e.Repeated, int64(6000))
}

func TestEngineTurnsAway(t *testing.T) {
	e := New(spec())
	for id := range uint64(8) {
		assert.Assert(t, e.Send(start, job(id, 10, 10, 10)))
	}
	assert.Assert(t, !e.Send(start, job(8, 10, 10, 10)), "the queue is full")
	assert.Assert(t, !New(spec()).Send(start, job(1, 15_000, 5000, 10)), "larger than the memory")
}

func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	s := spec()
	s.Slots = 1
	e := New(s)
	for id := range uint64(3) {
		next := job(id, 10, 10, 1)
		next.Priority = 2 - int(id)
		assert.Assert(t, e.Send(start, next))
	}
	events, _ := drain(e)
	assert.Equal(t, fmt.Sprint(events[0].ID, events[1].ID, events[2].ID), "2 1 0")
}

// TestNewestOfTheLeastUrgentIsPreempted lets answers grow beyond the memory.
func TestNewestOfTheLeastUrgentIsPreempted(t *testing.T) {
	s := spec()
	s.Memory = 2000
	e := New(s)
	for id := range uint64(3) {
		next := Job{ID: id, Priority: int(id), Parts: []Part{{ID: id, Tokens: 500}}, Output: 400}
		assert.Assert(t, e.Send(start, next))
	}
	events, _ := drain(e)
	assert.Assert(t, e.Preempted > 0)
	last := map[uint64]int{}
	for i, event := range events {
		if event.Last {
			last[event.ID] = i
		}
	}
	assert.Equal(t, len(last), 3, "all end")
	assert.Assert(t, last[2] > last[0] && last[2] > last[1])
}

// TestWorkIsNeitherLostNorLeaked offers random jobs and drops some of them.
func TestWorkIsNeitherLostNorLeaked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(spec())
		now := start
		want, got := map[uint64]int64{}, map[uint64]int64{}
		note := func(events []Event) {
			for _, event := range events {
				got[event.ID]++
				if _, asked := want[event.ID]; !asked {
					t.Fatalf("an event of a job that was dropped: %d", event.ID)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 30).Draw(t, "jobs")) {
			output := rapid.Int64Range(1, 60).Draw(t, "output")
			next := job(id, rapid.Int64Range(1, 4000).Draw(t, "shared"), rapid.Int64Range(1, 4000).Draw(t, "own"), output)
			next.Parts[0].ID = rapid.Uint64Range(1, 5).Draw(t, "subject")
			next.Parts[0].Tokens = int64(next.Parts[0].ID) * 500
			next.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			if e.Send(now, next) {
				// The first event holds one token, and the last may be short.
				want[id] = 1 + (output+3)/5
				if output == 1 {
					want[id] = 1
				}
			}
			if rapid.Bool().Draw(t, "drop") && e.Cancel(id) {
				delete(want, id)
			}
			for range rapid.IntRange(0, 20).Draw(t, "steps") {
				if at, busy := e.Next(); busy {
					now = at
					note(e.Advance(at))
				}
			}
		}
		events, _ := drain(e)
		note(events)
		for id, count := range want {
			if got[id] != count {
				t.Fatalf("job %d: %d events of %d", id, got[id], count)
			}
		}
		kept := int64(0)
		for _, p := range e.memory.parts {
			kept += p.Tokens
		}
		if e.memory.used != kept || kept > e.memory.room {
			t.Fatalf("%d tokens used, %d kept, room for %d", e.memory.used, kept, e.memory.room)
		}
	})
}
