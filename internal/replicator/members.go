package replicator

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Founding returns what the disk of a first member holds: a snapshot of
// nothing, with the members that found the group.
func Founding(members []Member) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: members}
}

// Times of members that do not answer.
const (
	// standbySilence is how long a store without a vote may be silent before
	// it is dropped.
	standbySilence = 6 * time.Second
	// voterSilence is how long a voter may be silent before a standby takes
	// its place. It outlasts an election and a restart.
	voterSilence = 3600 * time.Millisecond
)

// admit gives a name a new store, without a vote. It gets its vote when it
// has caught up and a vote is free; the next change waits for that.
func (m *Model) admit(admit Admit) {
	members, _ := m.log.members()
	if m.role == Leader && slices.ContainsFunc(members, func(member Member) bool { return member.Store == admit.Store }) {
		m.emit(Proposed{ID: admit.ID, Err: trace.Wrap(ErrMember, "store %s is a member already", admit.Store)})
		return
	}
	if err := m.checkAdmit(admit); err != nil {
		m.emit(Proposed{ID: admit.ID, Err: err})
		return
	}
	next := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Name == admit.Name })
	next = append(next, Member{Name: admit.Name, Store: admit.Store})
	m.emit(Proposed{ID: admit.ID, Index: m.log.last() + 1, Term: m.state.Term})
	m.appendEntry(Entry{Kind: KindMembers, Members: next})
}

func (m *Model) checkAdmit(admit Admit) error {
	if m.role != Leader {
		return ErrNotLeader
	}
	if !m.membersSettled() {
		return ErrBusy
	}
	members, _ := m.log.members()
	for _, member := range members {
		if !member.Voter && m.target == 0 {
			return trace.Wrap(ErrBusy, "%s is still catching up", member.Name)
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

// membersSettled reports whether the newest members are accepted, so that the
// next change of them may begin.
func (m *Model) membersSettled() bool {
	_, index := m.log.members()
	return index <= m.commit && m.settled()
}

// manage makes the next change of members that is due, one store at a time:
// a caught-up store gets a free vote, a voter that is silent loses its vote
// when a caught-up standby waits, and a silent standby is dropped.
func (m *Model) manage() {
	if !m.membersSettled() {
		return
	}
	members, _ := m.log.members()
	if i := slices.IndexFunc(members, m.caughtUp); i >= 0 {
		if m.target == 0 || len(m.voters()) < m.target {
			m.setMembers(members, func(next []Member) []Member {
				next[i].Voter = true
				return next
			})
			return
		}
		if silent := slices.IndexFunc(members, m.silentVoter); silent >= 0 {
			m.setMembers(members, func(next []Member) []Member { return slices.Delete(next, silent, silent+1) })
			return
		}
	}
	if m.target == 0 {
		return
	}
	if silent := slices.IndexFunc(members, m.silentStandby); silent >= 0 {
		m.setMembers(members, func(next []Member) []Member { return slices.Delete(next, silent, silent+1) })
	}
}

func (m *Model) setMembers(members []Member, change func(next []Member) []Member) {
	m.appendEntry(Entry{Kind: KindMembers, Members: change(slices.Clone(members))})
}

// caughtUp reports whether a store without a vote has synced all that is
// accepted, so that a second loss right after its promotion costs nothing.
func (m *Model) caughtUp(member Member) bool {
	_, index := m.log.members()
	peer := m.peers[member.Store]
	if member.Voter || peer == nil || peer.match < m.commit || peer.match < index {
		return false
	}
	return m.target == 0 || m.answeringMember(member.Store)
}

func (m *Model) silentVoter(member Member) bool {
	return member.Voter && m.silentFor(member.Store) > voterSilence
}

func (m *Model) silentStandby(member Member) bool {
	return !member.Voter && m.silentFor(member.Store) > standbySilence
}

// silentFor returns how long this leader has not heard a member.
func (m *Model) silentFor(store StoreID) time.Duration {
	if store == m.id {
		return 0
	}
	return m.peer(store).quietFor(m.now)
}
