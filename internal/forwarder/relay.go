package forwarder

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/matcher"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/reserver"
	"github.com/boragehead/boragehead/internal/responder"
)

// Headers between entry instances.
const (
	// headerRelay carries a relayedCall, as CBOR in base64.
	headerRelay = "Boragehead-Relay"
	// headerOutcome marks a refusal by the second instance itself, as opposed to
	// a server's response. Its value is one of the outcomes below.
	headerOutcome = "Boragehead-Outcome"
	// headerRan is the number of servers that may have run the request in the
	// second instance's region until the head of the response (see stateRuns), and
	// headerOffered the number of servers there that the request was sent to.
	headerRan     = "Boragehead-Ran"
	headerOffered = "Boragehead-Offered"
	// headerRetryAfter is how long a request that the second instance refused
	// should wait, as a Go duration.
	headerRetryAfter = "Boragehead-Retry-After"
	// headerHomesMoved marks a refusal because the second instance has a newer
	// definition, which decides the call otherwise than the first one's.
	headerHomesMoved = "Boragehead-Homes-Moved"
	// headerServerVersion is the software version of the server that gave the response.
	headerServerVersion = "Boragehead-Server-Version"
	// headerReason is the second instance's reason for a refusal.
	headerReason = "Boragehead-Reason"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// instanceHeaders are the response headers that only instances send each other.
var instanceHeaders = []string{headerOutcome, headerRan, headerOffered, headerRetryAfter, headerReason, headerHomesMoved, headerServerVersion}

// relayedCall is a call with the routing decisions of the instance that received
// it. The second instance uses only these decisions, whatever definition it has
// itself, except that it serves nothing that its own, newer definition binds to
// other regions, sends to other services or has no route for.
type relayedCall struct {
	ID        string             `cbor:"i"`
	Route     definer.Route      `cbor:"r"`
	Service   definer.Service    `cbor:"s"`
	Workspace *definer.Workspace `cbor:"w,omitempty"`
	Version   definer.Version    `cbor:"v"`
	Work      placer.Work        `cbor:"k"`
	// AttemptsLeft is the number of servers that may still run the request.
	AttemptsLeft int `cbor:"a"`
	Urgency      int `cbor:"u"`
	// UntilDeadline and UntilObjective are the times left until the deadline and
	// until the objective.
	UntilDeadline  time.Duration `cbor:"l"`
	UntilObjective time.Duration `cbor:"o"`
	LastEvent      string        `cbor:"e,omitempty"`
	// Homes are the only regions that may serve the call if Bound is set.
	Homes []string `cbor:"h,omitempty"`
	Bound bool     `cbor:"b,omitempty"`
	// MaxBody is the limit of the body; 0 from an earlier release.
	MaxBody int64 `cbor:"m,omitempty"`
	// Probe means that the call may run once although a part of its prompt is
	// quarantined.
	Probe bool `cbor:"q,omitempty"`
	// StreamVersion is the software version by which the stream began that goes on after
	// LastEvent; empty if there is none.
	StreamVersion string `cbor:"z,omitempty"`
	// RunsMark begins the comments in which the second instance counts servers within a
	// stream; empty from an earlier release, which would forward them.
	RunsMark string `cbor:"n,omitempty"`
}

// sendToRegion makes one attempt by relaying a call to an instance of another
// region, or to another instance of this one. It adds to the possible runs as many servers as that instance was
// allowed to use, or fewer if the response says so.
func (f *Forwarder) sendToRegion(ctx context.Context, out *callerResponse, id uint64, decision placer.Decision) attemptResult {
	runsBefore := out.possibleRuns
	defer f.fleet.FinishRelay(id, false) // unless its response has begun
	result, runs := f.relayRequest(ctx, out, id, decision)
	out.possibleRuns = runsBefore + runs
	return result
}

// relayRequest relays a call and handles the response. It returns the number of
// servers of the other region that may have run the request.
func (f *Forwarder) relayRequest(ctx context.Context, out *callerResponse, id uint64, decision placer.Decision) (result attemptResult, runs int) {
	call := out.call
	maxRuns := max(max(call.Route.Attempts, 1)-out.possibleRuns, 1)
	if f.runsOnce(call) {
		maxRuns = 1
	}
	address, found := f.fleet.RelayAddress(decision.Region, decision.Instance)
	if !found {
		call.record.note = "no reachable instance in the region"
		return resultDeclined, 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	match := &matcher.Match{}
	request := newOutgoingRequest(match.Follow(ctx, call.ID), call, address.String())
	call.runsMark = rand.Text() // no server can know it
	header, err := encodeRelayedCall(call, out.lastEventID, out.version, maxRuns)
	if err != nil {
		klog.ErrorS(err, "failed to encode call for relay", "id", call.ID)
		return resultDeclined, 0
	}
	request.Header.Set(headerRelay, header)
	f.metrics.Count("relays")
	response, err := f.relayTransport.RoundTrip(request)
	if err != nil {
		call.record.note = err.Error()
		if !match.Connected() {
			return resultDeclined, 0
		}
		out.offeredToServer = true
		return resultUnknown, maxRuns
	}
	defer func() { _ = response.Body.Close() }()
	out.statedRuns = maxRuns
	if reported, err := strconv.Atoi(response.Header.Get(headerRan)); err == nil && reported >= 0 {
		out.statedRuns = reported
	}
	response.Header.Del(headerRan)
	out.attemptVersion = response.Header.Get(headerServerVersion)
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		out.homesMoved = response.Header.Get(headerHomesMoved) != ""
		out.offeredToServer = out.offeredToServer || response.Header.Get(headerOffered) != "0"
		if wait, err := time.ParseDuration(response.Header.Get(headerRetryAfter)); err == nil { // earlier versions send none
			out.remoteRetryAfter = wait
			if response.Header.Get(headerReason) == reasonQuarantined {
				out.remoteQuarantine = wait
			}
		}
		call.record.note = "other region refused the request: " + response.Status
		return resultDeclined, 0
	case outcomeUnknown:
		out.offeredToServer = true
		call.record.note = "request failed in the other region: " + response.Status
		return resultUnknown, min(maxRuns, out.statedRuns)
	}
	f.fleet.FinishRelay(id, true)
	out.offeredToServer, out.breakCause = true, nil
	result, _ = f.handleResponse(out, match, response)
	if isBrokenOffHere(out.breakCause) {
		return result, maxRuns // a later count may not have been read
	}
	return result, min(maxRuns, out.statedRuns)
}

// encodeRelayedCall returns the value of headerRelay for a call whose stream, if
// any, resumes after lastEvent at a server of a version.
func encodeRelayedCall(call *Call, lastEvent, version string, attemptsLeft int) (string, error) {
	workspace := call.Workspace
	if workspace != nil {
		// The other instance needs only the name; the keys stay here.
		workspace = &definer.Workspace{Name: workspace.Name}
	}
	data, err := cbor.Marshal(relayedCall{
		ID: call.ID, Route: *call.Route, Service: *call.Service, Workspace: workspace, Version: call.record.definitionVersion,
		Work: call.Work, AttemptsLeft: attemptsLeft, Urgency: call.Urgency, UntilDeadline: time.Until(call.Deadline), UntilObjective: time.Until(call.objective()),
		LastEvent: lastEvent, Homes: call.HomeRegions, Bound: call.HomeRegionsOnly, Probe: call.probe, MaxBody: call.maxBody, StreamVersion: version, RunsMark: call.runsMark,
	})
	return base64.StdEncoding.EncodeToString(data), err
}

// RelayHandler returns the handler for requests that other instances relay to
// this one.
func (f *Forwarder) RelayHandler() http.Handler {
	return http.HandlerFunc(f.serveRelayed)
}

// serveRelayed serves one relayed request. A refusal is reported to the relaying
// instance by status and headers alone, without a body.
func (f *Forwarder) serveRelayed(w http.ResponseWriter, r *http.Request) {
	open := f.openRequests.add(time.Now())
	defer f.openRequests.remove(open)
	if f.closingConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := decodeRelayedCall(r)
	if err != nil {
		responder.AnswerUnread(w, func(w http.ResponseWriter) {
			w.Header().Set(headerOutcome, outcomeNotRun)
			w.WriteHeader(http.StatusBadRequest)
		})
		return
	}
	call.open = open
	open.setID(call.ID)
	refusal := f.forwardRelayed(w, call)
	if refusal == nil {
		f.reportCall(call, nil)
		return
	}
	call.record.status = refusal.Status
	open.enter(phaseRefused)
	f.reportCall(call, refusal)
	if call.Body != nil || r.Body == http.NoBody {
		writeRelayRefusal(w, call, refusal)
		return
	}
	responder.AnswerUnread(w, func(w http.ResponseWriter) { writeRelayRefusal(w, call, refusal) })
}

// writeRelayRefusal writes a refusal to the relaying instance.
func writeRelayRefusal(w http.ResponseWriter, call *Call, refusal *Refusal) {
	outcome := outcomeNotRun
	if refusal.MayHaveRun {
		outcome = outcomeUnknown
	}
	w.Header().Set(headerRan, strconv.Itoa(refusal.PossibleRuns))
	w.Header().Set(headerOffered, strconv.Itoa(call.record.offered))
	w.Header().Set(headerRetryAfter, refusal.RetryAfter.String())
	w.Header().Set(headerReason, refusal.Reason)
	w.Header().Set(headerOutcome, outcome)
	if refusal.HomesMoved {
		w.Header().Set(headerHomesMoved, "1")
	}
	w.WriteHeader(refusal.Status)
}

// forwardRelayed reads the body of a relayed call and makes the attempts. A call
// that this region may not serve is refused before its body is read.
func (f *Forwarder) forwardRelayed(w http.ResponseWriter, call *Call) *Refusal {
	call.open.enter(phaseChecks)
	if refusal := f.stoppingRefusal(call); refusal != nil {
		return refusal
	}
	if refusal := f.relayedRefusal(call); refusal != nil {
		return refusal
	}
	memory := reserver.Reservation{Budget: f.requestMemory}
	defer memory.Shrink(0)
	refusal := f.readBody(w, call, &memory)
	if refusal == nil {
		refusal = f.stoppingRefusal(call)
	}
	if refusal == nil { // a newer definition may have come into force since
		refusal = f.relayedRefusal(call)
	}
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(call.Request.Context(), call.Deadline)
	defer cancel()
	return f.forward(ctx, w, call)
}

// relayedRefusal refuses a relayed call that may not be served here, or not as the
// relaying instance has decided. It returns nil for others.
func (f *Forwarder) relayedRefusal(call *Call) *Refusal {
	if !f.mayServeHere(call) {
		moved := call.homesVersion > call.record.definitionVersion
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "not-home", HomesMoved: moved}
	}
	if f.isDecidedOtherwise(call) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "decided-otherwise", HomesMoved: true}
	}
	if f.isOutdated(call) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonDefinitionBehind, RetryAfter: behindRetryAfter}
	}
	return nil
}

