package forwarder

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/responder"
)

// finish reports the call to the metrics and the log and writes the refusal, if there
// is one, to the caller.
func (f *Forwarder) finish(w http.ResponseWriter, call *Call, refusal *Refusal) {
	if refusal != nil {
		call.record.status = refusal.Status
		call.open.enter(phaseRefused)
	}
	f.reportCall(call, refusal)
	switch {
	case refusal == nil:
	case call.Body != nil:
		f.dialect.WriteRefusal(w, call.ID, *refusal)
	default:
		responder.Answer(w, call.Request, func(w http.ResponseWriter) { f.dialect.WriteRefusal(w, call.ID, *refusal) })
	}
}

// reportCall updates the metrics for a finished call and writes its log line: the
// inputs to its placement, the version of the definition used, and the outcome.
// The line contains no key and no body.
func (f *Forwarder) reportCall(call *Call, refusal *Refusal) {
	took := time.Since(call.Arrived)
	route, workspace := "", workspaceName(call)
	if call.Route != nil {
		route = call.Route.Name
	}
	outcome, reason, limiter := "answered", "", &f.answeredLogLimiter
	switch {
	case refusal != nil && refusal.MayHaveRun:
		outcome, reason, limiter = "failed", refusal.Reason, &f.unansweredLogLimiter
	case refusal != nil:
		outcome, reason, limiter = "refused", refusal.Reason, &f.unansweredLogLimiter
	case call.record.status == statusStreamBroken:
		outcome, limiter = "broken-off", &f.unansweredLogLimiter
	}
	f.metrics.Count("requests-" + outcome)
	if reason != "" && refusal.Status != 400 {
		f.metrics.Count("refusals-" + reason)
	}
	f.metrics.Observe("request", took)
	if call.record.timeToFirstByte > 0 {
		f.metrics.Observe("first-byte", call.record.timeToFirstByte)
	}
	f.logCall(limiter, call, refusal, outcome, reason, route, workspace, took)
}

// lateAnswerGrace is how long after its deadline a call may end without a log line of
// its own.
const lateAnswerGrace = 250 * time.Millisecond

// watchDeadline logs and counts the call if it has no final answer lateAnswerGrace after
// its deadline. The watch ends when the function is called that it returns.
func (f *Forwarder) watchDeadline(call *Call) (end func() bool) {
	id, route, arrived := call.ID, call.Route.Name, call.Arrived
	return time.AfterFunc(time.Until(call.Deadline)+lateAnswerGrace, func() {
		f.metrics.Count("requests-past-deadline")
		if leftOut, ok := f.unansweredLogLimiter.Allow(time.Now()); ok {
			klog.InfoS("no final answer at the deadline", "id", id, "route", route, "age", time.Since(arrived), "left-out", leftOut)
		}
	}).Stop
}

// maxNoteBytes bounds a note in the log. Errors of net/http quote what a server sent.
const maxNoteBytes = 256

// logCall writes a call's log line unless the rate of its kind is exceeded.
func (f *Forwarder) logCall(limiter *logger.RateLimiter, call *Call, refusal *Refusal, outcome, reason, route, workspace string, took time.Duration) {
	leftOut, ok := limiter.Allow(time.Now())
	if !ok {
		return
	}
	record := call.record
	var retryAfter, left time.Duration
	if refusal != nil {
		retryAfter = refusal.RetryAfter
	}
	if !call.Deadline.IsZero() {
		left = time.Until(call.Deadline)
	}
	klog.InfoS("request", "id", call.ID, "resumes", call.Resumes, "after", call.LastEventID, "origin", record.originSource, "versions-age", record.versionsAge, "outcome", outcome, "status", record.status, "reason", reason, "note", record.note[:min(len(record.note), maxNoteBytes)],
		"route", route, "workspace", workspace, "version", record.definitionVersion, "behind", record.behind, "unconfirmed", record.unconfirmed,
		"bound", call.HomeRegionsOnly, "homes", call.HomeRegions, "relayed", call.Relayed, "server", record.server, "server-version", record.serverVersion,
		"region", record.relayRegion, "usable", record.usableServers, "attempts", record.attempts,
		"waited", record.waited, "predicted", record.predictedWait, "predicted-end", record.predictedDuration, "token-time", record.predictedTokenTime, "slowdown", record.slowdown, "cached", record.cachedTokens,
		"prompt", call.Work.Prompt, "expected", call.Work.Expected, "limit", call.Work.Output, "first", record.timeToFirstByte, "took", took, "left", left,
		"framing", record.received.framing, "bytes", record.received.bytes, "events", record.received.events,
		"ended", record.connectionEnd, "level", record.level, "request-hash", quarantiner.HashName(call.fingerprint), "shared-parts", call.traits().PartNames(), "duplicates", record.received.duplicates, "unfinished", record.received.unfinishedBytes,
		"retry-after", retryAfter, "left-out", leftOut)
}

// workspaceName returns the name of a call's workspace, or "" if it has none.
func workspaceName(call *Call) string {
	if call.Workspace == nil {
		return ""
	}
	return call.Workspace.Name
}
