// Package sender sends a request to a backend server, or once to another
// instance, and returns the whole answer.
//
// The one idea: a caller gets a whole answer to its own request or is told
// plainly how far it came. Answers carry the request's id and an end mark;
// what carries another id is dropped, and a stream that ends early is resumed,
// run elsewhere while nothing has reached the caller, or ended with an error.
package sender

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/authenticator"
	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/picker"
	"github.com/boragehead/boragehead/internal/retrier"
)

// maxAttempts bounds the sends of one request.
const maxAttempts = 4

// Servers gives out backend servers.
type Servers interface {
	Acquire(ctx context.Context, request dispatcher.Enqueue) (dispatcher.Cmd, error)
	// Began notes that the first byte of an answer has come.
	Began(ctx context.Context, id uint64)
	Release(ctx context.Context, done dispatcher.Done)
}

// Peers reaches other instances for relays.
type Peers interface {
	// Relay returns the transport and the base URL of an instance.
	Relay(name string) (http.RoundTripper, string, bool)
}

// Counters counts what the sender met.
type Counters interface {
	// CountCrossed counts an answer that carried another request's id.
	CountCrossed()
	// CountRetry counts a request that was sent again.
	CountRetry()
	// CountResume counts a stream that was resumed.
	CountResume()
}

// Sender is the last handler of the chain.
type Sender struct {
	servers  Servers
	peers    Peers
	counters Counters
	direct   http.RoundTripper
	single   http.RoundTripper

	mu     sync.Mutex
	budget *retrier.Budget
}

// New returns a sender.
func New(servers Servers, peers Peers, counters Counters, seed uint64) *Sender {
	return &Sender{
		servers:  servers,
		peers:    peers,
		counters: counters,
		direct:   newTransport(true),
		single:   newTransport(false),
		budget:   retrier.NewBudget(seed),
	}
}

// verdict is what became of one attempt.
type verdict uint8

const (
	// answered: the caller has the whole answer.
	answered verdict = iota
	// notRun: no byte was written, or the server refused before running.
	notRun
	// lost: the work may have run, and nothing has reached the caller.
	lost
	// cut: a part of the answer has reached the caller.
	cut
)

// Handle is the exchanger.Handler that ends a chain.
func (s *Sender) Handle(ctx context.Context, x *exchanger.Exchange) *exchanger.Refusal {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	var tried []string
	ran := false
	for attempt := range maxAttempts {
		result, refusal := s.try(ctx, x, tried)
		if refusal != nil {
			return afterRun(refusal, ran)
		}
		ran = ran || result != notRun
		x.Result.Ran = ran
		switch {
		case result == answered:
			s.earn()
			return nil
		case result == cut:
			return nil
		case ctx.Err() != nil:
			return ended(ctx, ran)
		case result == lost && x.Attempt != "":
			return s.failed(ran)
		}
		if x.Local {
			tried = append(tried, x.Result.Server)
		}
		// A relay that failed is not relayed again: what is left is here.
		x.Relay, x.Local = "", true
		if !s.mayRetry(ctx, attempt) {
			return s.failed(ran)
		}
		s.counters.CountRetry()
	}
	return s.failed(ran)
}

// try makes one attempt. A refusal means that none could be made.
func (s *Sender) try(ctx context.Context, x *exchanger.Exchange, tried []string) (verdict, *exchanger.Refusal) {
	if !x.Local {
		return s.relay(ctx, x), nil
	}
	cmd, err := s.servers.Acquire(ctx, enqueue(x, tried))
	if err != nil {
		return notRun, ended(ctx, false)
	}
	assigned, ok := cmd.(dispatcher.Assign)
	if !ok {
		return notRun, given(cmd)
	}
	x.Result.Server = assigned.Server.Name
	x.Result.Pool = assigned.Pool
	started := time.Now()
	target := target{base: "http://" + assigned.Server.Address.String(), transport: s.transport(x)}
	target.began = func() { s.servers.Began(ctx, assigned.ID) }
	result, tokens := s.exchange(ctx, x, target)
	done := dispatcher.Done{ID: assigned.ID, Tokens: tokens, Elapsed: time.Since(started)}
	done.Unused = ctx.Err() != nil && result != answered
	done.Failed = result != answered && !done.Unused
	s.servers.Release(context.WithoutCancel(ctx), done)
	return result, nil
}

