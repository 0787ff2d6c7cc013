// Package sender sends a request to a backend server, or relays it once to
// another instance, and returns the response to the caller.
//
// A caller gets the complete response to its own request, or an error that says
// whether the request may have run. Responses and events that carry the id of
// another request are dropped. A stream that ends before its end marker is
// resumed, retried on another server if nothing has been written to the caller
// yet, or terminated with an error event.
package sender

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/authenticator"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/detector"
	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/picker"
	"github.com/boragehead/boragehead/internal/reserver"
	"github.com/boragehead/boragehead/internal/retrier"
	"github.com/boragehead/boragehead/internal/tracker"
)

// writeGrace is how long after a request's deadline its caller may still take the
// response.
const writeGrace = 5 * time.Second

// maxAttempts limits how often one request is sent, not counting resumes.
const maxAttempts = 4

// Dispatcher assigns backend servers to requests. It must be safe for concurrent
// use.
type Dispatcher interface {
	// Acquire waits for a server. The command is a dispatcher.Assign or a
	// refusal; the error is not nil if the context ended first.
	Acquire(ctx context.Context, request dispatcher.Enqueue) (dispatcher.Cmd, error)
	// FirstToken reports that the first byte of the response to the request with
	// this id has arrived.
	FirstToken(ctx context.Context, id uint64)
	// Servers returns the usable servers by name.
	Servers() map[string]tracker.Announcement
	// Release returns an assigned server. It is called once per assignment.
	Release(ctx context.Context, done dispatcher.Done)
}

// Peers gives access to the other instances. It must be safe for concurrent use.
type Peers interface {
	// RelayTransport returns the transport and the base URL of the instance with
	// this name, or false if the instance is unknown. The transport must wait for
	// the other instance to accept the body of a request that expects it.
	RelayTransport(name string) (http.RoundTripper, string, bool)
}

// Counters counts events for metrics. It must be safe for concurrent use.
type Counters interface {
	// CountMismatched counts a response or an event that carried the id of
	// another request.
	CountMismatched()
	// CountDisbelieved counts a refusal that may be that of an earlier request.
	CountDisbelieved()
	// CountRetry counts a request that is sent again.
	CountRetry()
	// CountResume counts a stream that is resumed.
	CountResume()
}

// Checker checks where a request may run. It must be safe for concurrent use.
type Checker interface {
	// Recheck places the request anew if the configuration has changed since it
	// was placed. It returns a refusal if the request may not be sent from here
	// any more. It replaces Pools and does not change the old slice.
	Recheck(x *exchanger.Exchange) *exchanger.Refusal
}

// Sender is the last handler of the chain. It is safe for concurrent use.
type Sender struct {
	servers   Dispatcher
	peers     Peers
	counters  Counters
	checker   Checker
	pooled    http.RoundTripper
	singleUse http.RoundTripper
	// responseMemory is for responses that are not streamed.
	responseMemory reserver.Budget
	// quarantine is nil unless UseQuarantine was called.
	quarantine Quarantine
	crashes    detector.Detector

	mu          sync.Mutex // guards the fields below
	retryBudget *retrier.Budget
	waiting     map[*waitingRequest]struct{}
}

// New returns a sender. It calls the checker before every send. The seed makes its
// retry backoff reproducible.
func New(servers Dispatcher, peers Peers, counters Counters, checker Checker, seed uint64) *Sender {
	return &Sender{
		servers:        servers,
		peers:          peers,
		counters:       counters,
		checker:        checker,
		pooled:         newTransport(true),
		singleUse:      newTransport(false),
		retryBudget:    retrier.NewBudget(seed),
		responseMemory: reserver.Budget{Bytes: maxTotalBufferedBytes},
		waiting:        map[*waitingRequest]struct{}{},
	}
}

// attemptResult is the outcome of one attempt.
type attemptResult uint8

const (
	// attemptAnswered: the caller has the complete response.
	attemptAnswered attemptResult = iota
	// attemptNotRun: no byte was written to the server, or the server refused
	// the request before running it.
	attemptNotRun
	// attemptOutdated: as attemptNotRun, but another instance declined the request
	// by a newer configuration than the one that it was placed by.
	attemptOutdated
	// attemptUnknown: the request may have run, and nothing of a response has
	// been written to the caller.
	attemptUnknown
	// attemptLacksMemory: the request may have run, and its response was dropped
	// because the memory for responses is exhausted.
	attemptLacksMemory
	// attemptPartial: a part of the response has been written to the caller.
	attemptPartial
)

// Handle is the exchanger.Handler at the end of a chain. It retries a request
// while that is safe and the retry budget allows it.
func (s *Sender) Handle(ctx context.Context, x *exchanger.Exchange) *exchanger.Refusal {
	control := http.NewResponseController(x.Writer)
	_ = control.SetWriteDeadline(x.Deadline.Add(writeGrace)) // without support for deadlines, writes are not bounded
	refusal := s.handle(ctx, x)
	if refusal == nil {
		_ = control.Flush() // within the bound
	}
	_ = control.SetWriteDeadline(time.Time{}) // for the next request on the connection
	return refusal
}

