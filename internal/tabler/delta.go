package tabler

import "slices"

// Delta carries what changed between two revisions to a follower.
type Delta struct {
	From Revision
	To   Revision
	// Full means that the delta replaces all that the follower holds.
	Full      bool
	Put       Tables
	Keys      []Key
	Instances []Instance
	Removed   []Name
}

// Delta returns what a follower at a revision lacks.
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
			Regions:    s.Regions.since(since),
			Pools:      s.Pools.since(since),
			Routes:     s.Routes.since(since),
			Workspaces: s.Workspaces.since(since),
		},
		Keys:      s.Keys.since(since),
		Instances: s.Instances.since(since),
	}
	if !full {
		delta.Removed = s.removedSince(since)
	}
	return delta
}

// Follow brings a follower's state to the end of a delta. It reports false,
// and changes nothing, when the delta is not newer or leaves a gap.
func (s *State) Follow(delta Delta) bool {
	if delta.To <= s.Revision {
		return false
	}
	if !delta.Full && delta.From > s.Revision {
		return false
	}
	if delta.Full {
		withdrawn := s.withdrawnKeys()
		*s = State{Forgotten: delta.To}
		defer s.Revoke(withdrawn)
	}
	s.Revision = delta.To
	s.putAll(delta)
	for _, name := range delta.Removed {
		s.remove(name)
	}
	return true
}

func (s *State) putAll(delta Delta) {
	s.putTables(delta.Put)
	for _, key := range delta.Keys {
		key.Withdrawn = key.Withdrawn || s.Keys[key.ID].Value.Withdrawn
		put(&s.Keys, delta.To, key.ID, key)
	}
	for _, instance := range delta.Instances {
		put(&s.Instances, delta.To, instance.Name, instance)
	}
}

// Revoke marks keys as withdrawn ahead of the log. Followers use it for
// withdrawals that were heard before a quorum accepted them.
func (s *State) Revoke(keyIDs []string) {
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

func (s *State) removedSince(since Revision) []Name {
	var names []Name
	for _, removal := range slices.Backward(s.Removed) {
		if removal.Revision <= since {
			break
		}
		name := Name{Kind: removal.Kind, Name: removal.Name}
		if s.absent(name) {
			names = append(names, name)
		}
	}
	return names
}

// absent reports whether a removed item was not created again since.
func (s *State) absent(name Name) bool {
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
