// Package reserver bounds the memory that all calls in progress take together for
// the requests and responses that they read.
package reserver

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// StepBytes is how much a reader of responses reserves at a time. The first step is
// free, so that large responses can't keep small ones out.
const StepBytes = 64 << 10

// The errors of ReadAll.
var (
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("the body exceeds its limit")
	// ErrExhausted means that the budget is exhausted.
	ErrExhausted = errors.New("the memory for responses is exhausted")
	// ErrRequestsExhausted means the same of a budget for requests, or that the reading of
	// a request was ended to make room for others.
	ErrRequestsExhausted = errors.New("the memory for requests is exhausted")
)

// Budget is a number of bytes that calls share. Its methods are safe for concurrent
// use.
type Budget struct {
	// Bytes is the size of the budget. It must not change while the budget is in use.
	Bytes int64

	mu       sync.Mutex
	reserved int64
	// droppable holds the reservations that a request may be ended for; see drop.go.
	droppable map[*Reservation]struct{}
	// searchedInVain is when none of them was found that had stalled.
	searchedInVain time.Time
}

// tryReserve grows a reservation to a size if the memory is available.
func (b *Budget) tryReserve(r *Reservation, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.dropped:
		return false
	case b.hasRoom(r, size):
	case r.Drop == nil || !b.makeRoom(r, size):
		return false
	}
	b.reserved += size - r.counted
	r.counted = size
	if r.Drop != nil && !r.kept {
		b.track(r)
	}
	return true
}

// release shrinks a reservation to a size.
func (b *Budget) release(r *Reservation, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.dropped {
		b.reserved -= r.counted - size
		r.counted = size
	}
	if size == 0 {
		delete(b.droppable, r)
	}
}

// Reservation is what one call holds of a budget. It is used by one goroutine at a
// time, and must be shrunk to 0 in the end.
type Reservation struct {
	// Budget is nil if the memory is not limited.
	Budget *Budget
	// Drop, unless nil, ends the reading of a request, for which the memory is held, to
	// make room for others. It is called at most once and must neither block nor use the
	// budget.
	Drop func()
	// Preferred means that the request is not a caller's: callers leave a part of the budget
	// for the ready check, for control traffic and for the system's own peers.
	Preferred bool

	held int64
	// counted is what of held counts in the budget; dropped means that Drop was called, and
	// kept that it won't be. They are guarded by the budget's lock.
	counted       int64
	dropped, kept bool
	// progressAt is when the last progressBytes had arrived, in nanoseconds of Unix time.
	// unnoted is how many have since.
	progressAt atomic.Int64
	unnoted    int
}

// Held returns the number of bytes held.
func (r *Reservation) Held() int64 { return r.held }

// TryGrow reserves memory until size bytes are held, unless that exceeds the budget.
func (r *Reservation) TryGrow(size int64) bool {
	if size <= r.held {
		return true
	}
	if r.Budget != nil && !r.Budget.tryReserve(r, size) {
		return false
	}
	r.held = size
	return true
}

// Shrink releases all but size bytes.
func (r *Reservation) Shrink(size int64) {
	if size >= r.held {
		return
	}
	if r.Budget != nil {
		r.Budget.release(r, size)
	}
	r.held = size
}

// minChunkBytes is the size of the first chunk of a body.
const minChunkBytes = 1 << 10

// ReadAll reads a body of up to limit bytes to its end and reserves the memory, which
// it does not release after an error either. It returns the body in chunks, so that
// growing it neither copies it nor takes its memory twice.
func (r *Reservation) ReadAll(body io.Reader, limit int) ([][]byte, error) {
	var chunks [][]byte
	chunk := make([]byte, 0, minChunkBytes)
	held, allocated, size := r.held, minChunkBytes, 0
	for {
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		size += n
		switch {
		case size > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return append(chunks, chunk), nil
		case err != nil:
			return nil, err
		case len(chunk) < cap(chunk):
			continue
		}
		chunks = append(chunks, chunk)
		next := min(2*cap(chunk), StepBytes)
		allocated += next
		if !r.TryGrow(held + int64(allocated-allocated%StepBytes)) {
			return nil, ErrExhausted
		}
		chunk = make([]byte, 0, next)
	}
}
