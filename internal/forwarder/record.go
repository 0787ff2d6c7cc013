package forwarder

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/logger"
)

// record counts a call and writes its log line: the inputs that decided it, the
// version that they came from, and the outcome. It holds no key and no body.
func (f *Forwarder) record(call *Call, refusal *Refusal) {
	took := time.Since(call.Arrived)
	route, workspace := "", ""
	if call.Route != nil {
		route = call.Route.Name
	}
	if call.Workspace != nil {
		workspace = call.Workspace.Name
	}
	outcome, reason, kind := "answered", "", &f.answered
	switch {
	case refusal != nil && refusal.Ran:
		outcome, reason, kind = "failed", refusal.Reason, &f.refused
	case refusal != nil:
		outcome, reason, kind = "refused", refusal.Reason, &f.refused
	case call.trail.status == statusBroken:
		outcome, kind = "broken-off", &f.refused
	}
	f.counters.Count("requests-" + outcome)
	if reason != "" && refusal.Status != 400 {
		f.counters.Count("refusals-" + reason)
	}
	f.counters.Observe("request", took)
	if call.trail.first > 0 {
		f.counters.Observe("first-byte", call.trail.first)
	}
	f.write(kind, call, refusal, outcome, reason, route, workspace, took)
}

func (f *Forwarder) write(kind *logger.Kind, call *Call, refusal *Refusal, outcome, reason, route, workspace string, took time.Duration) {
	leftOut, ok := kind.Allow(time.Now())
	if !ok {
		return
	}
	t := call.trail
	var retryAfter, left time.Duration
	if refusal != nil {
		retryAfter = refusal.RetryAfter
	}
	if !call.Deadline.IsZero() {
		left = time.Until(call.Deadline)
	}
	klog.InfoS("request", "id", call.ID, "outcome", outcome, "status", t.status, "reason", reason, "note", t.note,
		"route", route, "workspace", workspace, "version", t.version, "relayed", call.Relayed, "server", t.server,
		"region", t.region, "usable", t.usable, "attempts", t.attempts, "predicted", t.wait, "cached", t.cached,
		"prompt", call.Work.Prompt, "expected", call.Work.Expected, "first", t.first, "took", took, "left", left,
		"retry-after", retryAfter, "left-out", leftOut)
}
