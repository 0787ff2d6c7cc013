package follower

import (
	"context"
	"time"

	"github.com/boragehead/boragehead/internal/admitter"
	"github.com/boragehead/boragehead/internal/placer"
)

// waitingRoom holds the requests that wait for a placement, in the order of the room,
// and hands each its decision. The zero value is empty. It is protected by Follower.mu.
type waitingRoom struct {
	room     admitter.Room
	requests map[uint64]*waitingRequest
	// retryAt is when the heads of the queues are tried again after none could leave.
	retryAt time.Time
}

type waitingRequest struct {
	request placer.Request
	refusal placer.Decision
	// decided gets the decision; it has room for one.
	decided chan placer.Decision
}

const (
	// waitingInterval is how often a waiting request looks whether it can leave.
	waitingInterval = 20 * time.Millisecond
	// waitingRetryDelay is the least time between two tries in vain. Loads of other
	// instances change every 50 ms at most.
	waitingRetryDelay = 10 * time.Millisecond
)

// Await lets a request wait that Place has refused with a time until which it may. It
// returns a placement, or the refusal if the request could not leave in time, had to be
// refused at once or ctx has ended.
func (f *Follower) Await(ctx context.Context, request placer.Request, workspace string, refusal placer.Decision) placer.Decision {
	waiting, added := f.addWaiting(request, workspace, refusal)
	if !added {
		return refusal
	}
	ticker := time.NewTicker(waitingInterval)
	defer ticker.Stop()
	for {
		select {
		case decision := <-waiting.decided:
			return decision
		case <-ticker.C:
			f.mu.Lock()
			f.serveWaiting(time.Now())
			f.mu.Unlock()
		case <-ctx.Done():
			return f.leaveWaiting(waiting)
		}
	}
}

func (f *Follower) addWaiting(request placer.Request, workspace string, refusal placer.Decision) (*waitingRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.serveWaiting(now)
	added := f.waiting.room.Add(now, admitter.Entry{
		ID: request.ID, Service: request.Service.Name, Urgency: request.Urgency, Workspace: workspace,
		Tokens: request.Work.Prompt, LeaveBy: refusal.WaitUntil,
	})
	if !added {
		return nil, false
	}
	if f.waiting.requests == nil {
		f.waiting.requests = map[uint64]*waitingRequest{}
	}
	waiting := &waitingRequest{request: request, refusal: refusal, decided: make(chan placer.Decision, 1)}
	f.waiting.requests[request.ID] = waiting
	return waiting, true
}

// leaveWaiting ends the wait of a request whose caller has gone or whose time is up. A
// placement that was made meanwhile is returned.
func (f *Follower) leaveWaiting(waiting *waitingRequest) placer.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting.room.Remove(time.Now(), waiting.request.ID) {
		delete(f.waiting.requests, waiting.request.ID)
		return waiting.refusal
	}
	return <-waiting.decided
}

// serveWaiting places the waiting requests that can be placed now, in their order, and
// refuses those whose time is up. f.mu must be held.
func (f *Follower) serveWaiting(now time.Time) {
	if f.waiting.room.Len() == 0 {
		return
	}
	for _, id := range f.waiting.room.Expire(now) {
		f.waiting.decide(id, f.waiting.requests[id].refusal)
	}
	if now.Before(f.waiting.retryAt) {
		return
	}
	f.waiting.room.Heads(now, func(id uint64) bool {
		decision := f.placer.Place(now, f.waiting.requests[id].request)
		if decision.RefusalReason != "" {
			f.waiting.retryAt = now.Add(waitingRetryDelay)
			return false
		}
		f.waiting.decide(id, copyServers(decision))
		return true
	})
}

func (w *waitingRoom) decide(id uint64, decision placer.Decision) {
	w.requests[id].decided <- decision
	delete(w.requests, id)
}