func (s *Sender) handle(ctx context.Context, x *exchanger.Exchange) *exchanger.Refusal {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	if refusal := s.checkQuarantine(x); refusal != nil {
		return refusal
	}
	var tried []string
	ran := false
	for attempt := range maxAttempts {
		result, refusal := s.attempt(ctx, x, tried)
		if refusal != nil {
			return withUnknownIfRan(refusal, ran)
		}
		ran = ran || result != attemptNotRun && result != attemptOutdated
		x.Result.MayHaveRun = ran
		switch {
		case result == attemptAnswered:
			s.earnRetry()
			return nil
		case result == attemptPartial:
			return nil
		case ctx.Err() != nil:
			return contextRefusal(ctx, ran)
		case result == attemptOutdated:
			return withUnknownIfRan(outdatedRefusal(), ran)
		case result == attemptLacksMemory:
			refusal := exchanger.Refuse(http.StatusBadGateway, exchanger.CodeServerFailed, "there is no memory for the answer now")
			return withUnknownIfRan(refusal.WithRetryAfter(time.Second), ran)
		case result == attemptUnknown && x.ClaimID != "":
			return s.serverFailedRefusal(ran)
		}
		if ran && !s.mayRunAgain(x) {
			return s.serverFailedRefusal(ran)
		}
		if x.Local {
			tried = append(tried, x.Result.Server)
		}
		// A request is relayed at most once. Retries are served locally.
		x.Relay, x.Local = "", true
		if !s.waitToRetry(ctx, attempt) {
			return s.serverFailedRefusal(ran)
		}
		s.counters.CountRetry()
	}
	return s.serverFailedRefusal(ran)
}

// attempt makes one attempt. A refusal means that nothing was sent.
func (s *Sender) attempt(ctx context.Context, x *exchanger.Exchange, tried []string) (attemptResult, *exchanger.Refusal) {
	if refusal := s.checker.Recheck(x); refusal != nil {
		return attemptNotRun, refusal
	}
	if !x.Local {
		return s.relay(ctx, x), nil
	}
	assignment, refusal := s.acquire(ctx, x, tried)
	if refusal != nil {
		return attemptNotRun, refusal
	}
	x.Result.Server = assignment.Server.Name
	x.Result.Pool = assignment.Pool
	started := time.Now()
	target := target{baseURL: "http://" + assignment.Server.Address.String(), transport: s.transport(x)}
	target.onFirstByte = func() { s.servers.FirstToken(ctx, assignment.ID) }
	target.sameStart = func() bool {
		current, usable := s.servers.Servers()[assignment.Server.Name]
		return !usable || current.Incarnation == assignment.Server.Incarnation
	}
	target.observe = func() *detector.Begin { return s.observe(x, assignment) }
	result, tokens := s.sendWithResume(ctx, x, target)
	done := dispatcher.Done{ID: assignment.ID, Tokens: tokens, Elapsed: time.Since(started)}
	done.Unused = ctx.Err() != nil && result != attemptAnswered || result == attemptLacksMemory
	done.Failed = result != attemptAnswered && !done.Unused
	s.servers.Release(context.WithoutCancel(ctx), done)
	return result, nil
}

// acquire waits for a server. The configuration may change meanwhile, so the
// request is checked again, and waits anew if the pool of its server may not
// serve it any more.
func (s *Sender) acquire(ctx context.Context, x *exchanger.Exchange, tried []string) (dispatcher.Assign, *exchanger.Refusal) {
	for {
		waitCtx, endWait := s.trackWaiting(ctx, x)
		cmd, err := s.servers.Acquire(waitCtx, newEnqueue(x, tried))
		endWait()
		if err != nil && ctx.Err() != nil {
			return dispatcher.Assign{}, contextRefusal(ctx, false)
		}
		if err != nil {
			if refusal := s.checker.Recheck(x); refusal != nil {
				return dispatcher.Assign{}, refusal
			}
			continue
		}
		assignment, ok := cmd.(dispatcher.Assign)
		if !ok {
			return dispatcher.Assign{}, dispatchRefusal(cmd)
		}
		refusal := s.checker.Recheck(x)
		if refusal == nil && slices.Contains(x.Pools, assignment.Pool) {
			return assignment, nil
		}
		s.servers.Release(context.WithoutCancel(ctx), dispatcher.Done{ID: assignment.ID, Unused: true})
		if refusal != nil {
			return dispatcher.Assign{}, refusal
		}
	}
}

// transport returns the transport for a request. Requests that must not run twice
// get a new connection each, because a reused one may already be closed by the
// server, and whether the request ran would then be unknown.
func (s *Sender) transport(x *exchanger.Exchange) http.RoundTripper {
	if x.ClaimID != "" {
		return s.singleUse
	}
	return s.pooled
}