// transport returns the one whose connections suit the request: work that
// must not run twice never uses a kept connection, which may be dead already.
func (s *Sender) transport(x *exchanger.Exchange) http.RoundTripper {
	if x.Attempt != "" {
		return s.single
	}
	return s.direct
}

func (s *Sender) relay(ctx context.Context, x *exchanger.Exchange) verdict {
	transport, base, known := s.peers.Relay(x.Relay)
	if !known {
		return notRun
	}
	result, _ := s.exchange(ctx, x, target{base: base, transport: transport, relay: true})
	return result
}

func enqueue(x *exchanger.Exchange, tried []string) dispatcher.Enqueue {
	return dispatcher.Enqueue{
		Workspace: x.Workspace.Name, Weight: x.Workspace.Share(), Pools: x.Pools,
		Deadline: x.Deadline, OutputTokens: x.Work.OutputTokens,
		Request: picker.Request{
			Prefix: x.Work.Prefix, PromptTokens: x.Work.PromptTokens,
			PrefixTokens: x.Work.PrefixTokens, Tried: tried,
		},
	}
}

// given turns the dispatcher's refusal into the caller's.
func given(cmd dispatcher.Cmd) *exchanger.Refusal {
	refuse, ok := cmd.(dispatcher.Refuse)
	if ok && refuse.Reason == dispatcher.ReasonOverloaded {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeOverloaded,
			"the work waiting here cannot be done before this request's deadline").After(refuse.RetryAfter)
	}
	refusal := exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoServer, "no backend server of this route's pools is here now")
	return refusal.After(max(refuse.RetryAfter, time.Second))
}

// afterRun corrects a refusal of a later attempt: an earlier one may have run.
func afterRun(refusal *exchanger.Refusal, ran bool) *exchanger.Refusal {
	if ran {
		refusal.Outcome = exchanger.OutcomeUnknown
	}
	return refusal
}

// ended tells why a context ended.
func ended(ctx context.Context, ran bool) *exchanger.Refusal {
	refusal := exchanger.Refuse(http.StatusGatewayTimeout, exchanger.CodeOverloaded, "the request's deadline has passed").After(time.Second)
	switch {
	case errors.Is(context.Cause(ctx), authenticator.ErrRevoked):
		refusal = exchanger.Refuse(http.StatusUnauthorized, exchanger.CodeKeyWithdrawn, "this key no longer counts here")
	case errors.Is(ctx.Err(), context.Canceled):
		refusal = exchanger.Refuse(http.StatusRequestTimeout, exchanger.CodeCancelled, "the caller has gone")
	}
	return afterRun(refusal, ran)
}

func (s *Sender) failed(ran bool) *exchanger.Refusal {
	refusal := exchanger.Refuse(http.StatusBadGateway, exchanger.CodeServerFailed, "no backend server gave a whole answer").After(time.Second)
	return afterRun(refusal, ran)
}

func (s *Sender) earn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Earn()
}

// mayRetry spends from the budget and waits out the backoff.
func (s *Sender) mayRetry(ctx context.Context, attempt int) bool {
	s.mu.Lock()
	wait, ok := s.budget.Spend(attempt)
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

// setDecisionHeaders tells a server or a peer what it needs, and no key.
func setDecisionHeaders(header http.Header, x *exchanger.Exchange, t target) {
	header.Set(exchanger.HeaderRequestID, x.ID)
	header.Set(exchanger.HeaderPriority, strconv.Itoa(x.Route.Priority))
	if x.Workspace.Name != "" {
		header.Set(exchanger.HeaderWorkspace, x.Workspace.Name)
	}
	if t.relay {
		header.Set(exchanger.HeaderRoute, x.Route.Name)
		header.Set(exchanger.HeaderDeadline, time.Until(x.Deadline).String())
	}
}
