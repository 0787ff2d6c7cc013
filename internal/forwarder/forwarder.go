// Package forwarder proxies callers' requests to backend servers over plain
// HTTP. It changes neither the request nor the response.
//
// Each [Call] passes through checks, placement and one or more attempts, and
// gets exactly one answer: the server's own response, complete and unchanged,
// or a [Refusal] that states correctly whether the request may have run. A
// [Dialect] defines the headers and error format that callers and servers use.
package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/detector"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/reserver"
	"github.com/boragehead/boragehead/internal/versioner"
)

// Call is a caller's request together with the routing decisions made for it.
// It is used by one goroutine at a time.
type Call struct {
	ID string
	// Key is the caller's API key. It never leaves this process.
	Key string
	// Timeout is how long the caller is willing to wait, or 0 if it did not
	// say.
	Timeout time.Duration
	// LastEventID is the id of the event after which a stream resumes, or empty
	// if the caller named none.
	LastEventID string
	// Resumes is the id of the request that began the stream which this one takes up after
	// LastEventID, or empty if the caller named none.
	Resumes string
	Work    placer.Work

	Request *http.Request
	Body    []byte
	// Arrived is when the head of the request had arrived, and bodyRead when its body had;
	// zero until then.
	Arrived  time.Time
	bodyRead time.Time

	// The routing decisions follow. They are made by resolveCall or, for relayed
	// calls, by the instance that relayed them.

	Route *definer.Route
	// Workspace is nil on open routes and if the definition has no keys.
	Workspace *definer.Workspace
	Service   *definer.Service
	// Urgency ranks the call; 0 is the most urgent.
	Urgency  int
	Deadline time.Time
	// HomeRegions are the only regions that may serve the call if
	// HomeRegionsOnly is set. homesVersion is the newest definition that they take
	// into account.
	HomeRegions     []string
	HomeRegionsOnly bool
	homesVersion    definer.Version
	// Relayed means that an instance of another region made the routing
	// decisions. The call is then served in this region or refused.
	Relayed bool

	// streamVersion is the version by which the stream began that a relayed call takes up
	// or resumes, as the relaying instance knows it.
	streamVersion string
	// runsMark begins the comments that count servers within a relayed stream; empty if
	// the call is not relayed, or was by an earlier release.
	runsMark string
	// maxBody is the definition's limit of the body in bytes; 0 for the default.
	maxBody int64
	// fingerprint identifies the request together with its repetitions; 0 until the body
	// has been read.
	fingerprint uint64
	// probe means that the call may run once although it, or a part of its prompt, is
	// quarantined.
	probe  bool
	record callRecord
	// open is nil for a call that no handler serves.
	open *openRequest
}

// callRecord holds what the log line and the metrics report about a call.
type callRecord struct {
	definitionVersion definer.Version
	// behind and unconfirmed are what the fleet knew of that version when the call was
	// decided; see Fleet.
	behind, unconfirmed time.Duration
	// server is where the last attempt went, or empty if it was relayed.
	server string
	// serverVersion is the version of that server's software, if it is known.
	serverVersion string
	// originSource is how the version of the stream was found that the call takes up, and
	// versionsAge how old the knowledge of the servers' versions was then; empty for others.
	originSource versioner.Source
	versionsAge  time.Duration
	// relayRegion is the region that the call was last relayed to, if any.
	relayRegion string
	// predictedWait is the placer's prediction of the time to the first event.
	// predictedDuration is that of the time to the last event, and
	// predictedTokenTime that of the time for a token of the output.
	predictedWait, predictedDuration, predictedTokenTime time.Duration
	// slowdown is the reported slowdown of the server in percent; 0 if it is not known.
	slowdown      int32
	cachedTokens  int64
	usableServers int
	attempts      int
	// offered is the number of servers that the request was sent to.
	offered int
	// waited is how long the call waited for a placement.
	waited time.Duration
	// timeToFirstByte is measured from the call's arrival; 0 until then.
	timeToFirstByte time.Duration
	received        receivedBody
	// level is the highest that the request and its parts had in the quarantine.
	level quarantiner.Level
	// connectionEnd is how the server's connection ended in the last attempt.
	connectionEnd detector.End
	// note describes what went wrong in the last attempt.
	note   string
	status int
}

