package replicator

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// BootstrapSnapshot returns the snapshot that each first member of a new group
// starts from: it lists the members and has no data.
func BootstrapSnapshot(members []Member) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: members}
}

// Timeouts for members that do not answer.
const (
	// standbyTimeout is how long a store without a vote may be silent before it
	// is removed from the members.
	standbyTimeout = 6 * time.Second
	// voterTimeout is how long a voter may be silent before a standby replaces
	// it. It is longer than an election and a restart take.
	voterTimeout = 3600 * time.Millisecond
)

// admit adds a store without a vote, in place of the store with the same name if
// there is one. The store gets its vote once it has caught up and there are fewer
// voters than the target. Without a target, the next change waits for that.
func (m *Model) admit(admit Admit) {
	members, _ := m.log.members()
	if m.role == Leader && slices.ContainsFunc(members, func(member Member) bool { return member.Store == admit.Store }) {
		m.emit(Proposed{ID: admit.ID, Err: trace.Wrap(ErrMembershipRefused, "store %s is a member already", admit.Store)})
		return
	}
	if err := m.checkAdmit(admit); err != nil {
		m.emit(Proposed{ID: admit.ID, Err: err})
		return
	}
	next := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Name == admit.Name })
	next = append(next, Member{Name: admit.Name, Store: admit.Store})
	m.emit(Proposed{ID: admit.ID, Index: m.log.lastIndex() + 1, Term: m.hardState.Term})
	m.appendEntry(Entry{Kind: KindMembers, Members: next})
}

// checkAdmit returns the reason why the store cannot be admitted now, or nil.
func (m *Model) checkAdmit(admit Admit) error {
	if m.role != Leader {
		return ErrNotLeader
	}
	if !m.membershipCommitted() {
		return ErrMembershipChanging
	}
	members, _ := m.log.members()
	for _, member := range members {
		if !member.Voter && m.targetVoters == 0 {
			return trace.Wrap(ErrMembershipChanging, "%s is still catching up", member.Name)
		}
		if member.Name == admit.Name && m.isResponsive(member.Store) {
			return trace.Wrap(ErrMembershipRefused, "%s still answers with its old store", admit.Name)
		}
	}
	return nil
}

// isResponsive reports whether a member's store has replied to this leader within
// an election timeout. Replacing such a store would discard a good copy of the
// log.
func (m *Model) isResponsive(store StoreID) bool {
	if store == m.id {
		return true
	}
	peer := m.progressByStore[store]
	return peer != nil && peer.round > 0 && peer.sinceContact(m.now) < m.electionTimeout
}

// hasCommittedInTerm reports whether an entry of this term has been committed. All
// earlier entries, membership changes included, are then known to be committed.
func (m *Model) hasCommittedInTerm() bool {
	term, known := m.log.term(m.commitIndex)
	return known && term == m.hardState.Term
}

// membershipCommitted reports whether the newest members are committed, so that
// the next membership change may begin.
func (m *Model) membershipCommitted() bool {
	_, index := m.log.members()
	return index <= m.commitIndex && m.hasCommittedInTerm()
}

// manageMembers makes the next membership change that is due. Each change affects
// one store: a caught-up store gets a vote while there are fewer voters than the
// target, a silent voter is removed if a caught-up standby can replace it, and a
// silent standby is removed.
func (m *Model) manageMembers() {
	if !m.membershipCommitted() {
		return
	}
	members, _ := m.log.members()
	if i := slices.IndexFunc(members, m.promotable); i >= 0 {
		if m.targetVoters == 0 || len(m.voters()) < m.targetVoters {
			m.appendMembers(members, func(next []Member) []Member {
				next[i].Voter = true
				return next
			})
			return
		}
		if silent := slices.IndexFunc(members, m.voterTimedOut); silent >= 0 {
			m.appendMembers(members, func(next []Member) []Member { return slices.Delete(next, silent, silent+1) })
			return
		}
	}
	if m.targetVoters == 0 {
		return
	}
	if silent := slices.IndexFunc(members, m.standbyTimedOut); silent >= 0 {
		m.appendMembers(members, func(next []Member) []Member { return slices.Delete(next, silent, silent+1) })
	}
}

// appendMembers appends an entry with a changed copy of the members.
func (m *Model) appendMembers(members []Member, change func(next []Member) []Member) {
	m.appendEntry(Entry{Kind: KindMembers, Members: change(slices.Clone(members))})
}

// promotable reports whether a member without a vote may get one. It must have
// synced all committed entries, so that none is lost if another store loses its
// disk right after the promotion. With a target, it must also be responsive.
func (m *Model) promotable(member Member) bool {
	_, index := m.log.members()
	peer := m.progressByStore[member.Store]
	if member.Voter || peer == nil || peer.matchIndex < m.commitIndex || peer.matchIndex < index {
		return false
	}
	return m.targetVoters == 0 || m.isResponsive(member.Store)
}

func (m *Model) voterTimedOut(member Member) bool {
	return member.Voter && m.silentFor(member.Store) > voterTimeout
}

func (m *Model) standbyTimedOut(member Member) bool {
	return !member.Voter && m.silentFor(member.Store) > standbyTimeout
}

// silentFor returns the time since this leader last heard from a member or, if it
// has not yet, since it began to track it.
func (m *Model) silentFor(store StoreID) time.Duration {
	if store == m.id {
		return 0
	}
	return m.peer(store).sinceContact(m.now)
}
