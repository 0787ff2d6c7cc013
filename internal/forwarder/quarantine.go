package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Quarantine knows the requests and the parts of prompts that crash servers. Its methods
// must be safe for concurrent use.
type Quarantine interface {
	// Admit decides on a new request with some traits.
	Admit(traits quarantiner.Traits) quarantiner.Admission
	// Level returns the highest level of some traits.
	Level(traits quarantiner.Traits) quarantiner.Level
	// RecordCrash records that a server has ended while a request with some traits
	// was there, which had not begun long before.
	RecordCrash(at time.Time, server registrar.Server, traits quarantiner.Traits)
	// RecordSoundBegin records that an answer on some traits has begun and that the
	// server still worked soundAfter later.
	RecordSoundBegin(began time.Time, server registrar.Server, traits quarantiner.Traits)
}

// traits returns what a call may be quarantined for. Its body must have been read.
func (call *Call) traits() quarantiner.Traits {
	return quarantiner.Traits{Request: call.fingerprint, Parts: sharedParts(call.Work)}
}

// UseQuarantine makes the forwarder check requests against a quarantine and report
// crashes to it. It must be called before the first request.
func (f *Forwarder) UseQuarantine(q Quarantine) {
	f.crashes.quarantine = q
}

// soundAfter is how long a server must go on after the first event of an answer
// to show that the answer did not crash it.
const soundAfter = time.Second

// reasonQuarantined is the reason of refusals because of a quarantined request or part.
const reasonQuarantined = "quarantined"

// reasonHeldBack is the reason of refusals because of a suspected one, while servers
// crash under it so often that no other answer begins.
const reasonHeldBack = "held-back"

// quarantineRefusal checks a call before an attempt. It returns a refusal if the request,
// or a part of its prompt, is quarantined and no server can have run it.
func (f *Forwarder) quarantineRefusal(out *callerResponse, try int) *Refusal {
	call, quarantine := out.call, f.crashes.quarantine
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
	if f.crashes.quarantine == nil {
		return false
	}
	level := f.crashes.quarantine.Level(call.traits())
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

// answerBegin observes how an answer begins at a server: whether the server goes on
// or ends.
type answerBegin struct {
	server registrar.Server
	traits quarantiner.Traits
	sentAt time.Time

	mu      sync.Mutex
	beganAt time.Time
	failed  bool
}

// observeBegin starts to observe an attempt. It returns nil without a quarantine.
func (f *Forwarder) observeBegin(out *callerResponse, server registrar.Server) *answerBegin {
	if f.crashes.quarantine == nil {
		return nil
	}
	b := &answerBegin{server: server, traits: out.call.traits(), sentAt: time.Now()}
	out.onBegin = func() { b.begin(&f.crashes) }
	f.crashes.add(b)
	return b
}

func (b *answerBegin) crashID() quarantiner.CrashID {
	return quarantiner.NewCrashID(b.server.Name, b.server.StartedAtMillis)
}

// begin records that the answer has begun. It counts as sound a while later, if
// nothing has failed until then and the server is not known to have broken off others.
func (b *answerBegin) begin(crashes *crashDetector) {
	b.mu.Lock()
	defer b.mu.Unlock()
	began := time.Now()
	b.beganAt = began
	time.AfterFunc(soundAfter, func() {
		b.mu.Lock()
		failed := b.failed
		b.mu.Unlock()
		if !failed && !crashes.brokeOff(b.crashID()) {
			crashes.quarantine.RecordSoundBegin(began, b.server, b.traits)
		}
	})
}

// finish records how the attempt ended. If the server closed the connection before
// the answer was sound, the server may have crashed because of it.
//
// An answer without a length that ends sooner may have been cut off by the crash.
func (b *answerBegin) finish(crashes *crashDetector, result attemptResult, record callRecord) {
	if b == nil {
		return
	}
	now := time.Now()
	b.mu.Lock()
	mayBeCut := record.received.framing == framingClose && now.Sub(b.beganAt) < soundAfter
	b.failed = result != resultAnswered || mayBeCut
	isSuspect := b.beganAt.IsZero() || now.Sub(b.beganAt) < soundAfter
	b.mu.Unlock()
	crashes.remove(b)
	if record.connectionEnd.isAbrupt() {
		crashes.report(now, b, isSuspect)
	}
}
