package replicator

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/decoder"
)

// Propose appends data to the log and returns the state machine's outcome once
// the entry is committed and applied. ErrNotLeader means that the data was not
// appended, and ErrOutcomeUnknown that the outcome is unknown.
func (g *Group) Propose(ctx context.Context, data []byte) (any, error) {
	return g.call(ctx, func(id uint64) Msg { return Propose{ID: id, Data: data} })
}

// ProposeIn is like Propose, but it fails with ErrNotLeader and appends nothing
// if this store does not lead in the given term.
func (g *Group) ProposeIn(ctx context.Context, term Term, data []byte) (any, error) {
	return g.call(ctx, func(id uint64) Msg { return Propose{ID: id, Data: data, Term: term} })
}

// Read returns once the state machine reflects everything that was committed
// before the call. It fails with ErrNotLeader on other stores than the leader.
func (g *Group) Read(ctx context.Context) error {
	_, err := g.call(ctx, func(id uint64) Msg { return Read{ID: id} })
	return err
}

// Admit adds a store without a vote, in place of the store that is a member under
// the same name, if there is one. It returns once the change is committed. Only
// the leader accepts it; it fails with ErrMembershipChanging while another change
// is under way, and with ErrMembershipRefused if the store is a member already or
// the store that it would replace still answers.
func (g *Group) Admit(ctx context.Context, name string, store StoreID) error {
	_, err := g.call(ctx, func(id uint64) Msg { return Admit{ID: id, Name: name, Store: store} })
	return err
}

// Bootstrap bootstraps an empty store as one of the first members of a new group.
// It must be called with the same members on each of them. Repeating it is
// harmless; it fails if the store already has other members.
func (g *Group) Bootstrap(ctx context.Context, members []Member) error {
	id, answer := g.newRequest()
	return g.sendAndWait(ctx, answer, bootstrapRequest{request: request{id: id, answer: answer}, members: members})
}

// TransferLeadership asks this store, if it leads, to transfer its leadership to
// another voter. It returns without waiting for the transfer.
func (g *Group) TransferLeadership(ctx context.Context) error {
	return g.inbox.Put(ctx, TransferLeadership{})
}

// Deliver passes on a frame that another store's transport sent. It does not block:
// it returns carrier.ErrFull if the group is too far behind.
func (g *Group) Deliver(frame []byte) error {
	var message Message
	if err := decoder.Stored(frame, &message); err != nil {
		return trace.BadParameter("message: %v", err)
	}
	return g.inbox.TryPut(Received{Message: message})
}

// Status returns the group's status after the last step.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// Changed returns a channel that is closed when the applied index, the role or the
// term next changes.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Leader returns the leader, as far as this store knows, and whether it knows one.
func (g *Group) Leader() (Member, bool) {
	status := g.Status()
	for _, member := range status.Members {
		if member.Store == status.Leader && status.Leader != "" {
			return member, true
		}
	}
	return Member{}, false
}

// IsLeader reports whether this store is the leader, as far as it knows.
func (g *Group) IsLeader() bool {
	return g.Status().Role == Leader
}

// newRequest returns a new request ID and the channel for its answer.
func (g *Group) newRequest() (uint64, chan outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	return g.nextID, make(chan outcome, 1)
}

// call sends a message with a new request ID and waits for its answer. It returns
// ErrOutcomeUnknown if the context ends while the request is under way.
func (g *Group) call(ctx context.Context, msg func(id uint64) Msg) (any, error) {
	id, answer := g.newRequest()
	if err := g.inbox.Put(ctx, request{Msg: msg(id), id: id, answer: answer}); err != nil {
		return nil, trace.Wrap(err)
	}
	select {
	case result := <-answer:
		return result.result, result.err
	case <-ctx.Done():
		return nil, trace.Wrap(ErrOutcomeUnknown, "%v", ctx.Err())
	}
}

// sendAndWait sends a message and waits for its answer on the channel. It returns
// ErrOutcomeUnknown if the context ends while the message is under way.
func (g *Group) sendAndWait(ctx context.Context, answer chan outcome, msg Msg) error {
	if err := g.inbox.Put(ctx, msg); err != nil {
		return trace.Wrap(err)
	}
	select {
	case result := <-answer:
		return result.err
	case <-ctx.Done():
		return trace.Wrap(ErrOutcomeUnknown, "%v", ctx.Err())
	}
}
