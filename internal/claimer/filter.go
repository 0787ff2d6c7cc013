package claimer

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// HeaderIdempotencyKey is the header in which callers name their work.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxKeySize bounds an idempotency key, in bytes.
const maxKeySize = 255

// Times of claims.
const (
	// claimTimeout bounds the claim before anything is sent.
	claimTimeout = 3 * time.Second
	// finishTimeout bounds the tries to record an outcome.
	finishTimeout = 10 * time.Second
	// grace is how long after its deadline an attempt may still be recorded.
	grace = 15 * time.Second
	// inProgressRetry is when to ask again about work under way.
	inProgressRetry = time.Second
)

// Group reaches the claim group of a region.
type Group interface {
	Do(ctx context.Context, region string, command Command) (Outcome, error)
}

// Regions tells which region holds the claims of a route for a workspace.
type Regions interface {
	ClaimRegion(x *exchanger.Exchange) string
}

// Filter claims work that must not run twice before it is sent.
type Filter struct {
	group   Group
	regions Regions
	// later runs what need not hold up an answer.
	later func(func())
}

// Option sets up a filter.
type Option func(*Filter)

// WithLater sets how work is run that need not hold up an answer; by default
// each piece gets a goroutine.
func WithLater(run func(func())) Option {
	return func(f *Filter) { f.later = run }
}

// NewFilter returns the filter.
func NewFilter(group Group, regions Regions, options ...Option) *Filter {
	f := &Filter{group: group, regions: regions, later: func(work func()) { go work() }}
	for _, option := range options {
		option(f)
	}
	return f
}

// Handle implements exchanger.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	if !x.Route.Once {
		return next(ctx, x)
	}
	if method := x.Request.Method; method == http.MethodGet || method == http.MethodHead {
		return exchanger.Refuse(http.StatusMethodNotAllowed, exchanger.CodeMethod, "work that must not run twice is asked for by POST")
	}
	x.Attempt = x.ID
	key := x.Request.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return next(ctx, x)
	}
	if len(key) > maxKeySize {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, "Idempotency-Key: longer than 255 bytes")
	}
	return f.claim(ctx, x, Key{Workspace: x.Workspace.Name, Route: x.Route.Name, Key: key}, next)
}

func (f *Filter) claim(ctx context.Context, x *exchanger.Exchange, key Key, next exchanger.Handler) *exchanger.Refusal {
	region := f.regions.ClaimRegion(x)
	outcome, err := f.ask(ctx, region, x, key)
	if err != nil {
		klog.V(2).InfoS("claim failed", "id", x.ID, "region", region, "err", err)
		f.later(func() { f.release(region, x.ID, key) })
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoClaims,
			"the claim could not be recorded, so nothing was sent").After(inProgressRetry)
	}
	switch outcome.Phase {
	case PhaseNew:
		return f.run(ctx, region, x, key, next)
	case PhaseDone:
		return replay(x, outcome.Answer)
	case PhaseRunning:
		return exchanger.Refuse(http.StatusConflict, exchanger.CodeInProgress,
			"an earlier request with this Idempotency-Key is under way").WithOutcome(exchanger.OutcomeUnknown).After(inProgressRetry)
	case PhaseMismatch:
		return exchanger.Refuse(http.StatusUnprocessableEntity, exchanger.CodeMismatch,
			"this Idempotency-Key was used with another request")
	case PhaseFull:
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoClaims,
			"no room for another claim").After(time.Minute)
	}
	return unknownOutcome()
}

func unknownOutcome() *exchanger.Refusal {
	return exchanger.Refuse(http.StatusConflict, exchanger.CodeUnknownOutcome,
		"an earlier request with this Idempotency-Key was lost: it may have run").WithOutcome(exchanger.OutcomeUnknown)
}

func (f *Filter) ask(ctx context.Context, region string, x *exchanger.Exchange, key Key) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := Claim{
		Key: key, Attempt: x.ID, Body: hashOf(x), At: time.Now(), Until: x.Deadline.Add(grace),
	}
	return f.group.Do(ctx, region, Command{Claim: &claim})
}

// hashOf tells requests apart that use the same idempotency key.
func hashOf(x *exchanger.Exchange) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(x.Request.Method + " " + x.Request.URL.RequestURI() + "\n")
	_, _ = digest.Write(x.Body)
	return digest.Sum64()
}

// run sends the work once, records its outcome, and only then answers, so
// that a caller who asks again sees what it saw before.
func (f *Filter) run(ctx context.Context, region string, x *exchanger.Exchange, key Key, next exchanger.Handler) *exchanger.Refusal {
	// The work goes on when the caller leaves: its outcome is wanted later.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.Deadline)
	defer cancel()
	caller := x.Writer
	recorder := &recorder{header: http.Header{}, status: http.StatusOK}
	x.Writer = recorder
	refusal := next(ctx, x)
	x.Writer = caller
	if refusal != nil && refusal.Known() == exchanger.OutcomeNotRun {
		f.release(region, x.ID, key)
		return refusal
	}
	finish := Finish{Key: key, Attempt: x.ID}
	if refusal == nil {
		finish.Answer = recorder.answer()
	}
	f.record(region, Command{Finish: &finish})
	if refusal == nil {
		recorder.copyTo(caller)
	}
	return refusal
}

func (f *Filter) release(region, attempt string, key Key) {
	f.record(region, Command{Release: &Release{Key: key, Attempt: attempt}})
}

// record keeps trying for a while, also when the caller has gone. An outcome
// that cannot be recorded counts as unknown; the work never runs again.
func (f *Filter) record(region string, command Command) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if _, err := f.group.Do(ctx, region, command); err != nil {
		klog.ErrorS(err, "outcome of a claim not recorded", "region", region)
	}
}

// replay answers with the first outcome.
func replay(x *exchanger.Exchange, answer *Answer) *exchanger.Refusal {
	if answer.Truncated {
		return exchanger.Refuse(http.StatusConflict, exchanger.CodeUnknownOutcome,
			"the work ran once, but its answer was too large to keep").WithOutcome(exchanger.OutcomePartial)
	}
	if answer.ContentType != "" {
		x.Writer.Header().Set("Content-Type", answer.ContentType)
	}
	x.Writer.Header().Set("Idempotency-Replayed", "true")
	x.Result.Status = answer.Status
	x.Writer.WriteHeader(answer.Status)
	_, _ = x.Writer.Write(answer.Body)
	return nil
}

// recorder holds an answer back until its outcome is recorded.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(data []byte) (int, error) { return r.body.Write(data) }

func (r *recorder) answer() *Answer {
	answer := &Answer{Status: r.status, ContentType: r.header.Get("Content-Type"), Body: r.body.Bytes()}
	if len(answer.Body) > MaxAnswer {
		answer.Body = nil
		answer.Truncated = true
	}
	return answer
}

func (r *recorder) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}
