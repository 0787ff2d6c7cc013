// Package placer decides where a request runs: at a backend server of this
// region, in another region, or nowhere for now.
//
// The one idea: every candidate gets a predicted time to the first event, from
// the prompts it has yet to read, the batch it runs, and what of this prompt its
// cache saves; the earliest goes. A request whose earliest prediction misses its
// objective by too much is refused at once, with the time after which it would
// be met. The model owns no goroutine, socket or clock.
package placer

import (
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Request is what a placement depends on.
type Request struct {
	ID      uint64
	Service *definer.Service
	Work    Work
	// Objective is when the first event is due, and Deadline when all is over.
	Objective time.Time
	Deadline  time.Time
	// Urgency ranks the route; 0 is the most urgent.
	Urgency int
	// Homes are the regions allowed, if Bound.
	Homes []string
	Bound bool
	// Local restricts the placement to this region, as for relayed requests.
	Local bool
	// Tried are servers that must not be chosen again, and TriedRegions the
	// regions.
	Tried        []string
	TriedRegions []string
	// Started requests resume a stream: they are placed while any server can.
	Started bool
}

// Reason tells why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonNoServer means that no usable server is known.
	ReasonNoServer Reason = "no-server"
	// ReasonOverloaded means that the objective would be missed by too much.
	ReasonOverloaded Reason = "overloaded"
)

// Decision is where a request goes. Exactly one of Server, Region and Refused
// is set.
type Decision struct {
	Server  *registrar.Server
	Region  string
	Refused Reason
	// Wait is the predicted time to the first event, 0 when nothing could serve
	// the request.
	Wait time.Duration
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// End is the predicted time to the last event, at a server of this region.
	End time.Duration
	// Cached is how much of the prompt the server is expected to keep, in
	// tokens.
	Cached int64
	// Source, unless nil, is a server that keeps more of the prompt, from which
	// the chosen one can copy it.
	Source *registrar.Server
	// Servers is how many servers were usable.
	Servers int
}

// Placer decides for one entry instance. It is not safe for concurrent use.
type Placer struct {
	// Self, Region and FailureDomain name this instance and where it is.
	Self          string
	Region        string
	FailureDomain string
	// Crowd is how many instances of this region place requests.
	Crowd int

	servers  map[string]*server
	running  map[uint64]*run
	peers    map[string]peer
	regions  map[string]map[string]remote
	closed   map[string]bool
	reopened map[string]time.Time
	// readings are told to other instances, the newest last.
	readings []heardReading
}

// run is a request that a server works on.
type run struct {
	server  string
	load    Load
	started time.Time
	wait    time.Duration
	began   bool
}

// remote is what is known of a service in another region.
type remote struct {
	Summary
	heard time.Time
}

// remoteFreshness is how long a region's summary counts.
const remoteFreshness = 3 * time.Second

// Place decides on a request. A placement at a server must be ended by Done.
func (p *Placer) Place(now time.Time, request Request) Decision {
	local := p.bestLocal(now, request)
	away, found := p.bestRemote(now, request)
	switch {
	case local.server == nil && !found:
		return Decision{Refused: ReasonNoServer, RetryAfter: noServerWait}
	case local.server == nil:
		return p.remoteOrRefuse(now, request, away)
	case found && p.worthLeaving(request, now, local, away):
		return p.remoteOrRefuse(now, request, away)
	}
	if late := late(now, request, local); late > 0 {
		return Decision{Refused: ReasonOverloaded, Wait: local.wait, RetryAfter: late, Servers: local.servers}
	}
	return p.assign(now, request, local)
}

func (p *Placer) remoteOrRefuse(now time.Time, request Request, away candidate) Decision {
	if late := late(now, request, away); late > 0 {
		return Decision{Refused: ReasonOverloaded, Wait: away.wait, RetryAfter: late}
	}
	return Decision{Region: away.region, Wait: away.wait}
}

// worthLeaving reports whether another region serves a request so much sooner
// that the network path and a colder cache are worth it. Requests that are in
// time here stay.
func (p *Placer) worthLeaving(request Request, now time.Time, local, away candidate) bool {
	spare := request.Objective.Sub(now)
	if local.wait <= time.Duration(float64(spare)*stayShare) {
		return false
	}
	return away.wait+leaveMargin < local.wait
}

