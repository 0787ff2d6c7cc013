// Package exchanger carries one request through the filters of an entry
// instance.
//
// The one idea: an [Exchange] passes through a [Chain] of filters in order. Each
// adds what it has decided and calls the next, or ends the exchange with a
// [Refusal]. The caller gets exactly one answer.
package exchanger

import (
	"context"
	"net/http"
	"time"

	"github.com/boragehead/boragehead/internal/tabler"
)

// Exchange is one request with what the filters have decided about it.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// ID is unique to the request and is shown to the caller.
	ID      string
	Arrived time.Time
	// Secret is the caller's key. It goes no further than the filters.
	Secret string
	// Key and Workspace are zero on open routes.
	Key       tabler.Key
	Workspace tabler.Workspace
	Route     tabler.Route
	// Pools are the route's pools that may lawfully serve this request.
	Pools    []string
	Deadline time.Time
	Body     []byte
	Work     Work
	// Relayed means that another instance sent the request here: it is
	// served here or refused.
	Relayed bool
	// Local means that this failure domain serves the request; otherwise
	// Relay names the instance to send it to.
	Local bool
	Relay string
	// Attempt names the claim of work that must not run twice.
	Attempt string
	// Result is what the sender found out.
	Result Result
}

// Work is what a request asks for, in the terms that decisions need.
type Work struct {
	Model        string
	Stream       bool
	PromptTokens int64
	OutputTokens int64
	// Prefix is a hash of the first PrefixTokens of the prompt.
	Prefix       uint64
	PrefixTokens int64
}

// Cost is the most that the work may take, in tokens.
func (w Work) Cost() float64 {
	return float64(w.PromptTokens + w.OutputTokens)
}

// Result is what became of a request that was sent.
type Result struct {
	Status int
	Server string
	Pool   string
	// Used is the reported usage in tokens; it is known only if Counted.
	Used    int64
	Counted bool
	// Ran means that a byte of the request went to a backend server that
	// did not refuse it before running.
	Ran bool
	// Cut is set when a part of the answer reached the caller and the rest
	// could not follow.
	Cut *Refusal
	// FirstByte is when the first byte of the answer came.
	FirstByte time.Time
}

// Handler takes an exchange on. It returns nil when the caller has been
// answered.
type Handler func(ctx context.Context, x *Exchange) *Refusal

// Filter is one step of the walk.
type Filter interface {
	Handle(ctx context.Context, x *Exchange, next Handler) *Refusal
}

// Chain joins filters in order before a last handler.
func Chain(last Handler, filters ...Filter) Handler {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		filter, next := filters[i], handler
		handler = func(ctx context.Context, x *Exchange) *Refusal {
			return filter.Handle(ctx, x, next)
		}
	}
	return handler
}
