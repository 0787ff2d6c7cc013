package conductor

import (
	"io"
	"net/http"

	"github.com/boragehead/boragehead/internal/reserver"
)

const (
	// readerFactor is how often a handler holds a body that it reads: in a buffer with an
	// unused part, and in the one before it or in what is decoded.
	readerFactor = 2
	// bodyStepBytes is how much is reserved at a time.
	bodyStepBytes = 4 << 10
)

// LimitBodies wraps a handler that reads the bodies of requests by itself: what it has read
// counts in the memory for requests until it returns. Beyond it, reading fails, and the answer
// that follows has status 503: the handler has not seen the whole request.
func (r *Resources) LimitBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Body == nil || request.Body == http.NoBody {
			handler.ServeHTTP(w, request)
			return
		}
		control := http.NewResponseController(w)
		body := &countedBody{ReadCloser: request.Body, resources: r}
		body.memory = reserver.Reservation{Budget: r.Memory, Preferred: true, Drop: func() { _ = control.SetReadDeadline(longAgo) }}
		defer body.memory.Shrink(0)
		defer body.memory.Keep()
		request.Body = body
		handler.ServeHTTP(&countedBodyWriter{ResponseWriter: w, body: body}, request)
	})
}

// countedBody reserves the memory for what is read. It is used by one goroutine at a time.
type countedBody struct {
	io.ReadCloser
	resources *Resources
	memory    reserver.Reservation
	size      int64
	ended     bool
	refused   bool
}

// Read implements io.Reader.
func (b *countedBody) Read(buffer []byte) (int, error) {
	if b.refused {
		return 0, reserver.ErrRequestsExhausted
	}
	n, err := b.ReadCloser.Read(buffer)
	b.size += int64(n)
	b.memory.Progress(n)
	size := (readerFactor*b.size + bodyStepBytes - 1) / bodyStepBytes * bodyStepBytes
	if !b.ended && !b.memory.TryGrow(size) || err != nil && !b.end() {
		b.refused = true
		b.resources.countBody()
		return 0, reserver.ErrRequestsExhausted
	}
	return n, err
}

// end records that no more is read. It returns false if the reading was dropped.
func (b *countedBody) end() bool {
	if b.ended {
		return true
	}
	b.ended = true
	return b.memory.Keep()
}

// countedBodyWriter answers 503 if the body was refused, whatever the handler makes of it.
type countedBodyWriter struct {
	http.ResponseWriter
	body *countedBody
}

// Unwrap is used by http.ResponseController.
func (w *countedBodyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *countedBodyWriter) WriteHeader(status int) {
	if w.body.refused {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Connection", "close")
		status = http.StatusServiceUnavailable
	}
	w.ResponseWriter.WriteHeader(status)
}
