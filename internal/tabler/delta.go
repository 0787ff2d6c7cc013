package tabler

import "slices"

// Delta holds the changes between two revisions of the state, for followers.
type Delta struct {
	From Revision
	To   Revision
	// Full is true if the delta replaces the follower's whole state. From is
	// then 0.
	Full      bool
	Put       Tables
	Keys      []Key
	Instances []Instance
	Removed   []Name
}

// Delta returns the changes after a revision. It is a full delta if the follower
// has no state, if removals after its revision are no longer recorded, or if its
// revision is newer than this state.
func (s *State) Delta(since Revision) Delta {
	full := since == 0 || since < s.Forgotten || since > s.Revision
	if full {
		since = 0
	}
	delta := Delta{
		From: since,
		To:   s.Revision,
		Full: full,
		Put: Tables{
			Regions:    s.Regions.changedSince(since),
			Pools:      s.Pools.changedSince(since),
			Routes:     s.Routes.changedSince(since),
			Workspaces: s.Workspaces.changedSince(since),
		},
		Keys:      s.Keys.changedSince(since),
		Instances: s.Instances.changedSince(since),
	}
	if !full {
		delta.Removed = s.namesRemovedSince(since)
	}
	return delta
}

// ApplyDelta applies a delta to a follower's state. It returns false, and changes
// nothing, if the delta is not newer than the state or leaves a gap after it. Keys
// that were withdrawn stay withdrawn, even if the delta does not know that yet.
func (s *State) ApplyDelta(delta Delta) bool {
	if delta.To <= s.Revision {
		return false
	}
	if !delta.Full && delta.From > s.Revision {
		return false
	}
	if delta.Full {
		withdrawn := s.withdrawnKeys()
		*s = State{Forgotten: delta.To}
		defer s.MarkWithdrawn(withdrawn)
	}
	s.Revision = delta.To
	s.putItems(delta)
	for _, name := range delta.Removed {
		s.removeItem(name)
	}
	return true
}

func (s *State) putItems(delta Delta) {
	s.putTables(delta.Put)
	for _, key := range delta.Keys {
		key.Withdrawn = key.Withdrawn || s.Keys[key.ID].Value.Withdrawn
		put(&s.Keys, delta.To, key.ID, key)
	}
	for _, instance := range delta.Instances {
		put(&s.Instances, delta.To, instance.Name, instance)
	}
}

// MarkWithdrawn marks keys as withdrawn before the log does, without a new
// revision. Followers use it for withdrawals that they receive before a quorum
// has accepted them. Unknown keys are ignored.
func (s *State) MarkWithdrawn(keyIDs []string) {
	for _, id := range keyIDs {
		key, known := s.Keys[id]
		if !known {
			continue
		}
		key.Value.Withdrawn = true
		s.Keys[id] = key
	}
}

func (s *State) withdrawnKeys() []string {
	var ids []string
	for id, key := range s.Keys {
		if key.Value.Withdrawn {
			ids = append(ids, id)
		}
	}
	return ids
}

// namesRemovedSince returns the items that were removed after a revision and do
// not exist again.
func (s *State) namesRemovedSince(since Revision) []Name {
	var names []Name
	for _, removal := range slices.Backward(s.Removed) {
		if removal.Revision <= since {
			break
		}
		name := Name{Kind: removal.Kind, Name: removal.Name}
		if s.isAbsent(name) {
			names = append(names, name)
		}
	}
	return names
}

// isAbsent reports whether no item of this name exists. A removed item may have
// been created again.
func (s *State) isAbsent(name Name) bool {
	var present bool
	switch name.Kind {
	case KindRegion:
		_, present = s.Regions[name.Name]
	case KindPool:
		_, present = s.Pools[name.Name]
	case KindRoute:
		_, present = s.Routes[name.Name]
	case KindWorkspace:
		_, present = s.Workspaces[name.Name]
	}
	return !present
}
