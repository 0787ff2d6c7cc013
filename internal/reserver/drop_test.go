package reserver

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

// newRequest returns a reservation that records that it is dropped.
func newRequest(budget *Budget) (r *Reservation, dropped *bool) {
	dropped = new(bool)
	return &Reservation{Budget: budget, Drop: func() { *dropped = true }}, dropped
}

// TestStalledRequestKeepsOthersOut fills a budget with requests that have stalled, and one
// that goes on. A small request must get memory at the cost of the largest stalled one.
func TestStalledRequestKeepsOthersOut(t *testing.T) {
	budget := &Budget{Bytes: 1 << 20}
	small, smallDropped := newRequest(budget)
	large, largeDropped := newRequest(budget)
	moving, movingDropped := newRequest(budget)
	read, readDropped := newRequest(budget)
	for _, r := range []struct {
		*Reservation
		size int64
	}{{small, 60 << 10}, {moving, 300 << 10}, {large, 250 << 10}, {read, 120 << 10}} {
		assert.Assert(t, r.TryGrow(r.size))
	}
	assert.Assert(t, read.Keep())
	large2, _ := newRequest(budget)
	assert.Assert(t, !large2.TryGrow(200<<10), "a large request leaves a quarter to small ones")
	ordinary, _ := newRequest(budget)
	assert.Assert(t, ordinary.TryGrow(60<<10))
	callers, _ := newRequest(budget)
	assert.Assert(t, callers.TryGrow(60<<10))
	assert.Assert(t, callers.TryGrow(64<<10))
	late, _ := newRequest(budget)
	assert.Assert(t, !late.TryGrow(64<<10), "callers leave an eighth to peers")
	late.Preferred = true
	time.Sleep(searchPause)
	assert.Assert(t, late.TryGrow(64<<10))
	time.Sleep(stallTime * 3 / 2)
	moving.Progress(progressBytes)
	assert.Assert(t, large2.TryGrow(200<<10))
	assert.Assert(t, *largeDropped && !*smallDropped && !*movingDropped && !*readDropped)
	assert.Assert(t, !large.TryGrow(251<<10) && !large.Keep(), "it is dropped")
	for _, r := range []*Reservation{small, large, moving, read, large2, ordinary, callers, late} {
		r.Shrink(0)
	}
	assert.Equal(t, budget.reserved, int64(0))
	assert.Equal(t, len(budget.droppable), 0)
}

func TestReadRequest(t *testing.T) {
	errBroken := errors.New("broken")
	for _, c := range []struct {
		name         string
		size, length int64
		budget, held int64
		err, want    error
	}{
		{name: "empty", length: 0, budget: 1, held: 1},
		{name: "small", size: 100, length: 100, budget: 200, held: 101},
		{name: "with length", size: 4 << 20, length: 4 << 20, budget: 8 << 20, held: 4<<20 + 1},
		{name: "chunked", size: 4 << 20, length: -1, budget: 9 << 20, held: 5 << 20},
		{name: "no memory", size: 4 << 20, length: 4 << 20, budget: 4 << 20, held: 2 << 20, want: ErrRequestsExhausted},
		{name: "broken", size: 100, length: 200, budget: 1 << 20, held: 201, err: errBroken, want: errBroken},
		{name: "no limit", size: 1 << 20, length: -1, held: 2 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, _ := newRequest(&Budget{Bytes: c.budget})
			if c.budget == 0 {
				r.Budget = nil
			}
			text := strings.Repeat("b", int(c.size))
			source := iotest.HalfReader(strings.NewReader(text))
			if c.err != nil {
				source = iotest.ErrReader(c.err)
			}
			body, err := r.ReadRequest(source, c.length)
			assert.ErrorIs(t, err, c.want)
			assert.Assert(t, r.Held() <= c.held, "%d bytes are held", r.Held())
			assert.Assert(t, err != nil || string(body) == text)
		})
	}
}
