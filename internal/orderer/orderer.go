// Package orderer gives orders to model engines, such as to load a model or to
// change role, so that an old order is never obeyed after a newer one.
//
// The one idea: every order is an entry of the keepers' log and its fencing
// number is that entry's index. Engines that check the number refuse an old
// order themselves. For those that do not, an order is sent only while it is
// fresh, and the next one for the same server waits until the one before can
// no longer be sent.
package orderer

import (
	"errors"
	"time"
)

// Times of orders.
const (
	// Lifetime is how long an order may be sent, counted from before it was
	// numbered.
	Lifetime = 5 * time.Second
	// Drift is what clocks may differ by over one lifetime.
	Drift = time.Second
)

// Errors of orders.
var (
	// ErrWait means that an earlier order for the server may still be on its
	// way.
	ErrWait = errors.New("an earlier order may still be on its way")
	// ErrStale means that the order is too old to be sent.
	ErrStale = errors.New("the order is too old to be sent")
)

// Kind is what an order asks for.
type Kind string

// The kinds of order.
const (
	KindLoadModel  Kind = "load-model"
	KindChangeRole Kind = "change-role"
)

// Order is one order to one backend server.
type Order struct {
	FailureDomain string `cbor:"f" json:"failure-domain"`
	Server        string `cbor:"s" json:"server"`
	Kind          Kind   `cbor:"k" json:"kind"`
	Argument      string `cbor:"a" json:"argument"`
}

// Issuer spaces the orders of one leadership. A new leader does not know what
// the last one issued, so that it waits out a whole lifetime first.
type Issuer struct {
	begun  time.Time
	issued map[string]time.Time
}

// NewIssuer returns the issuer of a leadership that begins now.
func NewIssuer(now time.Time) *Issuer {
	return &Issuer{begun: now, issued: map[string]time.Time{}}
}

// Reserve admits an order now, or returns ErrWait and for how long. It must be
// called before the order is numbered.
func (i *Issuer) Reserve(now time.Time, order Order) (time.Duration, error) {
	name := order.FailureDomain + "/" + order.Server
	last, known := i.issued[name]
	if !known {
		last = i.begun
	}
	if wait := last.Add(Lifetime + Drift).Sub(now); wait > 0 {
		return wait, ErrWait
	}
	i.issued[name] = now
	return 0, nil
}

// Ticket is a numbered order with how long it was under way when it was
// handed on. Durations travel, not times: clocks differ.
type Ticket struct {
	Order  Order         `cbor:"o"`
	Number uint64        `cbor:"n"`
	Age    time.Duration `cbor:"a"`
}

// Fresh reports whether a ticket that was received at a time may be sent now.
// It is asked right before the order goes out, and again after every wait.
func (t Ticket) Fresh(received, now time.Time) bool {
	return t.Age+now.Sub(received) < Lifetime
}
