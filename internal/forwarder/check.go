package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
)

// defaultTimeout bounds calls whose caller sets no deadline.
const defaultTimeout = 30 * time.Second

// defaultMaxBodyBytes bounds the body of a request if the definition sets no
// limit.
const defaultMaxBodyBytes = 4 << 20

// resolveCall sets a call's route, workspace, service, urgency, home regions and
// deadline.
func resolveCall(view *definer.View, call *Call) *Refusal {
	call.record.definitionVersion = view.Version
	route, err := view.Route(call.Request.Host, call.Request.URL.Path)
	if err != nil {
		return &Refusal{Status: http.StatusNotFound, Reason: "no-route"}
	}
	call.Route, call.Workspace = route, nil // streamName needs the route
	if view.RequiresKey() && !route.Open {
		if call.Workspace, err = view.WorkspaceByKey(call.Key); err != nil {
			return &Refusal{Status: http.StatusUnauthorized, Reason: "unknown-key"}
		}
	}
	service, known := view.Service(route.ChooseService(call.streamName()))
	if !known {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no-service", RetryAfter: time.Second}
	}
	call.Service = service
	call.Urgency = definer.EffectivePriority(route, call.Workspace)
	call.HomeRegions, call.HomeRegionsOnly = definer.AllowedRegions(route, call.Workspace)
	call.homesVersion, call.maxBody = view.Version, view.Limits.MaxBody
	timeout := route.Timeout
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	} else {
		timeout = min(timeout, defaultTimeout)
	}
	call.Deadline = call.Arrived.Add(timeout)
	return nil
}

// checkLength refuses a call whose body is known to exceed the limit. A limit of 0 or
// less means the default.
func checkLength(call *Call, limit int64) *Refusal {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if call.Request.ContentLength > limit {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body-too-large"}
	}
	return nil
}

// readBody reads a call's body into memory. A limit of 0 or less means the
// default. It returns the number of bytes reserved in bodyMemory, also with a
// refusal; the caller must release them.
func (f *Forwarder) readBody(w http.ResponseWriter, call *Call, limit int64) (int64, *Refusal) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	r := call.Request
	if refusal := checkLength(call, limit); refusal != nil {
		return 0, refusal
	}
	expected := max(r.ContentLength, 0)
	if !f.bodyMemory.tryReserve(expected) {
		return 0, &Refusal{Status: http.StatusServiceUnavailable, Reason: "memory", RetryAfter: time.Second}
	}
	call.open.enter(phaseBody)
	if r.Body == http.NoBody {
		// net/http waits for the next request already: a read deadline would end its context.
		call.Body = []byte{}
		return 0, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(call.Deadline) // without support for deadlines, reads are not bounded
	defer context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })()
	var buffer bytes.Buffer
	buffer.Grow(int(expected))
	_, err := io.Copy(&buffer, http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	size := int64(buffer.Len())
	f.bodyMemory.reserve(size - expected)
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return size, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body-too-large"}
	case err != nil && isCutByStop(r.Context()):
		_ = control.SetReadDeadline(time.Unix(1, 0)) // net/http does not read on before the refusal is sent
		return size, cutByStopRefusal(0)
	case err != nil && time.Now().After(call.Deadline):
		return size, &Refusal{Status: http.StatusRequestTimeout, Reason: "body-late"}
	case err != nil:
		return size, &Refusal{Status: http.StatusBadRequest, Reason: "body-incomplete"}
	}
	call.Body, call.bodyRead = buffer.Bytes(), time.Now()
	return size, nil
}

// byteBudget bounds the sum of reserved bytes. It is safe for concurrent use.
type byteBudget struct {
	mu        sync.Mutex
	available int64
}

// tryReserve reserves an amount if it is available.
func (b *byteBudget) tryReserve(amount int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if amount > b.available {
		return false
	}
	b.available -= amount
	return true
}

// reserve reserves an amount that is already in use, even if that exceeds what is
// available. A negative amount is released.
func (b *byteBudget) reserve(amount int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available -= amount
}

func (b *byteBudget) release(amount int64) {
	b.reserve(-amount)
}
