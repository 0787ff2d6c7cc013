package replicator

import (
	"slices"

	"github.com/gravitational/trace"
)

// bootstrapRequest asks an empty store to become one of a new group's first
// members.
type bootstrapRequest struct {
	request
	members []Member
}

// bootstrap writes the first members to an empty store. The error is that of the
// disk; the request gets an error of its own if the store already has members.
func (g *Group) bootstrap(bootstrap bootstrapRequest) error {
	g.pending[bootstrap.id] = bootstrap.answer
	if members := g.model.Status().Members; len(members) > 0 {
		g.answer(bootstrap.id, outcome{err: checkSameMembers(g.name, members, bootstrap.members)})
		return nil
	}
	stored := PersistedState{Snapshot: BootstrapSnapshot(bootstrap.members)}
	if err := g.storage.compact(stored); err != nil {
		return err
	}
	g.model.log.compact(stored.Snapshot)
	g.model.commitIndex = stored.Snapshot.Index
	g.model.appliedIndex = stored.Snapshot.Index
	g.answer(bootstrap.id, outcome{})
	return nil
}

// checkSameMembers makes bootstrapping idempotent: repeating it with the same
// members succeeds.
func checkSameMembers(group string, members, requested []Member) error {
	if slices.Equal(members, requested) {
		return nil
	}
	return trace.AlreadyExists("group %s has other members already", group)
}
