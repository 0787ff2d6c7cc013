package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/reserver"
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
	route, err := view.Route(call.Request.Host, sentPath(call.Request))
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

// readBody reads a call's body into memory, which it reserves as the body arrives.
func (f *Forwarder) readBody(w http.ResponseWriter, call *Call, memory *reserver.Reservation) *Refusal {
	limit := call.maxBody
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	r := call.Request
	if refusal := checkLength(call, limit); refusal != nil {
		return refusal
	}
	call.open.enter(phaseBody)
	if r.Body == http.NoBody {
		// net/http waits for the next request already: a read deadline would end its context.
		call.Body = []byte{}
		return nil
	}
	control := http.NewResponseController(w)
	endRead := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
	_ = control.SetReadDeadline(call.Deadline) // without support for deadlines, reads are not bounded
	defer context.AfterFunc(r.Context(), endRead)()
	memory.Drop = endRead // not after ReadRequest: the deadline would end the next request
	body, err := memory.ReadRequest(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body-too-large"}
	case err != nil && isCutByStop(r.Context()):
		endRead() // net/http does not read on before the refusal is sent
		return cutByStopRefusal(0)
	case errors.Is(err, reserver.ErrRequestsExhausted):
		f.metrics.Count("bodies-without-memory")
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "memory", RetryAfter: memoryRetryAfter()}
	case err != nil && time.Now().After(call.Deadline):
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "body-late"}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Reason: "body-incomplete"}
	}
	call.Body, call.bodyRead = body, time.Now()
	return nil
}

// memoryRetryAfter returns a time of 1 to 2 s, so that the callers whose bodies were refused
// together do not send them again together.
func memoryRetryAfter() time.Duration {
	return time.Second + rand.N(time.Second)
}
