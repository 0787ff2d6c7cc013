package claimer

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/reserver"
)

// HeaderIdempotencyKey is the header that carries the caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxKeyBytes bounds an idempotency key, in bytes.
const maxKeyBytes = 255

// Limits of the responses that are held back until their outcome is recorded.
const (
	// maxHeldBytes bounds the body of one response, in bytes.
	maxHeldBytes = 64 << 20
	// maxTotalHeldBytes bounds the memory for all of them together.
	maxTotalHeldBytes = 256 << 20
)

// errResponseTooLarge means that a response can't be held back, because it exceeds
// maxHeldBytes or the memory for all responses is exhausted.
var errResponseTooLarge = errors.New("the response is too large to be held back")

// Timing of claims.
const (
	// claimTimeout bounds the wait for a claim before the request is sent.
	claimTimeout = 3 * time.Second
	// recordTimeout bounds the attempts to record an outcome.
	recordTimeout = 10 * time.Second
	// recordGrace is the time after the deadline of an attempt for recording its
	// outcome. After that the outcome counts as unknown.
	recordGrace = 15 * time.Second
	// inProgressRetryAfter is sent as Retry-After if the work is in progress or
	// the claim was not recorded.
	inProgressRetryAfter = time.Second
)

// Group reaches the claim group of a region.
type Group interface {
	// Do executes a command, with retries until the context ends. After an error
	// the command may have been executed or not.
	Do(ctx context.Context, region string, command Command) (Outcome, error)
}

// Regions tells which region holds the claims of a route for a workspace.
type Regions interface {
	// ClaimRegion returns the name of the region, by the newest configuration, or
	// a refusal if the request may not be sent from here. All instances must choose
	// the same region for the same route and workspace.
	ClaimRegion(x *exchanger.Exchange) (string, *exchanger.Refusal)
}

// Filter is an exchanger.Filter that claims work that must not run twice before it
// is sent. It is safe for concurrent use.
type Filter struct {
	group   Group
	regions Regions
	// runInBackground runs a function that the response need not wait for.
	runInBackground func(func())
	// responseMemory is for responses that are held back.
	responseMemory reserver.Budget
}

// Option configures a Filter.
type Option func(*Filter)

// WithBackgroundRunner sets how functions are run that the response need not wait
// for. By default each runs in a goroutine of its own.
func WithBackgroundRunner(run func(func())) Option {
	return func(f *Filter) { f.runInBackground = run }
}

// NewFilter returns a filter that claims work in the given groups.
func NewFilter(group Group, regions Regions, options ...Option) *Filter {
	f := &Filter{
		group: group, regions: regions, runInBackground: func(work func()) { go work() },
		responseMemory: reserver.Budget{Bytes: maxTotalHeldBytes},
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Handle implements exchanger.Filter. Requests on routes whose work may run twice
// and requests without an idempotency key pass without a claim.
func (f *Filter) Handle(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	if !x.Route.Once {
		return next(ctx, x)
	}
	if method := x.Request.Method; method == http.MethodGet || method == http.MethodHead {
		return exchanger.Refuse(http.StatusMethodNotAllowed, exchanger.CodeMethodNotAllowed, "work that must not run twice is asked for by POST")
	}
	x.ClaimID = x.ID
	key := x.Request.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return next(ctx, x)
	}
	if len(key) > maxKeyBytes {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, "Idempotency-Key: longer than 255 bytes")
	}
	return f.claimAndRun(ctx, x, Key{Workspace: x.Workspace.Name, Route: x.Route.Name, Key: key}, next)
}

// claimAndRun claims the work. If the claim is new it runs the work, and otherwise
// it responds with the outcome of the earlier claim.
func (f *Filter) claimAndRun(ctx context.Context, x *exchanger.Exchange, key Key, next exchanger.Handler) *exchanger.Refusal {
	region, refusal := f.regions.ClaimRegion(x)
	if refusal != nil {
		return refusal
	}
	x.ClaimRegion = region
	outcome, err := f.proposeClaim(ctx, region, x, key)
	if err != nil {
		klog.V(2).InfoS("claim failed", "id", x.ID, "region", region, "err", err)
		// The claim may have been recorded although the call failed.
		f.runInBackground(func() { f.releaseClaim(region, x.ID, key) })
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeClaimsUnavailable,
			"the claim could not be recorded, so nothing was sent").WithRetryAfter(inProgressRetryAfter)
	}
	switch outcome.Phase {
	case PhaseNew:
		return f.runOnce(ctx, region, x, key, next)
	case PhaseDone:
		return replay(x, outcome.Response)
	case PhaseRunning:
		return exchanger.Refuse(http.StatusConflict, exchanger.CodeInProgress,
			"an earlier request with this Idempotency-Key is under way").WithOutcome(exchanger.OutcomeUnknown).WithRetryAfter(inProgressRetryAfter)
	case PhaseMismatch:
		return exchanger.Refuse(http.StatusUnprocessableEntity, exchanger.CodeIdempotencyMismatch,
			"this Idempotency-Key was used with another request")
	case PhaseFull:
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeClaimsUnavailable,
			"no room for another claim").WithRetryAfter(time.Minute)
	}
	return refuseUnknownOutcome()
}

