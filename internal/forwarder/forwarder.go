// Package forwarder carries one request of a caller to a backend server and the
// answer back, over plain HTTP, without changing either.
//
// The one idea: a [Call] goes one way through checks, a placement and attempts,
// and gets exactly one answer: the server's own, whole and unchanged, or a
// [Refusal] that says truthfully whether the request may have run. What callers
// and servers speak is a [Dialect]'s matter.
package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/placer"
)

// Call is one request of a caller.
type Call struct {
	ID string
	// Key is the caller's secret. It goes no further than this process.
	Key string
	// Patience is how long the caller waits; 0 when it did not say.
	Patience time.Duration
	// LastEvent is the event after which a stream goes on, if the caller says.
	LastEvent string
	Work      placer.Work

	Request *http.Request
	Body    []byte
	Arrived time.Time

	// What the checks decide.
	Route     *definer.Route
	Workspace *definer.Workspace
	Service   *definer.Service
	Urgency   int
	Deadline  time.Time
	Homes     []string
	Bound     bool
	// Relayed calls were decided on by another instance: they are served in
	// this region or refused.
	Relayed bool

	trail trail
}

// trail is what the log tells of a call.
type trail struct {
	version  definer.Version
	server   string
	region   string
	wait     time.Duration
	cached   int64
	usable   int
	attempts int
	first    time.Duration
	note     string
	status   int
}

// Refusal ends a call without a server's answer.
type Refusal struct {
	Status int
	// Reason is a short code for logs and callers.
	Reason string
	// RetryAfter is when to come back; 0 says nothing.
	RetryAfter time.Duration
	// Ran means that the request may have run. Only refusals of requests that
	// have not run, and never will, may be answered with a status that says so.
	Ran bool
	// Servers is how many servers may have run it.
	Servers int
}

// Send is what a dialect tells a server of a call.
type Send struct {
	ID        string
	Server    string
	Workspace string
	Left      time.Duration
	Urgency   int
	// LastEvent is set when a stream goes on.
	LastEvent string
	// Source, unless invalid, is a server to copy a part of the prompt from.
	Source netip.AddrPort
}

// Answer is what a dialect reads from a server's headers.
type Answer struct {
	// ID is the request's id as the server repeats it.
	ID string
	// NotRun means that the server says it did not run the request.
	NotRun bool
	// Genuine means that the answer bears a server's signature.
	Genuine bool
}

// Dialect is what callers and servers speak.
type Dialect interface {
	// Read decodes a caller's request, without its body.
	Read(r *http.Request) (Call, error)
	// Strip removes from a caller's headers what only the gateway may set, and
	// the key.
	Strip(header http.Header)
	// Dress sets the headers by which a server knows the request.
	Dress(header http.Header, send Send)
	// Judge reads a server's headers.
	Judge(response *http.Response) Answer
	// Refuse answers a caller with a refusal.
	Refuse(w http.ResponseWriter, id string, refusal Refusal)
}

// Fleet answers what a call needs to know, and takes note of what becomes of it.
type Fleet interface {
	View() *definer.View
	// Settling reports whether this instance has started so lately that it may
	// not have heard of all that there is.
	Settling() bool
	Region() string
	Place(request placer.Request) placer.Decision
	Began(id uint64)
	Done(id uint64, outcome placer.Outcome)
	Spend(workspace string, cost float64) (time.Duration, bool)
	Refund(workspace string, cost float64)
	Relay(region string) (netip.AddrPort, bool)
	// Instances is how many entry instances are known, this one among them.
	Instances() int
}

// Counters counts what the forwarder does.
type Counters interface {
	Count(name string)
	Observe(name string, took time.Duration)
}

// Forwarder is the http.Handler of the callers' port.
type Forwarder struct {
	dialect  Dialect
	fleet    Fleet
	counters Counters
	servers  *http.Transport
	relays   *http.Transport
	retries  budgets
	bodies   gauge
	nextID   atomic.Uint64
	active   atomic.Int64
	// closing asks callers to close their connections.
	closing atomic.Bool
	// stopAt, unless nil, is when what is not finished will be cut.
	stopAt atomic.Pointer[time.Time]

	answered logger.Kind
	refused  logger.Kind
}

