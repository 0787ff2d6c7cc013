// Package placer chooses where a request runs: on a backend server of this
// region or in another region. It refuses the request if neither can serve it in
// time.
//
// For every candidate server a [Placer] predicts the time to the first event of
// the answer. The prediction accounts for the prompts that the server has yet to
// prefill, the size of its running batch, and the part of this prompt that its
// prefix cache already holds. Candidates are compared by that time plus a cost,
// such as the delay for other requests; times that are short enough count as
// equal. A request whose best prediction exceeds its objective by too much is
// refused at once, with the time after which a retry can be expected to succeed.
//
// The package starts no goroutines, opens no sockets and reads no clock: callers
// pass the current time to every call.
package placer

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/estimator"
	"github.com/boragehead/boragehead/internal/overflower"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/throttler"
)

// Request describes a request to be placed.
type Request struct {
	// ID identifies the placement in later calls of RecordFirstEvent and Finish.
	// Every attempt needs an ID of its own.
	ID      uint64
	Service *definer.Service
	Work    Work
	// Objective is when the first event is due. Deadline is when the whole answer
	// is due.
	Objective time.Time
	Deadline  time.Time
	// RouteObjective is the objective that the route states, of which a part may have
	// passed.
	RouteObjective time.Duration
	// Urgency is the priority of the route; 0 is the most urgent.
	Urgency int
	// HomeRegions are the only regions that may serve the request if
	// HomeRegionsOnly is set. They are ignored otherwise.
	HomeRegions     []string
	HomeRegionsOnly bool
	// LocalOnly restricts the placement to this region. It is set for requests that
	// another region has relayed here.
	LocalOnly bool
	// TriedServers and TriedRegions name the servers and the regions that must
	// not be chosen again.
	TriedServers []string
	TriedRegions []string
	// UnreachedServers is how many servers the request could not be connected to.
	UnreachedServers int
	// Version, unless empty, is the only software version whose servers may serve the
	// request: it goes on with a stream that a server of that version began.
	Version string
	// Resuming means that part of a stream has reached the caller and the request
	// resumes it. Such a request is never refused because of load: it is placed as
	// long as any server or region can serve it.
	Resuming bool
	// TakesUp means that a part of a stream has reached the caller in an answer of another
	// instance, or in another region's part of this one. The request may wait for longer
	// than a new one, since its first event was in time, but not without a limit.
	TakesUp bool

	// statedOutput is the length of the output that the caller expects, before it was
	// corrected.
	statedOutput int64
}

// goesOn reports whether the request goes on with a stream.
func (r Request) goesOn() bool {
	return r.Resuming || r.TakesUp
}

// mayRunIn reports whether a region may serve the request.
func (r Request) mayRunIn(region string) bool {
	return !r.HomeRegionsOnly || slices.Contains(r.HomeRegions, region)
}

// allowsVersion reports whether servers of a software version may serve the request.
func (r Request) allowsVersion(version string) bool {
	return r.Version == "" || r.Version == version
}

// Reason is why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	// ReasonNoServer means that no usable server is known, neither in this region
	// nor in another one that may serve the request.
	ReasonNoServer Reason = "no-server"
	// ReasonOverloaded means that the request would miss its objective by too much,
	// or that all servers want no requests for some time.
	ReasonOverloaded Reason = "overloaded"
)

// Decision is the result of a placement. Exactly one of Server, Region and
// RefusalReason is set.
type Decision struct {
	// Server is the chosen server of this region. It points into the state of the
	// Placer: it must not be modified, and SetServers may overwrite it.
	Server *registrar.Server
	// Region is the other region to relay the request to, or this one if another instance
	// of it must take the request over.
	Region string
	// Instance, unless empty, is the only instance of this region to hand the request over
	// to.
	Instance      string
	RefusalReason Reason
	// PredictedWait is the predicted time to the first event. It is 0 if no
	// server could serve the request.
	PredictedWait time.Duration
	// RetryAfter is how long the caller of a refused request should wait before it
	// retries.
	RetryAfter time.Duration
	// WaitUntil, unless zero, is until when a refused request may wait for a placement
	// and still meet its objective.
	WaitUntil time.Time
	// PredictedDuration is the predicted time to the last event. It is set only
	// together with Server, or with ReasonOverloaded.
	PredictedDuration time.Duration
	// PredictedTokenTime is the part of PredictedDuration that each token of the output
	// takes. It is 0 for services without engines.
	PredictedTokenTime time.Duration
	// CachedTokens is how many tokens of the prompt are expected to be in the
	// server's cache, those copied from CopySource included.
	CachedTokens int64
	// CopySource, unless nil, is a server whose cache holds more of the prompt. The
	// chosen server can copy that part instead of computing it.
	CopySource *registrar.Server
	// PredictedFirstEvent is PredictedWait without what it contains for an end after the
	// deadline. Slowdown is the slowdown that the server has reported, in percent, or 0 if
	// it is not known. Both are set only together with Server.
	PredictedFirstEvent time.Duration
	Slowdown            int32
	// UsableServers is how many servers of this region were eligible. It is 0 if
	// the decision was made by the prediction for another region.
	UsableServers int
}

