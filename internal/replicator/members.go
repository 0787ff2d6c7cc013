package replicator

import (
	"slices"

	"github.com/gravitational/trace"
)

// Founding returns what the disk of a first member holds: a snapshot of
// nothing, with the members that found the group.
func Founding(members []Member) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: members}
}

// admit gives a name a new store, without a vote. It gets its vote when it
// has caught up; the next change waits for that.
func (m *Model) admit(admit Admit) {
	if err := m.checkAdmit(admit); err != nil {
		m.emit(Proposed{ID: admit.ID, Err: err})
		return
	}
	members, _ := m.log.members()
	next := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Name == admit.Name })
	next = append(next, Member{Name: admit.Name, Store: admit.Store})
	m.emit(Proposed{ID: admit.ID, Index: m.log.last() + 1, Term: m.state.Term})
	m.appendEntry(Entry{Kind: KindMembers, Members: next})
}

func (m *Model) checkAdmit(admit Admit) error {
	members, index := m.log.members()
	if m.role != Leader {
		return ErrNotLeader
	}
	if index > m.commit || !m.settled() {
		return ErrBusy
	}
	for _, member := range members {
		if !member.Voter {
			return trace.Wrap(ErrBusy, "%s is still catching up", member.Name)
		}
		if member.Store == admit.Store {
			return trace.Wrap(ErrMember, "store %s is a member already", admit.Store)
		}
		if member.Name == admit.Name && m.answeringMember(member.Store) {
			return trace.Wrap(ErrMember, "%s still answers with its old store", admit.Name)
		}
	}
	return nil
}

// answeringMember reports whether a member's store is alive: replacing it
// would throw a good copy away.
func (m *Model) answeringMember(store StoreID) bool {
	if store == m.id {
		return true
	}
	peer := m.peers[store]
	return peer != nil && peer.round > 0 && peer.quietFor(m.now) < m.election
}

// settled reports whether an entry of this term has been accepted, so that
// all earlier changes of members are known.
func (m *Model) settled() bool {
	term, known := m.log.term(m.commit)
	return known && term == m.state.Term
}

// promote gives a caught-up member its vote: it has synced all that is
// accepted, so a second loss right after costs nothing accepted.
func (m *Model) promote() {
	members, index := m.log.members()
	if index > m.commit || !m.settled() {
		return
	}
	for i, member := range members {
		peer := m.peers[member.Store]
		if member.Voter || peer == nil || peer.match < m.commit || peer.match < index {
			continue
		}
		next := slices.Clone(members)
		next[i].Voter = true
		m.appendEntry(Entry{Kind: KindMembers, Members: next})
		return
	}
}
