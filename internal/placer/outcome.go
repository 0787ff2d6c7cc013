package placer

import "time"

// Outcome is how a placed request ended.
type Outcome uint8

// Outcomes of a placed request.
const (
	// OutcomeAnswered means that the server gave a valid answer.
	OutcomeAnswered Outcome = iota
	// OutcomeDeclined means that the server reported that it did not run the
	// request.
	OutcomeDeclined
	// OutcomeUnreachable means that no connection to the server could be opened, or that
	// another server is at its address.
	OutcomeUnreachable
	// OutcomeFailed means that the server gave no usable answer.
	OutcomeFailed
	// OutcomeAbandoned means that the request was abandoned on the caller's side.
	// It does not count as a failure of the server.
	OutcomeAbandoned
)

// Finish ends a placement: it removes the load of the request from its server and
// records the outcome, which may eject the server. It ignores unknown IDs.
func (p *Placer) Finish(now time.Time, id uint64, outcome Outcome) {
	placed, known := p.placementsByID[id]
	if !known {
		return
	}
	delete(p.placementsByID, id)
	s, known := p.serversByName[placed.start.name]
	if !known {
		return
	}
	s.ownLoad.subtract(placed.load)
	s.loadChanged = true
	p.recordReach(s, outcome)
	if outcome == OutcomeDeclined {
		p.recordTurnedAway(now, s)
	}
	if p.reach.cutOff {
		return // no server is to blame
	}
	mayEject := p.mayEject(now, s) || outcome == OutcomeUnreachable && (p.hasOtherInUse(now, s) || p.readmitFailing(now, s.Service))
	s.recordOutcome(now, outcome, mayEject, p.othersFailureRate(s))
}

// RecordFirstEvent records the first event of a placed request: its prompt is
// prefilled. It ignores unknown IDs and every call but the first for an ID.
func (p *Placer) RecordFirstEvent(now time.Time, id uint64) {
	placed, known := p.placementsByID[id]
	if !known || placed.firstEventSeen {
		return
	}
	placed.firstEventSeen = true
	if s, known := p.serversByName[placed.start.name]; known {
		s.ownLoad.PrefillTokens -= placed.load.PrefillTokens
		s.loadChanged = true
		s.recordFirstEvent(now, placed)
		p.updateSpeed(s.Service)
	}
	placed.load.PrefillTokens = 0
}
