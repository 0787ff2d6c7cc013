// Package orderer gives orders to model engines, such as to load a model or to
// change role, so that an engine never obeys an older order after a newer one.
//
// Every order is an entry of the control instances' replicated log, and its fencing
// number is the index of that entry. Engines that check the number refuse older
// orders themselves. For engines that do not, an order is sent only for a limited
// time, and the next order for the same server waits until the previous one can no
// longer be sent.
package orderer

import (
	"errors"
	"time"
)

// Time limits of orders.
const (
	// Lifetime is how long an order may be sent, counted from before it was numbered.
	Lifetime = 5 * time.Second
	// MaxClockDrift bounds how far two clocks drift apart over one lifetime.
	MaxClockDrift = time.Second
)

// The errors of this package.
var (
	// ErrOrderInFlight means that an earlier order for the server may still be in
	// flight.
	ErrOrderInFlight = errors.New("an earlier order may still be on its way")
	// ErrStale means that the order is too old to be sent.
	ErrStale = errors.New("the order is too old to be sent")
)

// Kind says what an order requests.
type Kind string

// The kinds of orders.
const (
	KindLoadModel  Kind = "load-model"
	KindChangeRole Kind = "change-role"
)

// Order is an order to one backend server.
type Order struct {
	FailureDomain string `cbor:"f" json:"failure-domain"`
	Server        string `cbor:"s" json:"server"`
	Kind          Kind   `cbor:"k" json:"kind"`
	Argument      string `cbor:"a" json:"argument"`
}

// Issuer enforces the time between the orders to each server during one leadership.
// A new leader does not know what the previous one issued, so it waits for Lifetime
// and MaxClockDrift before its first order to a server. An Issuer is not safe for
// concurrent use.
type Issuer struct {
	leadingSince time.Time
	lastIssued   map[string]time.Time
}

// NewIssuer returns the issuer of a leadership that starts now.
func NewIssuer(now time.Time) *Issuer {
	return &Issuer{leadingSince: now, lastIssued: map[string]time.Time{}}
}

// Reserve admits an order, or returns ErrOrderInFlight and the time to wait. It
// must be called before the order is numbered.
func (i *Issuer) Reserve(now time.Time, order Order) (time.Duration, error) {
	name := order.FailureDomain + "/" + order.Server
	last, known := i.lastIssued[name]
	if !known {
		last = i.leadingSince
	}
	if wait := last.Add(Lifetime + MaxClockDrift).Sub(now); wait > 0 {
		return wait, ErrOrderInFlight
	}
	i.lastIssued[name] = now
	return 0, nil
}

// Ticket is a numbered order and its age when it was handed on. It carries a
// duration instead of a time because clocks differ.
type Ticket struct {
	Order  Order         `cbor:"o"`
	Number uint64        `cbor:"n"`
	Age    time.Duration `cbor:"a"`
}

// Fresh reports whether a ticket that was received at the given time may be sent
// now. It must be asked immediately before the order is sent, and again after every
// wait.
func (t Ticket) Fresh(received, now time.Time) bool {
	return t.Age+now.Sub(received) < Lifetime
}
