package forwarder

import (
	"net/http"
	"time"

	"github.com/boragehead/boragehead/internal/detector"
	"github.com/boragehead/boragehead/internal/quarantiner"
)

// Quarantine knows the requests and the parts of prompts that crash servers. Its methods
// must be safe for concurrent use.
type Quarantine interface {
	// Admit decides on a new request with some traits.
	Admit(traits quarantiner.Traits) quarantiner.Admission
	// Level returns the highest level of some traits.
	Level(traits quarantiner.Traits) quarantiner.Level
	detector.Quarantine
}

// traits returns what a call may be quarantined for. Its body must have been read.
func (call *Call) traits() quarantiner.Traits {
	return quarantiner.Traits{Request: call.fingerprint, Parts: sharedParts(call.Work)}
}

// UseQuarantine makes the forwarder check requests against a quarantine and report
// crashes to it. It must be called before the first request.
func (f *Forwarder) UseQuarantine(q Quarantine) {
	f.quarantine, f.crashes.Quarantine = q, q
}

// UseReach makes the forwarder ask whether this instance is cut off from all servers before
// it takes one to have crashed. It must be called before the first request.
func (f *Forwarder) UseReach(reach detector.Reach) {
	f.crashes.Reach = reach
}

// reasonQuarantined is the reason of refusals because of a quarantined request or part.
const reasonQuarantined = "quarantined"

// reasonHeldBack is the reason of refusals because of a suspected one, while servers
// crash under it so often that no other answer begins.
const reasonHeldBack = "held-back"

// quarantineRefusal checks a call before an attempt. It returns a refusal if the request,
// or a part of its prompt, is quarantined and no server can have run it.
func (f *Forwarder) quarantineRefusal(out *callerResponse, try int) *Refusal {
	call, quarantine := out.call, f.quarantine
	traits := call.traits()
	if quarantine == nil || call.probe || out.possibleRuns > 0 || out.streamStarted {
		return nil
	}
	if out.remoteQuarantine > 0 {
		call.record.level = quarantiner.LevelQuarantined
		return newQuarantineRefusal(out.remoteQuarantine)
	}
	if try > 0 && quarantine.Level(traits) != quarantiner.LevelQuarantined {
		return nil
	}
	admission := quarantine.Admit(traits)
	call.record.level = admission.Level
	switch {
	case admission.Probe:
		call.probe = true
		f.metrics.Count("quarantine-probes")
	case admission.Level == quarantiner.LevelQuarantined:
		return newQuarantineRefusal(admission.RetryAfter)
	case admission.HeldBack:
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonHeldBack, RetryAfter: admission.RetryAfter}
	}
	return nil
}

func newQuarantineRefusal(retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonQuarantined, RetryAfter: retryAfter}
}

// runsOnce reports whether at most one server may run a call because it, or one of its
// parts, may crash servers.
func (f *Forwarder) runsOnce(call *Call) bool {
	if call.probe {
		return true
	}
	if f.quarantine == nil {
		return false
	}
	level := f.quarantine.Level(call.traits())
	call.record.level = max(call.record.level, level)
	return level != quarantiner.LevelClear
}

// mayRunAgain reports whether another server may run a call as far as the quarantine is
// concerned.
func (f *Forwarder) mayRunAgain(out *callerResponse) bool {
	if out.possibleRuns == 0 && !out.streamStarted || !f.runsOnce(out.call) {
		return true
	}
	f.metrics.Count("retries-suspected")
	return false
}
