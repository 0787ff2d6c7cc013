package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/versioner"
)

// Origins knows by which software version of a service each stream began: it may go on only
// at that version. Its methods must be safe for concurrent use.
type Origins interface {
	// RecordOrigin records the version by which the stream began that a request brought
	// the first event of, and how long callers may take it up.
	RecordOrigin(request, version string, left time.Duration)
	// Origin returns the version by which the stream of a request began and how that was
	// found, versioner.SourceUnknown if it was not.
	Origin(ctx context.Context, request, service string) (string, versioner.Source)
	// VersionsAge returns how old what is known here of the servers' versions is.
	VersionsAge() time.Duration
}

// UseOrigins makes streams go on only at the version that began them. It must be called
// before the first request.
func (f *Forwarder) UseOrigins(o Origins) {
	f.origins = o
}

const (
	// originGrace is how much longer than its caller's time the origin of a stream is
	// remembered.
	originGrace = 5 * time.Second
	// reasonVersionUnknown is why streams are not taken up of which it is not known here by
	// which version they began, or which versions the servers have now.
	reasonVersionUnknown = "version-unknown"
	// versionRetryAfter is when the caller may find it known.
	versionRetryAfter = 300 * time.Millisecond
	// maxVersionsAge is how old what is known of the servers may be for a stream to go on:
	// a server may start again with another version meanwhile.
	maxVersionsAge = 3 * time.Second
)

// takesUp reports whether a call goes on with a stream that another call began.
func (call *Call) takesUp() bool {
	return call.LastEventID != "" && call.Route.Resumable
}

// remainingWork returns the work of a call after the last event that its caller has.
func (r *callerResponse) remainingWork() placer.Work {
	engine := r.call.Service.Engine
	events, err := strconv.ParseInt(r.lastEventID, 10, 64)
	if engine == nil || err != nil {
		return r.call.Work // all of it; ids that are not numbers do not tell how much is there
	}
	return r.call.Work.Remaining(events * int64(engine.EventTokens))
}

// streamName returns the id of the call that began the stream of this one.
func (call *Call) streamName() string {
	if call.takesUp() && call.Resumes != "" {
		return call.Resumes
	}
	return call.ID
}

// findOrigin sets the version by which the stream began that a call takes up. It returns a
// refusal if that is not known.
func (f *Forwarder) findOrigin(ctx context.Context, out *callerResponse) *Refusal {
	call := out.call
	if f.origins == nil || !call.takesUp() {
		return nil
	}
	version, source := "", versioner.SourceUnknown
	switch {
	case call.streamVersion != "":
		version, source = call.streamVersion, versioner.SourceRelayed
	case !call.Relayed && call.Resumes != "":
		version, source = f.origins.Origin(ctx, call.Resumes, call.Service.Name)
	}
	age := f.origins.VersionsAge()
	out.version, call.record.originSource, call.record.versionsAge = version, source, age
	if version == "" || age > maxVersionsAge {
		f.metrics.Count("streams-not-taken-up")
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonVersionUnknown, RetryAfter: versionRetryAfter}
	}
	f.metrics.Count("streams-taken-up")
	return nil
}

// currentVersion returns the version of the server of a placement, or an empty string if
// the server may have started again with another one since it was heard.
func (f *Forwarder) currentVersion(decision placer.Decision) string {
	if f.origins != nil && f.origins.VersionsAge() > maxVersionsAge {
		return ""
	}
	return decision.Server.Version
}

// mayGoOn reports whether a stream that has begun here may go on at some server: the version
// that began it is known, and so are those of the servers.
func (f *Forwarder) mayGoOn(out *callerResponse) bool {
	if f.origins == nil || !out.streamStarted || out.version != "" && f.origins.VersionsAge() <= maxVersionsAge {
		return true
	}
	f.metrics.Count("streams-not-resumed")
	return false
}

// noteOrigin records the version by which a stream has begun.
func (r *callerResponse) noteOrigin() {
	f, call := r.forwarder, r.call
	if r.version == "" {
		r.version = r.attemptVersion
	}
	if f.origins == nil || call.Relayed || !call.Route.Resumable || r.version == "" {
		return
	}
	left := max(time.Until(call.Deadline), time.Until(call.Arrived.Add(call.Timeout)))
	f.origins.RecordOrigin(call.streamName(), r.version, left+originGrace)
}

// placeAtVersion asks for a placement. A stream does not go on at a server that has lately
// broken off connections: it may have started again under its name with another version,
// before that was heard of.
func (f *Forwarder) placeAtVersion(out *callerResponse, request *placer.Request) placer.Decision {
	request.Version = out.version
	for {
		decision := f.place(out.call, request)
		if out.version == "" || f.origins == nil || decision.Server == nil || !f.crashes.BrokeOff(*decision.Server) {
			return decision
		}
		f.fleet.Finish(request.ID, placer.OutcomeAbandoned)
		request.TriedServers = append(request.TriedServers, decision.Server.Name)
		request.ID = f.lastPlacementID.Add(1)
	}
}
