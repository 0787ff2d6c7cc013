package forwarder

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
)

// A caller gives up after a refusal like 404 or 401, so that such a refusal must not
// be decided by a definition that may have been replaced. An instance that may lack the
// newest one waits for it for a moment, and then answers that it cannot tell.
const (
	// maxUnconfirmed is how old the proof may be that there is no newer definition, for
	// a refusal to be final. A control instance of the region renews it about once a
	// second.
	maxUnconfirmed = 1500 * time.Millisecond
	// newestWait bounds the wait for the newest definition. It usually arrives within
	// a fraction of that.
	newestWait = 500 * time.Millisecond
	// newestRetryPause is how long after a wait in vain calls are refused at once.
	newestRetryPause = time.Second
	// newestPollInterval is how often a wait looks for the newest definition.
	newestPollInterval = 10 * time.Millisecond
	// reasonDefinitionUnconfirmed is why calls are refused that the definition in force
	// does not allow, while a newer one may.
	reasonDefinitionUnconfirmed = "definition-unconfirmed"
)

// newestWaits remembers waits for the newest definition that were in vain. The zero
// value remembers none. It is safe for concurrent use.
type newestWaits struct {
	failedAt atomic.Int64 // nanoseconds of Unix time
}

func (w *newestWaits) recordFailure(now time.Time) { w.failedAt.Store(now.UnixNano()) }

func (w *newestWaits) failedLately(now time.Time) bool {
	return now.Sub(time.Unix(0, w.failedAt.Load())).Abs() < newestRetryPause
}

// hasNewest reports whether this instance knows that the definition in force is the
// newest one, or was a moment ago.
func (f *Forwarder) hasNewest() bool {
	return f.fleet.DefinitionBehind() == 0 && f.fleet.DefinitionUnconfirmed() <= maxUnconfirmed
}

// awaitNewest waits until this instance has the newest definition and knows it. It
// returns false if that takes too long.
func (f *Forwarder) awaitNewest(call *Call) bool {
	if f.hasNewest() {
		return true
	}
	started := time.Now()
	if f.newestWaits.failedLately(started) {
		return false
	}
	ctx := call.Request.Context()
	ticker := time.NewTicker(newestPollInterval)
	defer ticker.Stop()
	for time.Since(started) < newestWait && ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if f.hasNewest() {
			return true
		}
	}
	f.newestWaits.recordFailure(time.Now())
	return false
}

// unknownRefusal refuses a call that a definition may allow that this instance does
// not have.
func (f *Forwarder) unknownRefusal() *Refusal {
	reason := reasonDefinitionUnconfirmed
	if f.fleet.DefinitionBehind() > 0 {
		reason = reasonDefinitionBehind
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: behindRetryAfter}
}

// resolve sets a call's routing decisions. Unless the call is refused, it returns the
// definition by which they were made.
func (f *Forwarder) resolve(call *Call) (*definer.View, *Refusal) {
	for {
		view := f.fleet.View()
		call.record.behind, call.record.unconfirmed = f.fleet.DefinitionBehind(), f.fleet.DefinitionUnconfirmed()
		refusal := resolveCall(view, call)
		if refusal == nil {
			refusal = checkLength(call, view.Limits.MaxBody)
		}
		switch {
		case refusal == nil || !refusal.isFinal():
			return view, refusal
		case !f.awaitNewest(call):
			return nil, f.unknownRefusal()
		case f.fleet.View() == view:
			return nil, refusal
		}
	}
}

// isFinal reports whether callers do not try again after the refusal.
func (r *Refusal) isFinal() bool {
	switch r.Status {
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}