// Placer places the requests of one entry instance. The zero value is ready for
// use once InstanceName, Region, FailureDomain and RegionInstances are set. It is
// not safe for concurrent use.
type Placer struct {
	// InstanceName, Region and FailureDomain are the name and the location of this
	// instance.
	InstanceName  string
	Region        string
	FailureDomain string
	// RegionInstances is the number of instances of this region, this one
	// included. Servers take it over at the next call of SetServers.
	RegionInstances int
	// NeighboursKnownAt is until when this instance may not have heard the others of its
	// failure domain yet: it warms no server up before.
	NeighboursKnownAt time.Time

	serversByName  map[string]*server
	placementsByID map[uint64]*placement
	noticesByStart map[serverStart]notice
	limits         throttler.Throttler
	// limitSeenAt is when a server last told this instance of another limit.
	limitSeenAt time.Time
	peersByName map[string]peer
	// neighbours holds when the live instances of this failure domain were last heard.
	neighbours map[string]time.Time
	// remoteServices holds the services of other regions by region and service name.
	remoteServices map[string]map[string]remoteService
	closedDomains  map[string]bool
	// reopenedAt is when closed failure domains were reopened, by their name.
	reopenedAt map[string]time.Time
	kinds      map[kindKey]kind
	// refusals holds the overloads in which requests of a kind are refused.
	refusals map[kindKey]overload
	// overflow limits relays to other regions, of which relaysByID holds those without an
	// outcome.
	overflow   overflower.Overflower
	relaysByID map[uint64]relay
	// cacheFills are reported to other instances; the newest is last.
	cacheFills []timedCacheFill
	// speeds are the learned speeds of the services with engines, by service name.
	speeds map[string]*serviceSpeed
	// lengths are the learned lengths of outputs.
	lengths map[kindKey]*estimator.Length
	reach   reach
	// brittle holds the services whose servers are brittle.
	brittle map[string]brittleness
}

// placement is a request that was placed on a server and has not ended yet.
type placement struct {
	start          serverStart
	load           Load
	placedAt       time.Time
	predictedWait  time.Duration
	firstEventSeen bool
	// timeFactor is the factor in predictedWait, and slowdown the part of it that the
	// server has reported, or 0 if it has not.
	timeFactor, slowdown float64
	// speed is what the speed of the service is learned from.
	speed speedSample
	kind  kindKey
	// expectedOutput is the length of the output that the caller expects, in tokens.
	expectedOutput int64
}

// remoteService is the last summary of a service that another region reported.
type remoteService struct {
	ServiceSummary
	receivedAt time.Time
}

// summaryTTL is how long the summary of another region is used after it was
// received.
const summaryTTL = 3 * time.Second

// Place chooses where a request runs. If it chooses a server, the request counts
// as load of that server until Finish is called with its ID.
func (p *Placer) Place(now time.Time, request Request) Decision {
	p.recordKind(now, request)
	p.correctLength(&request)
	local := p.bestLocal(now, request)
	remote, found := p.bestRemote(now, request)
	switch {
	case local.server == nil && !found:
		return p.refuseUnserved(now, request)
	case local.server == nil:
		return p.remoteOrRefuse(now, request, remote)
	case found && p.preferRemote(request, now, local, remote):
		return p.remoteOrRefuse(now, request, remote)
	}
	if excess := p.excessWait(now, request, local); excess > 0 {
		decision := p.refuseOverloaded(now, request, local, excess)
		decision.UsableServers = local.usableServers
		return decision
	}
	if !p.reaches(request) {
		return Decision{Region: p.Region, PredictedWait: local.wait}
	}
	return p.assign(now, request, local)
}

// remoteOrRefuse relays a request to another region, or refuses it if its wait
// there would be too long.
func (p *Placer) remoteOrRefuse(now time.Time, request Request, remote candidate) Decision {
	if excess := p.excessWait(now, request, remote); excess > 0 {
		return p.refuseOverloaded(now, request, remote, excess)
	}
	p.startRelay(now, request, remote.region)
	return Decision{Region: remote.region, PredictedWait: remote.wait}
}

// preferRemote reports whether another region would serve a request so much
// sooner that the longer network path and a cache with less of the prompt are
// worth it. Requests that would be served well within their objective here stay.
func (p *Placer) preferRemote(request Request, now time.Time, local, remote candidate) bool {
	if bound, held := p.headroomBound(now, request); held && local.queueWait() > bound {
		return remote.queueWait() <= bound
	}
	timeLeft := request.Objective.Sub(now)
	if local.wait <= time.Duration(float64(timeLeft)*localWaitShare) {
		return false
	}
	return remote.wait+minRemoteGain < local.wait
}