// refuseUnknownOutcome refuses a request because the outcome of the earlier one
// with the same key is unknown.
func refuseUnknownOutcome() *exchanger.Refusal {
	return exchanger.Refuse(http.StatusConflict, exchanger.CodeOutcomeUnknown,
		"an earlier request with this Idempotency-Key was lost: it may have run").WithOutcome(exchanger.OutcomeUnknown)
}

// proposeClaim proposes a claim for the request to the claim group of the region.
func (f *Filter) proposeClaim(ctx context.Context, region string, x *exchanger.Exchange, key Key) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := Claim{
		Key: key, Attempt: x.ID, RequestHash: requestHash(x), ProposedAt: time.Now(), UnknownAfter: x.Deadline.Add(recordGrace),
		Revision: x.Revision,
	}
	return f.group.Do(ctx, region, Command{Claim: &claim})
}

// requestHash returns a hash of the method, URI and body, to tell apart requests
// that use the same idempotency key.
func requestHash(x *exchanger.Exchange) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(x.Request.Method + " " + x.Request.URL.RequestURI() + "\n")
	_, _ = digest.Write(x.Body)
	return digest.Sum64()
}

// runOnce sends the request, records its outcome, and only then responds, so that
// a caller that resends the request gets the same response again.
func (f *Filter) runOnce(ctx context.Context, region string, x *exchanger.Exchange, key Key, next exchanger.Handler) *exchanger.Refusal {
	// The request goes on when the caller disconnects, because a resent request
	// needs its outcome.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.Deadline)
	defer cancel()
	callerWriter := x.Writer
	buffered := &bufferedResponse{header: http.Header{}, status: http.StatusOK, memory: reserver.Reservation{Budget: &f.responseMemory}}
	defer buffered.memory.Shrink(0)
	x.Writer = buffered
	refusal := next(ctx, x)
	x.Writer = callerWriter
	if refusal != nil && refusal.OutcomeOrNotRun() == exchanger.OutcomeNotRun {
		f.releaseClaim(region, x.ID, key)
		return refusal
	}
	finish := Finish{Key: key, Attempt: x.ID}
	isComplete := refusal == nil && x.Result.StreamError == nil
	if isComplete {
		finish.Response = buffered.response()
	}
	f.recordOutcome(region, Command{Finish: &finish})
	switch {
	case refusal != nil:
		return refusal
	case buffered.dropped:
		klog.ErrorS(errResponseTooLarge, "response dropped", "id", x.ID, "bytes", buffered.size)
		return exchanger.Refuse(http.StatusBadGateway, exchanger.CodeServerFailed,
			"the work may have run, but its answer takes more memory than there is").WithOutcome(exchanger.OutcomeUnknown)
	}
	buffered.copyTo(callerWriter)
	return nil
}

func (f *Filter) releaseClaim(region, attempt string, key Key) {
	f.recordOutcome(region, Command{Release: &Release{Key: key, Attempt: attempt}})
}

// recordOutcome records a finish or release for up to recordTimeout, even if the
// caller has disconnected. If that fails, the outcome counts as unknown from
// Claim.UnknownAfter on, and the work never runs again under this claim.
func (f *Filter) recordOutcome(region string, command Command) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := f.group.Do(ctx, region, command); err != nil {
		klog.ErrorS(err, "claim outcome not recorded", "region", region)
	}
}

// replay sends the stored response of an earlier request.
func replay(x *exchanger.Exchange, response *Response) *exchanger.Refusal {
	if response.Truncated {
		return exchanger.Refuse(http.StatusConflict, exchanger.CodeOutcomeUnknown,
			"the work ran once, but its answer was too large to keep").WithOutcome(exchanger.OutcomePartial)
	}
	header := x.Writer.Header()
	if response.ContentType != "" {
		header.Set("Content-Type", response.ContentType)
	}
	maps.Copy(header, response.Header)
	header.Set("Idempotency-Replayed", "true")
	x.Result.Status = response.Status
	x.Writer.WriteHeader(response.Status)
	_, _ = x.Writer.Write(response.Body)
	return nil
}

// bufferedResponse is an http.ResponseWriter that holds a response back until its
// outcome is recorded. It does not support flushing, so that streamed responses
// are held back too.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
	// size is the number of bytes written, dropped ones included.
	size   int64
	memory reserver.Reservation
	// dropped means that the body was too large and is gone.
	dropped bool
}

// Header implements http.ResponseWriter.
func (r *bufferedResponse) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *bufferedResponse) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter. It returns errResponseTooLarge from the first
// write on that finds no memory.
func (r *bufferedResponse) Write(data []byte) (int, error) {
	r.size += int64(len(data))
	// The buffer takes up to twice its contents.
	if !r.dropped && r.size <= maxHeldBytes && r.memory.TryGrow(2*r.size-reserver.StepBytes) {
		return r.body.Write(data)
	}
	r.dropped = true
	r.body = bytes.Buffer{}
	r.memory.Shrink(0)
	return 0, errResponseTooLarge
}

// response returns the response as it is stored in the claim group.
func (r *bufferedResponse) response() *Response {
	if r.dropped || r.body.Len() > MaxResponseBytes || exchanger.HeaderSize(r.header) > MaxResponseBytes {
		return &Response{Status: r.status, Truncated: true}
	}
	return &Response{Status: r.status, ContentType: r.header.Get("Content-Type"), Header: r.header, Body: r.body.Bytes()}
}

func (r *bufferedResponse) copyTo(w http.ResponseWriter) {
	maps.Copy(w.Header(), r.header)
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}
