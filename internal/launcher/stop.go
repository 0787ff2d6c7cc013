package launcher

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/forwarder"
)

// Durations of a graceful shutdown. Those of its phases count from its start.
const (
	// defaultStopLimit limits the whole shutdown.
	defaultStopLimit = 8 * time.Second
	// stopRejectAfter is when the instance begins to reject requests whose deadline is
	// after the end of the stop. What is sent 3 s after the signal must not be cut, and the
	// instance may notice the signal late.
	stopRejectAfter = 2750 * time.Millisecond
	// stopLinger is how long the instance accepts connections. It is longer than most
	// callers cache a directory that still lists the instance. After it, most requests are
	// refused anyway, and none must arrive in the last moments.
	stopLinger = 4500 * time.Millisecond
	// stopReserve is the time before the limit that is kept for closing
	// connections, also on a machine that is short of processor time.
	stopReserve      = 800 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// minStopShare is the part of the limit before whose end no request may be cut,
	// however late the instance noticed the signal.
	minStopShare = 0.84
	// stopIdleTime is how long a connection must have been idle before it is
	// closed.
	stopIdleTime = time.Second
)

// maxEndedLines bounds the log lines about requests that a stop ends.
const maxEndedLines = 100

// stop shuts the instance down gracefully: it leaves the directory, goes on
// serving while callers still use it, rejects new requests that could not end
// in time, and closes its ports when the last request has ended or the stop limit is
// reached. The signal may have been sent as early as asked.
func (e *Entry) stop(ctx context.Context, asked time.Time) {
	began := time.Now()
	limit := cmp.Or(e.settings.StopLimit, defaultStopLimit)
	end := stopEnd(asked, began, limit)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	klog.InfoS("stopping", "active", e.forwarder.ActiveRequests(), "late-at-most", began.Sub(asked))
	e.follower.Stop()
	e.forwarder.CloseConnections()
	conductor.Sleep(ctx, time.Until(asked.Add(rejectAfter(limit-stopReserve))))
	e.forwarder.RefuseEndingAfter(end)
	e.awaitLast(ctx, began)
	e.closePorts(ctx, asked)
}

// stopEnd returns when a stop ends at the latest that was asked for at some time between
// asked and began: before its limit if that can be, but not before minStopShare of it.
func stopEnd(asked, began time.Time, limit time.Duration) time.Time {
	early := asked.Add(limit - stopReserve)
	if earliest := began.Add(min(limit-stopReserve, time.Duration(minStopShare*float64(limit)))); early.Before(earliest) {
		return earliest
	}
	return early
}

// rejectAfter returns when a stop that lasts for limit at most begins to reject requests.
func rejectAfter(limit time.Duration) time.Duration {
	return min(stopRejectAfter, limit/2)
}

// awaitLast accepts connections until stopLinger after a stop began, and then waits until the
// last request has ended.
func (e *Entry) awaitLast(ctx context.Context, began time.Time) {
	conductor.Sleep(ctx, time.Until(began.Add(stopLinger)))
	var draining sync.WaitGroup
	for _, port := range []*conductor.DrainableServer{e.callerPort, e.relayPort} {
		draining.Go(func() { port.Listener.Drain(ctx) })
	}
	draining.Wait()
	for ctx.Err() == nil && (e.forwarder.ActiveRequests() > 0 || !e.callerPort.AllIdle(began, stopIdleTime)) {
		conductor.Sleep(ctx, stopPollInterval)
	}
}

// closePorts closes the ports of callers and relays, and reports the requests that are
// still open when the context ends.
func (e *Entry) closePorts(ctx context.Context, asked time.Time) {
	requestsCtx, endRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer endRequests()
	stopWaiting := context.AfterFunc(ctx, func() {
		e.reportEnded(asked) // before they end
		endRequests()
	})
	cut := closeAll(requestsCtx, e.callerPort, e.relayPort)
	for ctx.Err() == nil && e.forwarder.RefusedRequests() > 0 {
		conductor.Sleep(ctx, stopPollInterval) // the end of the process would reset their connections
	}
	reason := stopReason(ctx)
	stopWaiting()
	klog.InfoS("stopped", "reason", reason, "active", e.forwarder.ActiveRequests(), "cut", cut, "took", time.Since(asked))
}

// stopReason returns why a stop ended: all requests were served, its limit was reached,
// or it was interrupted.
func stopReason(ctx context.Context) string {
	switch {
	case ctx.Err() == nil:
		return "all-served"
	case errors.Is(context.Cause(ctx), conductor.ErrInterrupted):
		return "interrupted"
	}
	return "limit"
}

// reportEnded logs and counts the requests that are open when a stop reaches its end.
func (e *Entry) reportEnded(asked time.Time) {
	now := time.Now()
	open := e.forwarder.OpenRequests()
	slices.SortFunc(open, func(a, b forwarder.OpenRequest) int { return a.Arrived.Compare(b.Arrived) })
	countByPhase := map[string]int{}
	for i, request := range open {
		countByPhase[request.Phase]++
		e.counters.Count("requests-ended-by-stop-" + request.Phase)
		if i < maxEndedLines {
			klog.InfoS("request ended by the stop", "id", request.ID, "phase", request.Phase, "age", now.Sub(request.Arrived),
				"stopping-for", now.Sub(asked))
		}
	}
	klog.InfoS("requests ended by the stop", "count", len(open), "phases", countByPhase, "not-listed", max(len(open)-maxEndedLines, 0))
}

// closeAll closes ports side by side. It reports whether connections were cut on which
// a request was open.
func closeAll(ctx context.Context, ports ...*conductor.DrainableServer) (cut bool) {
	errs := make([]error, len(ports))
	var closing sync.WaitGroup
	for i, port := range ports {
		closing.Go(func() { errs[i] = port.Close(ctx, 0) })
	}
	closing.Wait()
	for _, err := range errs {
		if err != nil {
			klog.ErrorS(err, "requests cut at the stop limit")
			cut = true
		}
	}
	return cut
}