// late returns by how much a request would miss what is worth waiting for. What
// the reading of its own prompt takes is not held against it: a long one that
// meets no queue is answered, if late.
func late(now time.Time, request Request, best candidate) time.Duration {
	if request.Started {
		return 0
	}
	spare := request.Objective.Sub(now)
	patience := urgentPatience
	if request.Urgency > 0 {
		patience = otherPatience
	}
	most := max(time.Duration(float64(spare)*patience), best.own+time.Duration(float64(spare)*queueShare))
	most = min(most, request.Deadline.Sub(now))
	if best.wait <= most {
		return 0
	}
	return max(best.wait-most, shortestRetry)
}

// What a placement weighs.
const (
	// stayShare is the part of the time to the objective that a local wait may
	// take before other regions are considered.
	stayShare = 0.3
	// leaveMargin is what another region must gain over this one.
	leaveMargin = 100 * time.Millisecond
	// urgentPatience and otherPatience are the part of the time to the objective
	// that a prediction may take. When load is at its worst, less urgent work is
	// turned away first, and the queues at the engines stay short: a long answer
	// is slow beside many prompts.
	urgentPatience = 1.1
	otherPatience  = 0.75
	// queueShare is the part that others' work may take where the own prompt
	// alone is too long.
	queueShare = 0.25
	// shortestRetry bounds from below when a refused request may come back.
	shortestRetry = 100 * time.Millisecond
	// noServerWait is when to come back while no server is known: servers
	// announce themselves about once in this time.
	noServerWait = time.Second
)

// candidate is one way to serve a request.
type candidate struct {
	server *server
	region string
	wait   time.Duration
	cached int64
	// source keeps more of the prompt than the server itself.
	source  *server
	servers int
	// price is what the choice costs beside the wait, in time.
	price time.Duration
	// own is the part of the wait in which the own prompt is read, and end the
	// predicted time to the last event.
	own time.Duration
	end time.Duration
}

func (p *Placer) assign(now time.Time, request Request, best candidate) Decision {
	if p.running == nil {
		p.running = map[uint64]*run{}
	}
	s := best.server
	unread := request.Work.Prompt - best.cached
	load := Load{Running: 1, Prefill: unread, Memory: request.Work.memory()}
	s.pace.add(now, float64(unread))
	s.own.add(load)
	s.changed = true
	s.sent = now
	p.noteReading(now, s, request.Work.Parts)
	s.cache.touch(request.Work.Parts, s.room)
	p.running[request.ID] = &run{server: s.Name, load: load, started: now, wait: best.wait}
	decision := Decision{Server: &s.Server, Wait: best.wait, End: best.end, Cached: best.cached, Servers: best.servers}
	if best.source != nil {
		decision.Source = &best.source.Server
	}
	return decision
}

// Began notes that the first event of a placed request has come.
func (p *Placer) Began(now time.Time, id uint64) {
	r, known := p.running[id]
	if !known || r.began {
		return
	}
	r.began = true
	if s, known := p.servers[r.server]; known {
		s.own.Prefill -= r.load.Prefill
		s.changed = true
		s.noteSpeed(now.Sub(r.started), r.wait)
	}
	r.load.Prefill = 0
}

// Outcome is how a placed request ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the server answered as it should.
	Answered Outcome = iota
	// Declined means that the server said that it did not run the request.
	Declined
	// Unreached means that the server could not be connected to.
	Unreached
	// Failed means that the server gave no usable answer.
	Failed
	// Dropped means that the caller gave up; it says nothing of the server.
	Dropped
)

// Done ends a placement.
func (p *Placer) Done(now time.Time, id uint64, outcome Outcome) {
	r, known := p.running[id]
	if !known {
		return
	}
	delete(p.running, id)
	s, known := p.servers[r.server]
	if !known {
		return
	}
	s.own.subtract(r.load)
	s.changed = true
	s.note(now, outcome, p.mayEject(now, s), p.usualFailures(s))
}
