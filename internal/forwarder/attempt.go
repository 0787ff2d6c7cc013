package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/reserver"
)

// maxAttempts bounds the attempts at one call, including those that were
// declined.
const maxAttempts = 4

// attemptResult is how one attempt at a call ended.
type attemptResult uint8

const (
	// resultAnswered means that the caller got the complete response.
	resultAnswered attemptResult = iota
	// resultDeclined means that the attempt did not run the request.
	resultDeclined
	// resultUnknown means that the request may have run and that nothing of the
	// response has reached the caller.
	resultUnknown
	// resultFailed means that the server returned an error after it ran the
	// request.
	resultFailed
	// resultPartial means that a part of a stream has reached the caller.
	resultPartial
)

// forward makes attempts until the caller has a response or no more attempts are
// allowed. It returns nil if the caller got a server's response.
func (f *Forwarder) forward(ctx context.Context, w http.ResponseWriter, call *Call) *Refusal {
	out := &callerResponse{writer: w, call: call, forwarder: f, lastEventID: call.LastEventID, memory: reserver.Reservation{Budget: &f.responseMemory}}
	defer out.memory.Shrink(0)
	call.fingerprint = fingerprint(call)
	if refusal := f.quarantineRefusal(out, 0); refusal != nil {
		return refusal
	}
	if refusal := f.findOrigin(ctx, out); refusal != nil {
		return refusal
	}
	if !call.Relayed { // the relaying instance has counted it
		f.retryBudgets.deposit(time.Now(), call.Service.Name, f.fleet.InstanceCount())
	}
	request := f.placementRequest(call)
	for try := 0; ; try++ {
		call.open.enter(phaseChoice)
		if try > 0 {
			if refusal := f.quarantineRefusal(out, try); refusal != nil {
				return refusal
			}
			if !f.mayGoOn(out) || !f.mayRunAgain(out) || !f.mayRetry(out, try) {
				return f.giveUp(ctx, out)
			}
		}
		request.ID = f.lastPlacementID.Add(1)
		request.Resuming, request.Work, request.UnreachedServers = out.streamStarted, out.remainingWork(), out.unreachedServers
		var decision placer.Decision
		f.waitWhileStarting(ctx, func() bool {
			decision = f.placeAtVersion(out, &request)
			return decision.RefusalReason != placer.ReasonNoServer
		})
		if decision.RefusalReason != "" && !decision.WaitUntil.IsZero() && try == 0 {
			decision = f.awaitPlacement(ctx, call, request, decision)
		}
		if decision.RefusalReason != "" {
			return f.giveUpUnplaced(ctx, out, decision)
		}
		call.record.note, call.record.received = "", receivedBody{}
		result := f.makeAttempt(ctx, out, request.ID, decision)
		if result == resultAnswered {
			return nil
		}
		if out.homesMoved {
			return f.giveUpUnplaced(ctx, out, placer.Decision{RefusalReason: reasonDefinitionBehind, RetryAfter: behindRetryAfter})
		}
		if ctx.Err() != nil || result != resultDeclined && !call.Route.Repeatable() || !out.canContinue() {
			return f.giveUp(ctx, out)
		}
		if decision.Server != nil {
			request.TriedServers = append(request.TriedServers, decision.Server.Name)
		} else {
			request.TriedRegions = append(request.TriedRegions, decision.Region)
		}
	}
}

// awaitPlacement lets a call wait for a placement that was refused it for now.
func (f *Forwarder) awaitPlacement(ctx context.Context, call *Call, request placer.Request, refusal placer.Decision) placer.Decision {
	call.open.enter(phaseWaiting)
	started := time.Now()
	decision := f.fleet.Await(ctx, request, workspaceName(call), refusal)
	call.record.waited = time.Since(started)
	f.metrics.Observe("waiting-room", call.record.waited)
	if decision.RefusalReason == "" {
		f.metrics.Count("waiting-room-placed")
	} else {
		f.metrics.Count("waiting-room-refused")
	}
	return decision
}