// New returns a forwarder.
func New(dialect Dialect, fleet Fleet, counters Counters, retries RetryLimit) *Forwarder {
	return &Forwarder{
		dialect: dialect, fleet: fleet, counters: counters,
		servers: newTransport(serverSilence), relays: newTransport(relaySilence),
		bodies: gauge{room: mostBodies}, retries: budgets{limit: retries},
	}
}

// mostBodies bounds the bodies of all requests under way, in bytes.
const mostBodies = 64 << 20

// CloseConnections asks callers to use other connections from now on.
func (f *Forwarder) CloseConnections() {
	f.closing.Store(true)
}

// StopAt turns new requests away that may not be finished by a time.
func (f *Forwarder) StopAt(end time.Time) {
	f.stopAt.Store(&end)
}

// stopFactor is by how much a predicted end may be exceeded.
const stopFactor = 2.5

// ends reports whether a request that is placed now ends before this instance
// does.
func (f *Forwarder) ends(decision placer.Decision) bool {
	stopAt := f.stopAt.Load()
	if stopAt == nil {
		return true
	}
	expected := max(decision.End, decision.Wait)
	return decision.Region == "" && time.Duration(stopFactor*float64(expected)) < time.Until(*stopAt)
}

// Active returns how many requests are under way.
func (f *Forwarder) Active() int {
	return int(f.active.Load())
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	arrived := time.Now()
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := f.dialect.Read(r)
	call.Request, call.Arrived = r, arrived
	if err != nil {
		f.finish(w, &call, &Refusal{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	f.dialect.Strip(r.Header)
	f.finish(w, &call, f.serve(w, &call))
}

// finish answers a refusal and writes the call's log line.
func (f *Forwarder) finish(w http.ResponseWriter, call *Call, refusal *Refusal) {
	if refusal != nil {
		call.trail.status = refusal.Status
		f.dialect.Refuse(w, call.ID, *refusal)
	}
	f.record(call, refusal)
}

// serve takes a call through the checks, the quota and the attempts.
func (f *Forwarder) serve(w http.ResponseWriter, call *Call) *Refusal {
	f.settle(call.Request.Context(), func() bool { return f.fleet.View() != nil })
	view := f.fleet.View()
	if view == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no-definition", RetryAfter: time.Second}
	}
	if refusal := check(view, call); refusal != nil {
		return refusal
	}
	size, refusal := f.readBody(w, call, view.Limits.MaxBody)
	defer f.bodies.release(size)
	if refusal != nil {
		return refusal
	}
	return f.run(w, call)
}

// settlePause is the time between two looks at what a starting instance knows.
const settlePause = 20 * time.Millisecond

// settle waits, while this instance has just started, until a condition holds:
// what a request needs is most likely on its way.
func (f *Forwarder) settle(ctx context.Context, holds func() bool) {
	for !holds() && f.fleet.Settling() && ctx.Err() == nil {
		timer := time.NewTimer(settlePause)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// stoppingRetry is when to come back to another instance while this one stops.
const stoppingRetry = 50 * time.Millisecond

// run charges the workspace and makes the attempts.
func (f *Forwarder) run(w http.ResponseWriter, call *Call) *Refusal {
	ctx, cancel := context.WithDeadline(call.Request.Context(), call.Deadline)
	defer cancel()
	cost := costOf(call)
	if cost > 0 {
		if wait, ok := f.fleet.Spend(call.Workspace.Name, cost); !ok {
			return &Refusal{Status: http.StatusTooManyRequests, Reason: "quota", RetryAfter: wait}
		}
	}
	refusal := f.attempt(ctx, w, call)
	if refusal != nil && !refusal.Ran && cost > 0 {
		f.fleet.Refund(call.Workspace.Name, cost)
	}
	return refusal
}

// costOf returns what a call counts against its workspace's quota.
func costOf(call *Call) float64 {
	switch {
	case call.Workspace == nil || call.Workspace.Rate <= 0 || call.Relayed:
		return 0
	case !call.Workspace.CountTokens:
		return 1
	case call.Work.Prompt+call.Work.Output == 0:
		return call.Workspace.PlainCost
	}
	return call.Work.Cost()
}
