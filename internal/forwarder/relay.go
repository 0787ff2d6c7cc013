package forwarder

import (
	"context"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/placer"
)

// The headers between entry instances.
const (
	// headerRelay carries what the first instance decided, as CBOR in base64.
	headerRelay = "Boragehead-Relay"
	// headerOutcome marks a refusal of the instance itself.
	headerOutcome = "Boragehead-Outcome"
	// headerRan says on how many servers the request may have run there, and
	// headerOffered how many were offered it.
	headerRan     = "Boragehead-Ran"
	headerOffered = "Boragehead-Offered"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// relayed is a call as the first instance decided on it. The second one serves
// it by these decisions alone, whatever definition it holds.
type relayed struct {
	ID        string             `cbor:"i"`
	Route     definer.Route      `cbor:"r"`
	Service   definer.Service    `cbor:"s"`
	Workspace *definer.Workspace `cbor:"w,omitempty"`
	Version   definer.Version    `cbor:"v"`
	Work      placer.Work        `cbor:"k"`
	// Attempts is how many servers the request may still run on.
	Attempts int `cbor:"a"`
	Urgency  int `cbor:"u"`
	// Left is the time until the deadline, and Due until the objective.
	Left      time.Duration `cbor:"l"`
	Due       time.Duration `cbor:"o"`
	LastEvent string        `cbor:"e,omitempty"`
}

// relay passes a call on to an instance of another region.
// It counts the servers that the request may have run on there: all that it
// allowed, unless the answer says less.
func (f *Forwarder) relay(ctx context.Context, out *output, region string) verdict {
	before := out.ran
	result, ran := f.relayOnce(ctx, out, region)
	out.ran = before + ran
	return result
}

func (f *Forwarder) relayOnce(ctx context.Context, out *output, region string) (result verdict, ran int) {
	call := out.call
	left := max(max(call.Route.Attempts, 1)-out.ran, 1)
	address, known := f.fleet.Relay(region)
	if !known {
		call.trail.note = "no instance of the region is heard"
		return declined, 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, connected := newRequest(ctx, call, address.String())
	header, err := encodeRelayed(call, out.lastEvent, left)
	if err != nil {
		klog.ErrorS(err, "call not encoded for a relay", "id", call.ID)
		return declined, 0
	}
	request.Header.Set(headerRelay, header)
	f.counters.Count("relays")
	response, err := f.relays.RoundTrip(request)
	if err != nil {
		call.trail.note = err.Error()
		if !connected.Load() {
			return declined, 0
		}
		out.offered = true
		return lost, left
	}
	defer func() { _ = response.Body.Close() }()
	if said, err := strconv.Atoi(response.Header.Get(headerRan)); err == nil && said >= 0 {
		left = min(left, said)
	}
	response.Header.Del(headerRan)
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		out.offered = out.offered || response.Header.Get(headerOffered) != "0"
		call.trail.note = "refused there: " + response.Status
		return declined, 0
	case outcomeUnknown:
		out.offered = true
		call.trail.note = "failed there: " + response.Status
		return lost, left
	}
	out.offered = true
	result, _ = f.judge(out, response)
	return result, left
}

func encodeRelayed(call *Call, lastEvent string, attempts int) (string, error) {
	workspace := call.Workspace
	if workspace != nil {
		// Only the name is needed there; keys stay here.
		workspace = &definer.Workspace{Name: workspace.Name}
	}
	due := time.Until(call.Deadline)
	if call.Route.Objective > 0 {
		due = time.Until(call.Arrived.Add(call.Route.Objective))
	}
	data, err := cbor.Marshal(relayed{
		ID: call.ID, Route: *call.Route, Service: *call.Service, Workspace: workspace, Version: call.trail.version,
		Work: call.Work, Attempts: attempts, Urgency: call.Urgency, Left: time.Until(call.Deadline), Due: due, LastEvent: lastEvent,
	})
	return base64.StdEncoding.EncodeToString(data), err
}

// Relays returns the handler of the port that other instances relay to.
func (f *Forwarder) Relays() http.Handler {
	return http.HandlerFunc(f.serveRelayed)
}

func (f *Forwarder) serveRelayed(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	call, err := decodeRelayed(r)
	if err != nil {
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	refusal := f.runRelayed(w, call)
	if refusal != nil {
		call.trail.status = refusal.Status
		outcome := outcomeNotRun
		if refusal.Ran {
			outcome = outcomeUnknown
		}
		w.Header().Set(headerRan, strconv.Itoa(refusal.Servers))
		w.Header().Set(headerOffered, strconv.Itoa(call.trail.attempts))
		w.Header().Set(headerOutcome, outcome)
		w.WriteHeader(refusal.Status)
	}
	f.record(call, refusal)
}

func (f *Forwarder) runRelayed(w http.ResponseWriter, call *Call) *Refusal {
	size, refusal := f.readBody(w, call, 0)
	defer f.bodies.release(size)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(call.Request.Context(), call.Deadline)
	defer cancel()
	return f.attempt(ctx, w, call)
}

func decodeRelayed(r *http.Request) (*Call, error) {
	data, err := base64.StdEncoding.DecodeString(strings.TrimSpace(r.Header.Get(headerRelay)))
	if err != nil {
		return nil, err
	}
	var decided relayed
	if err := cbor.Unmarshal(data, &decided); err != nil {
		return nil, err
	}
	r.Header.Del(headerRelay)
	now := time.Now()
	call := &Call{
		ID: decided.ID, Work: decided.Work, Request: r, Arrived: now, LastEvent: decided.LastEvent,
		Route: &decided.Route, Workspace: decided.Workspace, Service: &decided.Service, Urgency: decided.Urgency,
		Deadline: now.Add(decided.Left), Relayed: true,
	}
	call.trail.version = decided.Version
	call.Route.Objective = max(decided.Due, time.Millisecond)
	call.Route.Attempts = decided.Attempts
	return call, nil
}
