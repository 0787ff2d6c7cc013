package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
)

// defaultPatience applies to calls whose caller names no deadline.
const defaultPatience = 30 * time.Second

// defaultMaxBody applies while the definition names no limit, in bytes.
const defaultMaxBody = 4 << 20

// check finds a call's route and workspace.
func check(view *definer.View, call *Call) *Refusal {
	call.trail.version = view.Version
	route, err := view.Route(call.Request.Host, call.Request.URL.Path)
	if err != nil {
		return &Refusal{Status: http.StatusNotFound, Reason: "no-route"}
	}
	call.Route = route
	if view.Keyed() && !route.Open {
		if call.Workspace, err = view.Owner(call.Key); err != nil {
			return &Refusal{Status: http.StatusUnauthorized, Reason: "unknown-key"}
		}
	}
	service, known := view.Service(route.Choose(call.ID))
	if !known {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no-service", RetryAfter: time.Second}
	}
	call.Service = service
	call.Urgency = definer.Urgency(route, call.Workspace)
	call.Homes, call.Bound = definer.Homes(route, call.Workspace)
	patience := route.Timeout
	if call.Patience > 0 {
		patience = min(patience, call.Patience)
	} else {
		patience = min(patience, defaultPatience)
	}
	call.Deadline = call.Arrived.Add(patience)
	return nil
}

// readBody reads a call's body whole. It returns the bytes that it counts for.
func (f *Forwarder) readBody(w http.ResponseWriter, call *Call, limit int64) (int64, *Refusal) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	r := call.Request
	if r.ContentLength > limit {
		return 0, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body-too-large"}
	}
	expected := max(r.ContentLength, 0)
	if !f.bodies.take(expected) {
		return 0, &Refusal{Status: http.StatusServiceUnavailable, Reason: "memory", RetryAfter: time.Second}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(call.Deadline) // a connection without deadlines reads on
	var buffer bytes.Buffer
	buffer.Grow(int(expected))
	_, err := io.Copy(&buffer, http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	size := int64(buffer.Len())
	f.bodies.force(size - expected)
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return size, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body-too-large"}
	case err != nil && time.Now().After(call.Deadline):
		return size, &Refusal{Status: http.StatusRequestTimeout, Reason: "body-late"}
	case err != nil:
		return size, &Refusal{Status: http.StatusBadRequest, Reason: "body-incomplete"}
	}
	call.Body = buffer.Bytes()
	return size, nil
}

// gauge bounds a sum.
type gauge struct {
	mu   sync.Mutex
	room int64
}

// take claims an amount, if there is room.
func (g *gauge) take(amount int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if amount > g.room {
		return false
	}
	g.room -= amount
	return true
}

// force claims an amount that is there already.
func (g *gauge) force(amount int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room -= amount
}

func (g *gauge) release(amount int64) {
	g.force(-amount)
}
