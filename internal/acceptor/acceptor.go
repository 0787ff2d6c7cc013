// Package acceptor is the HTTP handler for callers: it limits the size of requests,
// assigns each an id, runs the filter chain, and logs the result.
package acceptor

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/reserver"
	"github.com/boragehead/boragehead/internal/responder"
)

// Limits on requests.
const (
	// DefaultMaxBodyBytes is the default limit of the request body, in bytes.
	DefaultMaxBodyBytes = 4 << 20
	// MaxHeaderBytes limits the request URI and the header fields together.
	MaxHeaderBytes = 32 << 10
	// HeaderTimeout limits the time in which a caller sends the header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout limits the time in which a caller sends the body.
	BodyTimeout = 30 * time.Second
)

// Observer is notified of every finished request, for metrics. It must be safe for
// concurrent use.
type Observer interface {
	// Observe is called after the response has been written, or just before a refusal
	// is. The refusal is nil if the request was answered.
	Observe(x *exchanger.Exchange, refusal *exchanger.Refusal)
}

// Acceptor is an http.Handler that runs a filter chain for each request.
type Acceptor struct {
	handler  exchanger.Handler
	observer Observer
	memory   *reserver.Budget
}

// New returns an acceptor that calls the handler, usually a filter chain, for each
// request. The memory is for the bodies of all requests in progress.
func New(handler exchanger.Handler, observer Observer, memory *reserver.Budget) *Acceptor {
	return &Acceptor{handler: handler, observer: observer, memory: memory}
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchanger.Exchange{Writer: w, Request: r, ID: newRequestID(), Arrived: time.Now()}
	w.Header().Set(exchanger.HeaderRequestID, x.ID)
	a.Serve(x)
}

// Serve runs the chain for an exchange and writes the refusal if there is one.
func (a *Acceptor) Serve(x *exchanger.Exchange) {
	ctx, cancel := context.WithCancel(x.Request.Context())
	defer cancel()
	x.BodyMemory.Budget = a.memory
	defer x.BodyMemory.Shrink(0)
	refusal := a.runChain(ctx, x)
	a.observer.Observe(x, refusal)
	logRequest(x, refusal)
	switch {
	case refusal == nil:
	case x.Body != nil:
		refusal.Write(x.Writer, x.ID)
	default:
		responder.Answer(x.Writer, x.Request, func(w http.ResponseWriter) { refusal.Write(w, x.ID) })
	}
}

// runChain refuses requests with too large a header and runs the chain for others.
func (a *Acceptor) runChain(ctx context.Context, x *exchanger.Exchange) *exchanger.Refusal {
	if len(x.Request.URL.RequestURI())+exchanger.HeaderSize(x.Request.Header) > MaxHeaderBytes {
		return exchanger.Refuse(http.StatusRequestHeaderFieldsTooLarge, exchanger.CodeHeaderTooLarge, "the header is larger than 32 KiB")
	}
	return a.handler(ctx, x)
}

// logRequest logs one line per request, without its key or body.
func logRequest(x *exchanger.Exchange, refusal *exchanger.Refusal) {
	logger := klog.V(2)
	if !logger.Enabled() {
		return
	}
	outcome, code := "answered", ""
	if refusal != nil {
		outcome, code = string(refusal.OutcomeOrNotRun()), string(refusal.Code)
	}
	logger.InfoS("request", "id", x.ID, "workspace", x.Workspace.Name, "route", x.Route.Name,
		"pool", x.Result.Pool, "server", x.Result.Server, "relay", x.Relay, "relayed", x.Relayed,
		"status", x.Result.Status, "outcome", outcome, "code", code, "elapsed", time.Since(x.Arrived))
}

// newRequestID returns 96 random bits in hexadecimal.
func newRequestID() string {
	id := make([]byte, 12)
	_, _ = crand.Read(id) // never fails: see the crypto/rand package
	return hex.EncodeToString(id)
}

// ReadBody reads the request body into the exchange. It refuses a body that is
// larger than maxBytes, incomplete, or slower than BodyTimeout.
func ReadBody(x *exchanger.Exchange, maxBytes int64) *exchanger.Refusal {
	if x.Request.ContentLength > maxBytes {
		return bodyTooLarge()
	}
	controller := http.NewResponseController(x.Writer)
	_ = controller.SetReadDeadline(time.Now().Add(BodyTimeout))
	x.BodyMemory.Drop = func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }
	body, err := x.BodyMemory.ReadRequest(http.MaxBytesReader(x.Writer, x.Request.Body, maxBytes), x.Request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge()
	case errors.Is(err, reserver.ErrRequestsExhausted):
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeMemory, "the bodies of other requests take all memory").
			WithRetryAfter(time.Second + rand.N(time.Second))
	case err != nil:
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBodyIncomplete, "the body ended early or came too slowly")
	}
	_ = controller.SetReadDeadline(time.Time{})
	x.Body = body
	return nil
}

func bodyTooLarge() *exchanger.Refusal {
	return exchanger.Refuse(http.StatusRequestEntityTooLarge, exchanger.CodeBodyTooLarge, "the body is larger than this instance takes")
}