// excessWait returns by how much the predicted wait exceeds the longest acceptable
// one, and at least minRetryAfter, or 0 if it does not exceed it. The time to
// prefill the request's own prompt is not counted against it: a long prompt that
// meets no queue is served even if its objective is missed. Nor is an end after the
// deadline counted against a stream that is taken up: the prediction may be wrong, and
// what its caller has is lost if it is refused.
func (p *Placer) excessWait(now time.Time, request Request, best candidate) time.Duration {
	if request.Resuming {
		return 0
	}
	timeLeft := request.Objective.Sub(now)
	waitFactor, wait := urgentWaitFactor, best.wait
	switch {
	case request.TakesUp:
		waitFactor, wait = takeUpWaitFactor, best.wait-best.overrun
	case request.Urgency > 0:
		waitFactor = lessUrgentWaitFactor
	case p.isLeftHeadroom(now, request):
		waitFactor = headroomWaitFactor
	}
	maxWait := max(time.Duration(float64(timeLeft)*waitFactor), best.ownPrefill+time.Duration(float64(timeLeft)*queueWaitShare))
	if bound, held := p.headroomBound(now, request); held {
		maxWait = min(maxWait, best.wait-best.queueWait()+bound)
	}
	maxWait = min(maxWait, request.Deadline.Sub(now))
	if wait <= maxWait {
		return 0
	}
	return max(wait-maxWait, minRetryAfter)
}

// Limits of the predicted wait and of retries.
const (
	// localWaitShare is the share of the time to the objective that a wait in this
	// region may take before other regions are considered. Among the servers of
	// this region, shorter waits count as equal.
	localWaitShare = 0.3
	// minRemoteGain is how much shorter the wait in another region must be.
	minRemoteGain = 100 * time.Millisecond
	// urgentWaitFactor and lessUrgentWaitFactor give the longest acceptable wait as
	// a multiple of the time to the objective. The factor for less urgent work is
	// lower so that it is refused first under overload and the queues at the
	// engines stay short: long answers are slow while many prompts are prefilled.
	urgentWaitFactor     = 1.1
	lessUrgentWaitFactor = 0.75
	// takeUpWaitFactor is the same for streams that are taken up, whose callers wait for
	// four times the objective for an event.
	takeUpWaitFactor = 3.0
	// queueWaitShare is the share of the time to the objective that other work on
	// the server may take if the request's own prefill alone takes too long.
	queueWaitShare = 0.36
	// minRetryAfter is the shortest RetryAfter of an overload refusal.
	minRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is the RetryAfter while no server is known. Servers
	// announce themselves about once in this time.
	noServerRetryAfter = time.Second
)

// candidate is a server of this region, or another region, that could serve a
// request, with the predictions for it.
type candidate struct {
	server       *server
	region       string
	wait         time.Duration
	cachedTokens int64
	// copySource, unless nil, is a server whose cache holds more of the prompt.
	copySource    *server
	usableServers int
	// cost is added to the wait when candidates are compared.
	cost time.Duration
	// ownPrefill is the part of the wait in which the request's own prompt is
	// prefilled. completion is the predicted time to the last event.
	ownPrefill time.Duration
	completion time.Duration
	// tokenTime is the predicted time for a token of the output; 0 if the service has no
	// engines.
	tokenTime time.Duration
	// overrun is the part of the wait that stands for an end after the deadline.
	overrun time.Duration
	// distance is the part of the wait that the way to another region takes.
	distance time.Duration
}

// queueWait returns the part of the wait that does not depend on the request itself.
func (c candidate) queueWait() time.Duration {
	return c.wait - c.ownPrefill - c.overrun - c.distance
}

// assign places a request on the server of a candidate and counts it as load there.
func (p *Placer) assign(now time.Time, request Request, best candidate) Decision {
	if p.placementsByID == nil {
		p.placementsByID = map[uint64]*placement{}
	}
	s := best.server
	uncached := request.Work.Prompt - best.cachedTokens
	load := Load{Running: 1, PrefillTokens: uncached, MemoryTokens: request.Work.memoryTokens()}
	sample := s.newSpeedSample(uncached, best)
	s.prefillRate.add(now, float64(uncached))
	s.ownLoad.add(load)
	s.loadChanged = true
	s.lastSent = now
	p.recordOwnCacheFill(now, s, request.Work.Parts)
	s.cache.insert(request.Work.Parts, s.cacheCapacity)
	p.limits.Take(now, s.start().throttled(), request.isUrgent())
	p.placementsByID[request.ID] = &placement{start: s.start(), load: load, placedAt: now, predictedWait: best.wait, timeFactor: s.timeFactor(now), slowdown: s.slowdowns.factor(now), speed: sample, kind: kindOf(request), expectedOutput: request.statedOutput}
	decision := Decision{Server: &s.Server, PredictedWait: best.wait, PredictedDuration: best.completion, PredictedTokenTime: best.tokenTime, CachedTokens: best.cachedTokens, UsableServers: best.usableServers}
	decision.PredictedFirstEvent = best.wait - best.overrun
	decision.Slowdown, _ = s.slowdowns.newest.encode(now)
	if best.copySource != nil {
		decision.CopySource = &best.copySource.Server
	}
	return decision
}
