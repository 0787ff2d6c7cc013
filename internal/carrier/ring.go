// Package carrier provides a bounded queue between goroutines.
package carrier

import (
	"context"
	"errors"
)

// ErrFull is returned by TryPut when a ring is full because its receiver lags
// behind.
var ErrFull = errors.New("ring is full")

// Ring is a bounded first-in, first-out queue between goroutines. It is safe
// for concurrent use.
type Ring[T any] struct {
	items chan T
}

// NewRing returns an empty ring with room for size items.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// TryPut adds an item without waiting. It returns ErrFull if there is no room.
func (r *Ring[T]) TryPut(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		return ErrFull
	}
}

// Put adds an item, waiting for room if there is none. It returns the context's
// error if the context ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest item, waiting for one if there is none. It returns
// the context's error if the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Items returns the channel that delivers the items, for use in a select
// statement. It is never closed.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}
