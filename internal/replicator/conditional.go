package replicator

import (
	"context"
	"errors"

	"github.com/gravitational/trace"
)

// ErrConditionFailed means that a conditional proposal was not appended, since its condition
// does not hold or another proposal of the same key is in progress.
var ErrConditionFailed = errors.New("the state has changed, or is about to")

// ProposeIf is like Propose, but it appends the data only if a condition holds: one on state
// that only proposals of the same key change, all of them by ProposeIf. Otherwise it fails
// with ErrConditionFailed. The condition is asked when the state machine reflects everything
// that earlier leaders have confirmed.
//
// A proposal whose outcome is unknown may still be committed before a later one of the
// same key, but not after it.
func (g *Group) ProposeIf(ctx context.Context, key string, holds func() bool, data []byte) (any, error) {
	term := g.Status().Term
	if err := g.awaitCaughtUp(ctx, term); err != nil {
		return nil, err
	}
	if !g.beginProposal(key) {
		return nil, trace.Wrap(ErrConditionFailed, "another change of %q is in progress", key)
	}
	defer g.endProposal(key)
	if !holds() {
		return nil, trace.Wrap(ErrConditionFailed, "a change of %q came first", key)
	}
	return g.ProposeIn(ctx, term, data)
}

// awaitCaughtUp waits, once in each term, until a read shows that this store leads and has
// applied what was committed before. Later changes in the term pass through this store.
func (g *Group) awaitCaughtUp(ctx context.Context, term Term) error {
	g.mu.Lock()
	caughtUp := g.caughtUpTerm == term
	g.mu.Unlock()
	if caughtUp {
		return nil
	}
	if err := g.Read(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.caughtUpTerm = term
	return nil
}

// beginProposal marks a key as in progress, unless it is.
func (g *Group) beginProposal(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keysInProgress[key] {
		return false
	}
	if g.keysInProgress == nil {
		g.keysInProgress = map[string]bool{}
	}
	g.keysInProgress[key] = true
	return true
}

func (g *Group) endProposal(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.keysInProgress, key)
}
