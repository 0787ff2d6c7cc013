package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/boragehead/boragehead/internal/placer"
)

// mostTries bounds the places that one call is offered to, those that declined
// included.
const mostTries = 4

// verdict is what became of one attempt.
type verdict uint8

const (
	// answered: the caller has an answer.
	answered verdict = iota
	// declined: the request did not run there.
	declined
	// lost: the request may have run, and nothing has reached the caller.
	lost
	// failed: the server answered with a failure after it ran the request.
	failed
	// broken: a part of a stream has reached the caller.
	broken
)

// attempt makes attempts until the caller has an answer or none may follow.
func (f *Forwarder) attempt(ctx context.Context, w http.ResponseWriter, call *Call) *Refusal {
	if !call.Relayed { // it was counted where the caller asked
		f.retries.earn(time.Now(), call.Service.Name, f.fleet.Instances())
	}
	out := &output{writer: w, call: call, forwarder: f, lastEvent: call.LastEvent}
	request := f.placement(call)
	for try := 0; ; try++ {
		if try > 0 && !f.mayRepeat(out, try) {
			return f.giveUp(ctx, out)
		}
		request.ID = f.nextID.Add(1)
		request.Started = out.started
		var decision placer.Decision
		f.settle(ctx, func() bool {
			decision = f.fleet.Place(request)
			return decision.Refused != placer.ReasonNoServer
		})
		if decision.Refused != "" {
			return f.unplaced(ctx, out, decision)
		}
		if try == 0 && !call.Relayed && !f.ends(decision) {
			f.fleet.Done(request.ID, placer.Dropped)
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: "stopping", RetryAfter: stoppingRetry}
		}
		call.trail.note = ""
		result := f.offer(ctx, out, request.ID, decision)
		if result == answered {
			return nil
		}
		if ctx.Err() != nil || result != declined && !call.Route.Repeatable() {
			return f.giveUp(ctx, out)
		}
		if decision.Server != nil {
			request.Tried = append(request.Tried, decision.Server.Name)
		} else {
			request.TriedRegions = append(request.TriedRegions, decision.Region)
		}
	}
}

// offer makes one attempt at the place that was decided on.
func (f *Forwarder) offer(ctx context.Context, out *output, id uint64, decision placer.Decision) verdict {
	trail := &out.call.trail
	trail.attempts++
	trail.wait, trail.cached, trail.usable = decision.Wait, decision.Cached, decision.Servers
	if decision.Region != "" {
		trail.region, trail.server = decision.Region, ""
		return f.relay(ctx, out, decision.Region)
	}
	trail.server = decision.Server.Name
	out.offered = true
	return f.send(ctx, out, id, decision)
}

func (f *Forwarder) placement(call *Call) placer.Request {
	objective := call.Deadline
	if call.Route.Objective > 0 {
		objective = call.Arrived.Add(call.Route.Objective)
	}
	return placer.Request{
		Service: call.Service, Work: call.Work, Objective: objective, Deadline: call.Deadline,
		Homes: call.Homes, Bound: call.Bound, Local: call.Relayed, Urgency: call.Route.Priority,
	}
}

// mayRepeat reports whether one more attempt is allowed: by the route, if the
// request has run, and by the budget of the service.
func (f *Forwarder) mayRepeat(out *output, try int) bool {
	call := out.call
	if try >= mostTries || out.ran >= max(call.Route.Attempts, 1) {
		return false
	}
	if !out.offered {
		return true // other regions had no room for it
	}
	if !f.retries.spend(time.Now(), call.Service.Name, f.fleet.Instances()) {
		f.counters.Count("retries-without-budget")
		return false
	}
	f.counters.Count("retries")
	return true
}

// unplaced ends a call for which no place was found.
func (f *Forwarder) unplaced(ctx context.Context, out *output, decision placer.Decision) *Refusal {
	out.call.trail.usable = decision.Servers
	out.call.trail.wait = decision.Wait
	if out.ran > 0 || out.started {
		return f.giveUp(ctx, out)
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: string(decision.Refused), RetryAfter: decision.RetryAfter}
}

// declinedRetry is when to come back after all servers that were asked declined.
const declinedRetry = 200 * time.Millisecond

// giveUp ends a call that gets no more attempts.
func (f *Forwarder) giveUp(ctx context.Context, out *output) *Refusal {
	ran := out.ran
	switch {
	case out.started:
		// The status and a part of the body are out: only breaking the
		// connection tells the caller that the rest is missing.
		out.abort()
		return nil
	case out.kept != nil:
		return out.passKept()
	case errors.Is(ctx.Err(), context.Canceled):
		return &Refusal{Status: statusCallerGone, Reason: "caller-gone", Ran: ran > 0, Servers: ran}
	case ctx.Err() != nil && ran > 0:
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline", Ran: true, Servers: ran}
	case ran > 0:
		return &Refusal{Status: http.StatusBadGateway, Reason: "no-answer", Ran: true, Servers: ran}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "declined", RetryAfter: declinedRetry}
}

// statusCallerGone stands in the log for a caller that left; nobody reads it.
const statusCallerGone = 499
