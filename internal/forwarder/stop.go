package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/boragehead/boragehead/internal/conductor"
)

// stoppingRetryAfter is the time after which a caller should try another
// instance because this one is stopping.
const stoppingRetryAfter = 50 * time.Millisecond

// reasonStopping is why calls are refused that this instance cannot end.
const reasonStopping = "stopping"

// RefuseEndingAfter makes the forwarder refuse new requests whose deadline is after
// end. Others end by then, however long their servers take.
func (f *Forwarder) RefuseEndingAfter(end time.Time) {
	f.stopDeadline.Store(&end)
}

// stoppingRefusal refuses a call that may not end before this instance stops.
func (f *Forwarder) stoppingRefusal(call *Call) *Refusal {
	end := f.stopDeadline.Load()
	if end == nil || !call.Deadline.After(*end) {
		return nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonStopping, RetryAfter: stoppingRetryAfter}
}

// isCutByStop reports whether a context has ended because this instance stops.
func isCutByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), conductor.ErrStopping)
}

// cutByStopRefusal ends a call that was open when the instance had to stop.
func cutByStopRefusal(runs int) *Refusal {
	if runs > 0 {
		return &Refusal{Status: http.StatusBadGateway, Reason: reasonStopping, MayHaveRun: true, PossibleRuns: runs}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonStopping, RetryAfter: stoppingRetryAfter}
}
