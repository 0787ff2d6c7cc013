package experimenter

import (
	"strconv"
	"time"

	"github.com/boragehead/boragehead/internal/admitter"
	"github.com/boragehead/boragehead/internal/placer"
)

// waitingRoom holds the attempts that wait at an entry instance, as real instances do.
type waitingRoom struct {
	room     admitter.Room
	attempts map[uint64]waitingAttempt
}

type waitingAttempt struct {
	*attempt
	refusal placer.Decision
}

// waitingInterval is how often waiting attempts are tried again.
const waitingInterval = 20 * time.Millisecond

// wait lets a refused attempt wait. It returns false if the attempt may not wait.
func (s *simulation) wait(at *attempt, entry *entryInstance, request placer.Request, refusal placer.Decision) bool {
	if refusal.WaitUntil.IsZero() || at.placements > 1 {
		return false
	}
	added := entry.waiting.room.Add(s.now, admitter.Entry{
		ID: request.ID, Service: request.Service.Name, Urgency: request.Urgency, Workspace: strconv.Itoa(at.workspaceIndex), Tokens: request.Work.Prompt, LeaveBy: refusal.WaitUntil,
	})
	if !added {
		return false
	}
	if entry.waiting.attempts == nil {
		entry.waiting.attempts = map[uint64]waitingAttempt{}
	}
	entry.waiting.attempts[request.ID] = waitingAttempt{attempt: at, refusal: refusal}
	if entry.waiting.room.Len() == 1 {
		s.schedule(waitingInterval, func() { s.serveWaiting(entry) })
	}
	return true
}

// serveWaiting places the attempts that wait at an entry instance and can leave now.
func (s *simulation) serveWaiting(entry *entryInstance) {
	for _, id := range entry.waiting.room.Expire(s.now) {
		s.refuse(entry.waiting.attempts[id].attempt, entry.waiting.attempts[id].refusal.RetryAfter)
		delete(entry.waiting.attempts, id)
	}
	entry.waiting.room.Heads(s.now, func(id uint64) bool {
		at := entry.waiting.attempts[id].attempt
		if !at.ended {
			decision := entry.policy.Place(s.now, s.placementRequest(at, id))
			if decision.RefusalReason != "" {
				return false
			}
			s.carryOut(at, entry, id, decision)
		}
		delete(entry.waiting.attempts, id)
		return true
	})
	if entry.waiting.room.Len() > 0 {
		s.schedule(waitingInterval, func() { s.serveWaiting(entry) })
	}
}