// Refusal ends a call without a server's response.
type Refusal struct {
	// Status is the HTTP status. It may imply that the request was not run, as
	// 429 and 503 do, only if the request has not run and never will.
	Status int
	// Reason is a short code for logs and callers.
	Reason string
	// RetryAfter is how long the caller should wait before it tries again; 0 if
	// nothing is known.
	RetryAfter time.Duration
	// MayHaveRun means that at least one server may have run the request.
	MayHaveRun bool
	// PossibleRuns is the number of servers that may have run the request.
	PossibleRuns int
	// HomesMoved means that a newer definition than the one by which the call was
	// decided binds it to other regions, or decides it otherwise.
	HomesMoved bool
}

// ServerRequest is what a dialect passes to a server along with a call's
// request.
type ServerRequest struct {
	// ID is the call's id.
	ID string
	// Server and Workspace are names. Workspace is empty if the call has none.
	Server    string
	Workspace string
	// TimeLeft is the time until the call's deadline.
	TimeLeft time.Duration
	// Urgency ranks the call; 0 is the most urgent.
	Urgency int
	// LastEventID, unless empty, is the id of the event after which the server
	// resumes the stream.
	LastEventID string
	// CopySource, if valid, is the address of a server from which to copy the
	// cached part of the prompt.
	CopySource netip.AddrPort
}

// ResponseInfo is what a dialect reads from a server's response headers.
type ResponseInfo struct {
	// ID is the request id that the server echoed.
	ID string
	// NotRun means that the server states that it did not run the request.
	NotRun bool
	// OtherServer means that another server than the named one is at its address now.
	OtherServer bool
	// Signed means that the response carries a server's signature.
	Signed bool
	// Notice is what the server says about itself.
	Notice placer.Notice
	// InvalidLimit is the text of a limit that could not be decoded, or empty.
	InvalidLimit string
	// InvalidLoad is the text of a reported load that could not be decoded, or empty.
	InvalidLoad string
}

// Dialect defines the HTTP headers and the error format that callers and servers
// use. Its methods must be safe for concurrent use.
type Dialect interface {
	// DecodeRequest decodes the headers of a caller's request; it must not read
	// the body. If it fails, the call is refused with the error's text as the
	// reason; the returned Call then needs no more than the ID.
	DecodeRequest(r *http.Request) (Call, error)
	// StripReservedHeaders removes the caller's key and all headers that only
	// the gateway may set.
	StripReservedHeaders(header http.Header)
	// SetServerHeaders sets the headers that a server expects from the gateway.
	SetServerHeaders(header http.Header, request ServerRequest)
	// DecodeResponse decodes the headers of a server's response; it must not
	// read the body.
	DecodeResponse(response *http.Response) ResponseInfo
	// WriteRefusal writes a refusal to the caller. The id is empty if the
	// request had none.
	WriteRefusal(w http.ResponseWriter, id string, refusal Refusal)
}

// Forwarder serves callers' requests as an http.Handler.
// [Forwarder.RelayHandler] returns the handler for requests relayed by other
// instances. All methods are safe for concurrent use.
type Forwarder struct {
	dialect         Dialect
	fleet           Fleet
	metrics         Metrics
	serverTransport *http.Transport
	relayTransport  *http.Transport
	retryBudgets    serviceBudgets
	quarantine      Quarantine
	origins         Origins
	crashes         detector.Detector
	newestWaits     newestWaits
	requestMemory   *reserver.Budget
	responseMemory  reserver.Budget
	lastPlacementID atomic.Uint64
	openRequests    openRequests
	// closingConnections means that every response asks the caller to close its
	// connection.
	closingConnections atomic.Bool
	// stopDeadline, unless nil, is when requests still in progress will be ended.
	stopDeadline atomic.Pointer[time.Time]

	// noticeLogLimiter limits the log lines about what servers say about themselves.
	noticeLogLimiter logger.RateLimiter
	// answeredLogLimiter and unansweredLogLimiter limit the rate of log lines:
	// one for answered calls, the other for refused, failed and broken-off ones.
	answeredLogLimiter   logger.RateLimiter
	unansweredLogLimiter logger.RateLimiter
}

