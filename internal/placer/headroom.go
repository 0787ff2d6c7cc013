package placer

import (
	"maps"
	"time"
)

// Requests of one service can have objectives that differ several times over: short
// urgent prompts wait behind every long one that an engine has begun to prefill. If
// servers were filled with long prompts up to the long prompts' own objective, no
// server could take an urgent one in time. Less urgent requests are therefore only
// placed where the queue leaves headroom for the most urgent kind that shares the
// service.
const (
	// kindTTL is how long a kind of request counts after it was last seen here.
	kindTTL = 5 * time.Second
	// minObjectiveRatio is how many times longer than that of a more urgent kind the
	// objective of a less urgent one must be to leave headroom. With similar objectives
	// both kinds bear the same queue.
	minObjectiveRatio = 2
	// headroomQueueShare is the share of the urgent kind's objective that the queue
	// before a less urgent request may take. The rest is for the urgent request's own
	// prefill and for what other instances place until their loads are known here.
	headroomQueueShare = 0.2
	// headroomWaitFactor replaces urgentWaitFactor for kinds for which others leave
	// headroom. A late answer holds its slot as long as one in time, which another caller
	// would have had.
	headroomWaitFactor = 0.8
)

// kindKey identifies the requests of a service that have the same urgency.
type kindKey struct {
	service string
	urgency int
}

func kindOf(request Request) kindKey {
	return kindKey{service: request.Service.Name, urgency: request.Urgency}
}

// kind is what is known of the requests of one kind.
type kind struct {
	// objective is the time to the first event that its route states.
	objective time.Duration
	lastSeen  time.Time
}

// recordKind records the kind of a request that a caller sent to this instance.
// Relayed requests do not count: a part of their objective has passed already.
func (p *Placer) recordKind(now time.Time, request Request) {
	if request.LocalOnly || request.RouteObjective <= 0 || request.Service.Engine == nil {
		return
	}
	if p.kinds == nil {
		p.kinds = map[kindKey]kind{}
	}
	key := kindOf(request)
	objective := request.RouteObjective
	if known, exists := p.kinds[key]; exists && now.Sub(known.lastSeen) <= kindTTL {
		objective = min(objective, known.objective)
	}
	p.kinds[key] = kind{objective: objective, lastSeen: now}
}

// dropOldKinds forgets the kinds that no longer count, and overloads that are over.
func (p *Placer) dropOldKinds(now time.Time) {
	maps.DeleteFunc(p.kinds, func(_ kindKey, known kind) bool { return now.Sub(known.lastSeen) > kindTTL })
	maps.DeleteFunc(p.refusals, func(_ kindKey, last overload) bool { return now.Sub(last.lastRefusal) > overloadPause })
}

// objectiveOf returns the objective of a request's kind.
func (p *Placer) objectiveOf(request Request) time.Duration {
	known, exists := p.kinds[kindOf(request)]
	if request.LocalOnly && exists {
		return known.objective
	}
	return request.RouteObjective
}

// headroomBound returns the longest queue, as time to the first event without the
// request's own prefill, that a server may have before it takes a request. It reports
// false if the request need not leave headroom.
func (p *Placer) headroomBound(now time.Time, request Request) (time.Duration, bool) {
	if request.goesOn() {
		return 0, false // what has reached the caller is lost if the stream is refused
	}
	own := p.objectiveOf(request)
	shortest := time.Duration(0)
	for key, other := range p.kinds {
		if key.service != request.Service.Name || key.urgency >= request.Urgency || now.Sub(other.lastSeen) > kindTTL {
			continue
		}
		if own >= minObjectiveRatio*other.objective && (shortest == 0 || other.objective < shortest) {
			shortest = other.objective
		}
	}
	return time.Duration(float64(shortest) * headroomQueueShare), shortest > 0
}

// isLeftHeadroom reports whether less urgent requests leave headroom for a request.
func (p *Placer) isLeftHeadroom(now time.Time, request Request) bool {
	own := p.objectiveOf(request)
	for key, other := range p.kinds {
		if key.service == request.Service.Name && key.urgency > request.Urgency && now.Sub(other.lastSeen) <= kindTTL && other.objective >= minObjectiveRatio*own {
			return true
		}
	}
	return false
}
