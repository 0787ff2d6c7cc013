package placer

import (
	"maps"
	"time"
)

// Notice is what a server said about itself in a response.
type Notice struct {
	// Leaving means that the server gets no more requests until it starts again.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this instance; 0 if
	// it did not say.
	RetryAfter time.Duration
	// Limit is the requests a second that the server takes from all instances
	// together, if Limited is set.
	Limit   float64
	Limited bool
	// Unlimited means that the server has named no limit, in an answer of its own.
	Unlimited bool
	// Brittle is how many requests the server can turn away in a second for want of room
	// without ending; 0 if it did not say. Sturdy means that it did not, in an answer of its
	// own.
	Brittle int32
	Sturdy  bool
	// Load is the load that the server reported.
	Load ServerLoad
}

// serverStart identifies one start of a server.
type serverStart struct {
	name     string
	atMillis int64
}

// notice is what one start of a server has said so far.
type notice struct {
	leaving bool
	// backoffUntil is when the server takes requests of this instance again.
	backoffUntil time.Time
	recordedAt   time.Time
}

// noticeRetention is how long a notice is kept for a server that is not listed: such
// a server may be listed again, as after a cut, and still be leaving.
const noticeRetention = 10 * time.Minute

// maxBackoff bounds how long a server is left alone at its own request.
const maxBackoff = noticeRetention

// RecordNotice records what the server of a placement said about itself. It ignores
// unknown IDs.
func (p *Placer) RecordNotice(now time.Time, id uint64, said Notice) {
	placed, known := p.placementsByID[id]
	if !known {
		return
	}
	p.recordLimit(now, placed, said)
	p.recordBrittleness(now, placed, said)
	p.recordServerLoad(now, placed, said.Load)
	if !said.Leaving && said.RetryAfter == 0 {
		return
	}
	if p.noticesByStart == nil {
		p.noticesByStart = map[serverStart]notice{}
	}
	recorded := p.noticesByStart[placed.start]
	recorded.recordedAt = now
	recorded.leaving = recorded.leaving || said.Leaving
	if until := now.Add(min(said.RetryAfter, maxBackoff)); said.RetryAfter > 0 && until.After(recorded.backoffUntil) {
		recorded.backoffUntil = until
	}
	p.noticesByStart[placed.start] = recorded
	if s, listed := p.serversByName[placed.start.name]; listed && s.start() == placed.start {
		s.notice = recorded
	}
}

// refuseUnserved refuses a request that no server and no other region can serve. If
// servers only want no requests for some time, the caller is told when the first of
// them takes requests again.
func (p *Placer) refuseUnserved(now time.Time, request Request) Decision {
	if decision, limited := p.placeByLimits(now, request); limited {
		return decision
	}
	refusal := Decision{RefusalReason: ReasonNoServer, RetryAfter: noServerRetryAfter}
	if !request.mayRunIn(p.Region) {
		return refusal
	}
	for _, s := range p.serversByName {
		if s.Service != request.Service.Name {
			continue
		}
		left := s.notice.backoffUntil.Sub(now)
		if p.lacksRoom(now, s) && p.isInUse(s) {
			left = max(left, s.turnedAwayUntil.Sub(now), noRoomRetryAfter)
			if refusal.RefusalReason == ReasonNoServer || left < refusal.RetryAfter {
				refusal = Decision{RefusalReason: ReasonOverloaded, RetryAfter: left}
			}
			continue
		}
		if left <= 0 || !p.listedAsUsable(now, s) {
			continue
		}
		if refusal.RefusalReason == ReasonNoServer || left < refusal.RetryAfter {
			refusal = Decision{RefusalReason: ReasonOverloaded, RetryAfter: left}
		}
	}
	return refusal
}

// dropOldNotices forgets the notices of servers that have not been listed for long.
func (p *Placer) dropOldNotices(now time.Time) {
	maps.DeleteFunc(p.noticesByStart, func(start serverStart, recorded notice) bool {
		s, listed := p.serversByName[start.name]
		return now.Sub(recorded.recordedAt) > noticeRetention && (!listed || s.start() != start)
	})
}

func (s *server) start() serverStart {
	return serverStart{name: s.Name, atMillis: s.StartedAtMillis}
}