// New returns a Forwarder. The retry limit applies to all entry instances
// together.
func New(dialect Dialect, fleet Fleet, metrics Metrics, retryLimit RetryLimit) *Forwarder {
	return &Forwarder{
		dialect: dialect, fleet: fleet, metrics: metrics,
		serverTransport: newTransport(serverAckTimeout, maxResponseHeadBytes),
		relayTransport:  newTransport(relayAckTimeout, maxRelayedHeadBytes),
		requestMemory:   &reserver.Budget{Bytes: defaultRequestBytes},
		responseMemory:  reserver.Budget{Bytes: maxTotalResponseBytes},
		retryBudgets:    serviceBudgets{limit: retryLimit},
		crashes:         detector.Detector{Metrics: metrics},
	}
}

// defaultRequestBytes bounds the memory for the bodies of all requests in progress
// unless UseRequestMemory is called.
const defaultRequestBytes = 64 << 20

// UseRequestMemory sets the budget for the bodies of requests, also of relayed ones. It
// must be called before the first request.
func (f *Forwarder) UseRequestMemory(budget *reserver.Budget) {
	f.requestMemory = budget
}

// maxTotalResponseBytes bounds the memory for the responses and events that all
// requests in progress are reading.
const maxTotalResponseBytes = 64 << 20

// CloseConnections makes every further response ask the caller to close its
// connection, so that its next request opens a new one.
func (f *Forwarder) CloseConnections() {
	f.closingConnections.Store(true)
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if a
// stream that has partly reached the caller can't be completed.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	open := f.openRequests.add(arrived)
	defer f.openRequests.remove(open)
	if f.closingConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := f.dialect.DecodeRequest(r)
	call.Request, call.Arrived, call.open = r, arrived, open
	open.setID(call.ID)
	if err != nil {
		f.finish(w, &call, &Refusal{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	f.dialect.StripReservedHeaders(r.Header)
	f.finish(w, &call, f.serve(w, &call))
}

// serve runs the checks on a call, reads its body, charges the quota and makes
// the attempts. It returns nil if the caller has got a server's response.
func (f *Forwarder) serve(w http.ResponseWriter, call *Call) *Refusal {
	call.open.enter(phaseChecks)
	// The first definition may be the one from before this instance was away.
	f.waitWhileStarting(call.Request.Context(), func() bool { return f.fleet.View() != nil && f.hasNewest() })
	if f.fleet.View() == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no-definition", RetryAfter: time.Second}
	}
	view, refusal := f.resolve(call)
	if refusal == nil {
		refusal = f.stoppingRefusal(call)
	}
	if refusal != nil {
		return refusal
	}
	defer f.watchDeadline(call)()
	if f.isOutdated(call) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonDefinitionBehind, RetryAfter: behindRetryAfter}
	}
	memory := reserver.Reservation{Budget: f.requestMemory}
	defer memory.Shrink(0)
	refusal = f.readBody(w, call, &memory)
	switch {
	case refusal != nil && refusal.isFinal() && !f.awaitNewest(call):
		return f.unknownRefusal()
	case refusal != nil && refusal.isFinal() && f.fleet.View() != view:
		return f.unknownRefusal() // what was read of the body cannot be read again
	case refusal != nil:
		return refusal
	}
	if f.fleet.View() != view { // a slow body must not make the call one of the definition before
		if _, refusal := f.resolve(call); refusal != nil {
			return refusal
		}
	}
	if refusal := f.stoppingRefusal(call); refusal != nil { // the stop may have begun since
		return refusal
	}
	return f.chargeAndForward(w, call)
}

// startupPollInterval is how often waitWhileStarting checks its condition.
const startupPollInterval = 20 * time.Millisecond

// waitWhileStarting waits until a condition holds, but only while this instance
// has just started: the state that a request needs is then probably about to
// arrive from other instances and servers.
func (f *Forwarder) waitWhileStarting(ctx context.Context, condition func() bool) {
	for !condition() && f.fleet.RecentlyStarted() && ctx.Err() == nil {
		timer := time.NewTimer(startupPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