// makeAttempt makes one attempt, either at a server of this region or at an
// instance of another region.
func (f *Forwarder) makeAttempt(ctx context.Context, out *callerResponse, id uint64, decision placer.Decision) attemptResult {
	record := &out.call.record
	record.attempts++
	record.predictedWait, record.cachedTokens, record.usableServers = decision.PredictedWait, decision.CachedTokens, decision.UsableServers
	record.predictedDuration, record.predictedTokenTime, record.slowdown = decision.PredictedDuration, decision.PredictedTokenTime, decision.Slowdown
	if decision.Region != "" {
		out.call.open.enter(phaseRelay)
		record.relayRegion, record.server, record.serverVersion = decision.Region, "", ""
		return f.sendToRegion(ctx, out, id, decision)
	}
	out.call.open.enter(phaseServer)
	record.server, record.serverVersion = decision.Server.Name, decision.Server.Version
	if !out.stateRuns(out.possibleRuns + 1) {
		f.fleet.Finish(id, placer.OutcomeAbandoned)
		record.note = "caller disconnected"
		return resultPartial
	}
	out.attemptVersion = f.currentVersion(decision)
	result := f.sendToServer(ctx, out, id, decision)
	out.stateRuns(out.possibleRuns) // one less if the server declined
	return result
}

// objective returns when a call should be answered. It counts from when the request was
// whole: a caller who sends slowly is no sign of load.
func (call *Call) objective() time.Time {
	if call.Route.Objective <= 0 {
		return call.Deadline
	}
	whole := call.Arrived
	if call.bodyRead.After(whole) {
		whole = call.bodyRead
	}
	return whole.Add(call.Route.Objective)
}

func (f *Forwarder) placementRequest(call *Call) placer.Request {
	return placer.Request{
		Service: call.Service, Work: call.Work, Objective: call.objective(), Deadline: call.Deadline,
		LocalOnly: call.Relayed, RouteObjective: call.Route.Objective, Urgency: call.Route.Priority, TakesUp: call.takesUp(),
	}
}

// mayRetry reports whether another attempt is allowed. The route limits how many
// servers may run the request. If the request has been offered to a server, the
// attempt is also taken from the retry budget of the service.
func (f *Forwarder) mayRetry(out *callerResponse, try int) bool {
	call := out.call
	if try >= maxAttempts || out.possibleRuns >= max(call.Route.Attempts, 1) {
		return false
	}
	if !out.offeredToServer {
		return true // other regions declined it without offering it to a server
	}
	if !f.retryBudgets.tryWithdraw(time.Now(), call.Service.Name, f.fleet.InstanceCount()) {
		f.metrics.Count("retries-without-budget")
		return false
	}
	f.metrics.Count("retries")
	return true
}

// giveUpUnplaced ends a call for which the placer found neither a server nor
// another region.
func (f *Forwarder) giveUpUnplaced(ctx context.Context, out *callerResponse, decision placer.Decision) *Refusal {
	out.call.record.usableServers = decision.UsableServers
	out.call.record.predictedWait, out.call.record.predictedDuration, out.call.record.predictedTokenTime = decision.PredictedWait, decision.PredictedDuration, decision.PredictedTokenTime
	if out.possibleRuns > 0 || out.streamStarted {
		return f.giveUp(ctx, out)
	}
	retryAfter := decision.RetryAfter
	if decision.RefusalReason == placer.ReasonNoServer && out.remoteRetryAfter > 0 {
		retryAfter = out.remoteRetryAfter // only the other region has servers
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: string(decision.RefusalReason), RetryAfter: retryAfter}
}

// declinedRetryAfter is the time after which a caller should retry a request
// that was declined in all attempts.
const declinedRetryAfter = 200 * time.Millisecond

// giveUp ends a call that gets no more attempts. If a server returned an error
// that may be passed on, the caller gets that response and giveUp returns nil.
func (f *Forwarder) giveUp(ctx context.Context, out *callerResponse) *Refusal {
	runs := out.possibleRuns
	switch {
	case out.streamStarted:
		// The status and a part of the body have been sent: only closing the
		// connection tells the caller that the rest is missing.
		out.abortConnection()
		return nil
	case out.serverFailure != nil:
		return out.writeServerFailure()
	case isCutByStop(ctx):
		return cutByStopRefusal(runs)
	case errors.Is(ctx.Err(), context.Canceled):
		return &Refusal{Status: statusCallerGone, Reason: "caller-gone", MayHaveRun: runs > 0, PossibleRuns: runs}
	case ctx.Err() != nil && runs > 0:
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline", MayHaveRun: true, PossibleRuns: runs}
	case out.lacksMemory:
		return &Refusal{Status: http.StatusBadGateway, Reason: "response-memory", MayHaveRun: true, PossibleRuns: runs}
	case runs > 0:
		return &Refusal{Status: http.StatusBadGateway, Reason: "no-answer", MayHaveRun: true, PossibleRuns: runs}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "declined", RetryAfter: declinedRetryAfter}
}

// statusCallerGone is logged for a caller that disconnected; nobody receives it.
const statusCallerGone = 499