// isDecidedOtherwise reports whether this instance's definition is newer than the one
// by which a relayed call was decided, and has no such route any more or sends it to
// other services.
func (f *Forwarder) isDecidedOtherwise(call *Call) bool {
	view := f.fleet.View()
	if view == nil || view.Version <= call.record.definitionVersion {
		return false
	}
	route, err := view.Route(call.Request.Host, sentPath(call.Request))
	return err != nil || !slices.ContainsFunc(route.Targets, func(target definer.Target) bool { return target.Service == call.Service.Name })
}

// decodeRelayedCall decodes headerRelay and removes it from the request.
func decodeRelayedCall(r *http.Request) (*Call, error) {
	data, err := base64.StdEncoding.DecodeString(strings.TrimSpace(r.Header.Get(headerRelay)))
	if err != nil {
		return nil, err
	}
	var decoded relayedCall
	if err := decoder.Message(data, &decoded); err != nil {
		return nil, err
	}
	r.Header.Del(headerRelay)
	now := time.Now()
	call := &Call{
		ID: decoded.ID, Work: decoded.Work, Request: r, Arrived: now, LastEventID: decoded.LastEvent,
		Route: &decoded.Route, Workspace: decoded.Workspace, Service: &decoded.Service, Urgency: decoded.Urgency,
		Deadline: now.Add(decoded.UntilDeadline), Relayed: true, HomeRegions: decoded.Homes, HomeRegionsOnly: decoded.Bound,
	}
	if !decoded.Bound && len(decoded.Route.Homes) > 0 { // an earlier release sends only the route's homes
		call.HomeRegions, call.HomeRegionsOnly = decoded.Route.Homes, true
	}
	call.record.definitionVersion, call.homesVersion = decoded.Version, decoded.Version
	call.probe, call.maxBody, call.streamVersion = decoded.Probe, decoded.MaxBody, decoded.StreamVersion
	call.runsMark = decoded.RunsMark
	call.Route.Objective = max(decoded.UntilObjective, time.Millisecond)
	call.Route.Attempts = decoded.AttemptsLeft
	return call, nil
}
