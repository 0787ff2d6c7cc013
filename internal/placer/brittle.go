package placer

import "time"

// A brittle server ends if it has to turn more than some requests away in a second for want
// of room, and says so in its answers. While the servers of a service do, none is offered a
// request that may find no room.

// brittleness is what the servers of a service last said of how brittle they are.
type brittleness struct {
	// refusals is how many requests a server can turn away in a second.
	refusals int32
	saidAt   time.Time
}

const (
	// brittleTTL is how long a service counts as brittle after its last answer.
	brittleTTL = 10 * time.Second
	// turnedAwayPause is how long at least a brittle server that turned a request away gets no
	// more of them from this instance: its refusals count by the second.
	turnedAwayPause = time.Second
	// unseenSlotsDivisor is the part of the slots of a brittle server that is left to what
	// other instances place there before their loads are known here.
	unseenSlotsDivisor = 4
	// noRoomRetryAfter is when a request may return that found all servers full.
	noRoomRetryAfter = 200 * time.Millisecond
)

// recordBrittleness records what the server of a placement said of how brittle it is.
func (p *Placer) recordBrittleness(now time.Time, placed *placement, said Notice) {
	s, listed := p.serversByName[placed.start.name]
	if !listed || s.start() != placed.start {
		return
	}
	switch {
	case said.Brittle > 0:
		if p.brittle == nil {
			p.brittle = map[string]brittleness{}
		}
		p.brittle[s.Service] = brittleness{refusals: said.Brittle, saidAt: now}
	case said.Sturdy && placed.placedAt.After(p.brittle[s.Service].saidAt):
		delete(p.brittle, s.Service)
	}
}

// isBrittle reports whether the servers of a service are brittle.
func (p *Placer) isBrittle(now time.Time, service string) bool {
	said, known := p.brittle[service]
	return known && now.Sub(said.saidAt) < brittleTTL
}

// lacksRoom reports whether a server must not be offered a request because it is brittle and
// may have no room.
func (p *Placer) lacksRoom(now time.Time, s *server) bool {
	if !p.isBrittle(now, s.Service) {
		return false
	}
	unseen := min(max(p.RegionInstances-1, 0), s.Slots/unseenSlotsDivisor)
	isFull := s.Slots > 0 && int(s.totalLoad().Running) >= max(s.Slots-unseen, 1)
	return isFull || now.Before(s.turnedAwayUntil)
}

// recordTurnedAway leaves a brittle server alone that turned a request away, and tells other
// instances so. Of a server that is half empty, as far as is known, that was for another
// reason.
func (p *Placer) recordTurnedAway(now time.Time, s *server) {
	if !p.isBrittle(now, s.Service) || 2*int(s.totalLoad().Running) < s.Slots {
		return
	}
	instances := float64(max(p.RegionInstances, 1)) // which may all find it full
	pause := time.Duration(instances / float64(p.brittle[s.Service].refusals) * float64(time.Second))
	s.turnedAwayUntil = now.Add(max(pause, turnedAwayPause))
	if s.turnedAwayUntil.After(s.ejectedUntil) {
		s.ejectedUntil, s.loadChanged = s.turnedAwayUntil, true
	}
}
