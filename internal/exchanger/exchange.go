// Package exchanger defines the filter chain of an entry instance.
//
// An [Exchange] passes through a [Chain] of filters in order. Each filter records
// its decisions in the exchange and calls the next handler, or ends the exchange
// with a [Refusal]. The caller gets exactly one response.
package exchanger

import (
	"context"
	"net/http"
	"time"

	"github.com/boragehead/boragehead/internal/reserver"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Exchange is one request with the decisions of the filters about it. It belongs
// to the goroutine that handles the request.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// ID is unique and is returned to the caller.
	ID string
	// Arrived is when the instance received the request.
	Arrived time.Time
	// Secret is the caller's key as sent. It is never forwarded.
	Secret string
	// Key and Workspace are zero if the caller sent no key to an open route.
	Key       tabler.Key
	Workspace tabler.Workspace
	Route     tabler.Route
	// Revision is that of the configuration by which the request was placed.
	Revision tabler.Revision
	// Pools are the names of the route's pools that may serve the request,
	// in order of preference.
	Pools    []string
	Deadline time.Time
	Body     []byte
	// BodyMemory is what the body holds of the memory for requests.
	BodyMemory reserver.Reservation
	Work       Work
	// Relayed is true if another instance relayed the request here. It is then
	// served here or refused.
	Relayed bool
	// Local is true if this failure domain serves the request. Otherwise
	// Relay names the instance to relay it to.
	Local bool
	Relay string
	// ClaimID identifies the claim of a request that must not run twice. It is
	// the request's ID, or empty for other requests.
	ClaimID string
	// ClaimRegion is the region that holds the claim, or empty if none was made.
	ClaimRegion string
	// Result is set by the sender, or by the filter that replays a stored
	// response.
	Result Result
}

// Work is the model, the size and the prefix of a request, as needed to admit and
// to schedule it. Token counts are estimates or upper bounds.
type Work struct {
	Model        string
	Stream       bool
	PromptTokens int64
	OutputTokens int64
	// Prefix is a hash of the part of the prompt that later requests are likely
	// to share, which is PrefixTokens long.
	Prefix       uint64
	PrefixTokens int64
}

// Cost returns the tokens of the prompt plus the most tokens of the output.
func (w Work) Cost() float64 {
	return float64(w.PromptTokens + w.OutputTokens)
}

// Result describes the response and what is known of the run.
type Result struct {
	// Status is the HTTP status of the response. It is 0 if the exchange ended
	// with a refusal.
	Status int
	// Server and Pool name the backend server that was assigned last. They are
	// empty if none was assigned by this instance.
	Server string
	Pool   string
	// UsedTokens is the usage in tokens as the server reported it. It is valid
	// only if UsageKnown is true.
	UsedTokens int64
	UsageKnown bool
	// MayHaveRun is true if a byte of the request may have been written to a
	// backend server that did not refuse it before running it.
	MayHaveRun bool
	// StreamError is the error that ended a response of which a part had already
	// been written to the caller. It is nil for other responses.
	StreamError *Refusal
	// FirstByte is when the first byte of the response was ready for the caller.
	// It is zero if there was no response.
	FirstByte time.Time
}

// HeaderSize returns the size of the names and values of a header, in bytes.
func HeaderSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Handler handles an exchange. It returns nil if it has written the response, and
// otherwise the refusal to write in its place.
type Handler func(ctx context.Context, x *Exchange) *Refusal

// Filter is one step of a chain. Handle calls next at most once, or returns a
// refusal. It must be safe for concurrent use.
type Filter interface {
	Handle(ctx context.Context, x *Exchange, next Handler) *Refusal
}

// Chain returns a handler that runs the filters in order and then the final
// handler.
func Chain(final Handler, filters ...Filter) Handler {
	handler := final
	for i := len(filters) - 1; i >= 0; i-- {
		filter, next := filters[i], handler
		handler = func(ctx context.Context, x *Exchange) *Refusal {
			return filter.Handle(ctx, x, next)
		}
	}
	return handler
}
