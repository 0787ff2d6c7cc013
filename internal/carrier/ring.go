// Package carrier joins goroutines by bounded rings.
package carrier

import (
	"context"
	"errors"
)

// ErrFull means that a ring has no room: the receiver is behind.
var ErrFull = errors.New("ring is full")

// Ring is a bounded queue between goroutines.
type Ring[T any] struct {
	slots chan T
}

// NewRing returns a ring with room for size items.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, size)}
}

// Offer adds an item, or returns ErrFull at once.
func (r *Ring[T]) Offer(item T) error {
	select {
	case r.slots <- item:
		return nil
	default:
		return ErrFull
	}
}

// Put adds an item and waits for room.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.slots <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest item and waits for one.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.slots:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Items is for use in a select.
func (r *Ring[T]) Items() <-chan T {
	return r.slots
}
