// Package acceptor takes requests from callers: it bounds what they may send,
// names each request, walks it through the filters, and logs the decision.
package acceptor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// Bounds of what callers may send.
const (
	// DefaultMaxBody bounds a request's body, in bytes.
	DefaultMaxBody = 4 << 20
	// MaxHeader bounds a request's header, in bytes.
	MaxHeader = 32 << 10
	// HeaderTimeout bounds the time to send a header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout bounds the time to send a body.
	BodyTimeout = 30 * time.Second
)

// Observer learns what became of every request.
type Observer interface {
	Observe(x *exchanger.Exchange, refusal *exchanger.Refusal)
}

// Acceptor is the http.Handler of the callers' port.
type Acceptor struct {
	handler  exchanger.Handler
	observer Observer
}

// New returns an acceptor before a chain of filters.
func New(handler exchanger.Handler, observer Observer) *Acceptor {
	return &Acceptor{handler: handler, observer: observer}
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchanger.Exchange{Writer: w, Request: r, ID: newID(), Arrived: time.Now()}
	w.Header().Set(exchanger.HeaderRequestID, x.ID)
	a.Serve(x)
}

// Serve walks an exchange through the filters and answers it.
func (a *Acceptor) Serve(x *exchanger.Exchange) {
	ctx, cancel := context.WithCancel(x.Request.Context())
	defer cancel()
	refusal := a.walk(ctx, x)
	if refusal != nil {
		refusal.Write(x.Writer, x.ID)
	}
	a.observer.Observe(x, refusal)
	logDecision(x, refusal)
}

func (a *Acceptor) walk(ctx context.Context, x *exchanger.Exchange) *exchanger.Refusal {
	if headerSize(x.Request) > MaxHeader {
		return exchanger.Refuse(http.StatusRequestHeaderFieldsTooLarge, exchanger.CodeHeaderTooLarge, "the header is larger than 32 KiB")
	}
	return a.handler(ctx, x)
}

// logDecision writes one line a request. It never holds a key or a body.
func logDecision(x *exchanger.Exchange, refusal *exchanger.Refusal) {
	logger := klog.V(2)
	if !logger.Enabled() {
		return
	}
	outcome, code := "answered", ""
	if refusal != nil {
		outcome, code = string(refusal.Known()), string(refusal.Code)
	}
	logger.InfoS("request", "id", x.ID, "workspace", x.Workspace.Name, "route", x.Route.Name,
		"pool", x.Result.Pool, "server", x.Result.Server, "relay", x.Relay, "relayed", x.Relayed,
		"status", x.Result.Status, "outcome", outcome, "code", code, "elapsed", time.Since(x.Arrived))
}

func headerSize(r *http.Request) int {
	size := len(r.URL.RequestURI())
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

func newID() string {
	id := make([]byte, 12)
	_, _ = rand.Read(id) // never fails: see the crypto/rand package
	return hex.EncodeToString(id)
}

// ReadBody reads a request's body within its bounds.
func ReadBody(x *exchanger.Exchange, limit int64) *exchanger.Refusal {
	if x.Request.ContentLength > limit {
		return tooLarge()
	}
	control := http.NewResponseController(x.Writer)
	_ = control.SetReadDeadline(time.Now().Add(BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, limit))
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return tooLarge()
	case err != nil:
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBodyIncomplete, "the body ended early or came too slowly")
	}
	_ = control.SetReadDeadline(time.Time{})
	x.Body = body
	return nil
}

func tooLarge() *exchanger.Refusal {
	return exchanger.Refuse(http.StatusRequestEntityTooLarge, exchanger.CodeBodyTooLarge, "the body is larger than this instance takes")
}
