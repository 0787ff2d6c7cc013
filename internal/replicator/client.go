package replicator

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Propose appends data to the log and returns the state machine's outcome.
// ErrLost means that the outcome is not known.
func (g *Group) Propose(ctx context.Context, data []byte) (any, error) {
	return g.ask(ctx, func(id uint64) Msg { return Propose{ID: id, Data: data} })
}

// ProposeIn is Propose for one leadership only: in any other term the data is
// never appended.
func (g *Group) ProposeIn(ctx context.Context, term Term, data []byte) (any, error) {
	return g.ask(ctx, func(id uint64) Msg { return Propose{ID: id, Data: data, Term: term} })
}

// Read returns once the state machine reflects all that was accepted before
// the call, on the leader only.
func (g *Group) Read(ctx context.Context) error {
	_, err := g.ask(ctx, func(id uint64) Msg { return Read{ID: id} })
	return err
}

// Admit gives a member's name a new store.
func (g *Group) Admit(ctx context.Context, name string, store StoreID) error {
	_, err := g.ask(ctx, func(id uint64) Msg { return Admit{ID: id, Name: name, Store: store} })
	return err
}

// Found makes an empty store a first member of a new group.
func (g *Group) Found(ctx context.Context, members []Member) error {
	id, answer := g.newRequest()
	return g.await(ctx, answer, founding{request: request{id: id, answer: answer}, members: members})
}

// HandOver asks the leader to pass its leadership on.
func (g *Group) HandOver(ctx context.Context) error {
	return g.inbox.Put(ctx, Transfer{})
}

// Deliver takes a frame from another store.
func (g *Group) Deliver(frame []byte) error {
	var message Message
	if err := cbor.Unmarshal(frame, &message); err != nil {
		return trace.BadParameter("message: %v", err)
	}
	return g.inbox.Offer(Received{Message: message})
}

// Status returns the newest view of the group.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// Changed returns a channel that is closed at the next change of the status.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Leader returns the member that leads, as far as this store knows.
func (g *Group) Leader() (Member, bool) {
	status := g.Status()
	for _, member := range status.Members {
		if member.Store == status.Leader && status.Leader != "" {
			return member, true
		}
	}
	return Member{}, false
}

// Leads reports whether this store leads, as far as it knows.
func (g *Group) Leads() bool {
	return g.Status().Role == Leader
}

func (g *Group) newRequest() (uint64, chan outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	return g.nextID, make(chan outcome, 1)
}

func (g *Group) ask(ctx context.Context, msg func(id uint64) Msg) (any, error) {
	id, answer := g.newRequest()
	if err := g.inbox.Put(ctx, request{Msg: msg(id), id: id, answer: answer}); err != nil {
		return nil, trace.Wrap(err)
	}
	select {
	case result := <-answer:
		return result.result, result.err
	case <-ctx.Done():
		return nil, trace.Wrap(ErrLost, "%v", ctx.Err())
	}
}

func (g *Group) await(ctx context.Context, answer chan outcome, msg Msg) error {
	if err := g.inbox.Put(ctx, msg); err != nil {
		return trace.Wrap(err)
	}
	select {
	case result := <-answer:
		return result.err
	case <-ctx.Done():
		return trace.Wrap(ErrLost, "%v", ctx.Err())
	}
}