// relay sends the request to the instance that the router chose.
func (s *Sender) relay(ctx context.Context, x *exchanger.Exchange) attemptResult {
	transport, baseURL, known := s.peers.RelayTransport(x.Relay)
	if !known {
		return attemptNotRun
	}
	result, _ := s.sendWithResume(ctx, x, target{baseURL: baseURL, transport: transport, isRelay: true})
	return result
}

func newEnqueue(x *exchanger.Exchange, tried []string) dispatcher.Enqueue {
	return dispatcher.Enqueue{
		Workspace: x.Workspace.Name, Weight: x.Workspace.WeightOrDefault(), Pools: x.Pools,
		Deadline: x.Deadline, OutputTokens: x.Work.OutputTokens,
		Request: picker.Request{
			Prefix: x.Work.Prefix, PromptTokens: x.Work.PromptTokens,
			PrefixTokens: x.Work.PrefixTokens, Tried: tried,
		},
	}
}

// dispatchRefusal returns the refusal for a request that the dispatcher did not
// assign.
func dispatchRefusal(cmd dispatcher.Cmd) *exchanger.Refusal {
	refuse, ok := cmd.(dispatcher.Refuse)
	if ok && refuse.Reason == dispatcher.ReasonOverloaded {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeOverloaded,
			"the work waiting here cannot be done before this request's deadline").WithRetryAfter(refuse.RetryAfter)
	}
	refusal := exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoServer, "no backend server of this route's pools is here now")
	return refusal.WithRetryAfter(max(refuse.RetryAfter, time.Second))
}

// withUnknownIfRan sets the outcome of a refusal to unknown if an earlier attempt
// may have run, and returns the refusal.
func withUnknownIfRan(refusal *exchanger.Refusal, ran bool) *exchanger.Refusal {
	if ran {
		refusal.Outcome = exchanger.OutcomeUnknown
	}
	return refusal
}

// contextRefusal returns the refusal for a context that has ended: the key was
// withdrawn, the caller disconnected, or the deadline passed.
func contextRefusal(ctx context.Context, ran bool) *exchanger.Refusal {
	refusal := exchanger.Refuse(http.StatusGatewayTimeout, exchanger.CodeOverloaded, "the request's deadline has passed").WithRetryAfter(time.Second)
	switch {
	case errors.Is(context.Cause(ctx), authenticator.ErrKeyInvalidated):
		refusal = exchanger.Refuse(http.StatusUnauthorized, exchanger.CodeKeyWithdrawn, "this key no longer counts here")
	case errors.Is(context.Cause(ctx), conductor.ErrStopping):
		refusal = exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeStopping, "this instance stops").WithRetryAfter(time.Second)
	case errors.Is(ctx.Err(), context.Canceled):
		refusal = exchanger.Refuse(http.StatusRequestTimeout, exchanger.CodeCancelled, "the caller has gone")
	}
	return withUnknownIfRan(refusal, ran)
}

// serverFailedRefusal returns the refusal after the last attempt has failed.
func (s *Sender) serverFailedRefusal(ran bool) *exchanger.Refusal {
	refusal := exchanger.Refuse(http.StatusBadGateway, exchanger.CodeServerFailed, "no backend server gave a whole answer").WithRetryAfter(time.Second)
	return withUnknownIfRan(refusal, ran)
}

// outdatedRefusal returns the refusal for a request that must not be served by this
// instance's configuration, because a newer one binds it elsewhere.
func outdatedRefusal() *exchanger.Refusal {
	return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeConfigurationOutdated,
		"this instance lacks a newer configuration, by which the workspace's home is elsewhere").WithRetryAfter(time.Second)
}

// earnRetry credits the retry budget for a successful request.
func (s *Sender) earnRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.Earn()
}

// waitToRetry takes a retry from the budget and waits for its backoff. It returns
// false if the budget is empty or the context ends first.
func (s *Sender) waitToRetry(ctx context.Context, attempt int) bool {
	s.mu.Lock()
	wait, ok := s.retryBudget.Spend(attempt)
	s.mu.Unlock()
	if !ok {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// setRequestHeaders sets the gateway's own headers of a request to a backend
// server or another instance. None of them holds a key.
func setRequestHeaders(header http.Header, x *exchanger.Exchange, t target) {
	header.Set(exchanger.HeaderRequestID, x.ID)
	header.Set(exchanger.HeaderPriority, strconv.Itoa(x.Route.Priority))
	if x.Workspace.Name != "" {
		header.Set(exchanger.HeaderWorkspace, x.Workspace.Name)
	}
	if t.isRelay {
		header.Set(exchanger.HeaderRoute, x.Route.Name)
		header.Set(exchanger.HeaderDeadline, time.Until(x.Deadline).String())
	}
}
