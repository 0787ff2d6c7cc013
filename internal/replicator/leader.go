package replicator

import (
	"slices"
	"time"
)

// becomeLeader makes this store the leader and appends an empty entry: once that is
// committed, all earlier entries are known to be committed.
func (m *Model) becomeLeader() {
	m.role = Leader
	m.leader = m.id
	m.progressByStore = map[StoreID]*progress{}
	m.pendingReads = nil
	m.transferTarget = ""
	m.appendEntry(Entry{Kind: KindNoop})
}

// appendEntry appends an entry to the leader's log and sends it to all members.
func (m *Model) appendEntry(entry Entry) {
	entry.Index = m.log.lastIndex() + 1
	entry.Term = m.hardState.Term
	m.log.truncateAndAppend([]Entry{entry})
	m.emit(Persist{Entries: []Entry{entry}})
	m.broadcast()
	m.advanceCommit()
}

// tickLeader steps down if a quorum has not replied for two election timeouts, and
// otherwise sends heartbeats, gives up a transfer that takes longer than an election
// timeout and manages the members.
func (m *Model) tickLeader() {
	if !m.hasQuorum(m.recentlyActive) {
		m.becomeFollower(m.hardState.Term, "")
		m.electionTimerStart = m.now
		return
	}
	if m.now.Sub(m.lastBroadcast) >= m.heartbeatInterval {
		m.broadcast()
	}
	if m.transferTarget != "" && m.now.Sub(m.transferStarted) >= m.electionTimeout {
		m.transferTarget = ""
	}
	m.manageMembers()
}

// recentlyActive reports whether a voter replied within two election timeouts.
func (m *Model) recentlyActive(store StoreID) bool {
	if store == m.id {
		return true
	}
	peer := m.progressByStore[store]
	return peer != nil && m.now.Sub(peer.lastContact) < 2*m.electionTimeout
}

// confirmedAt returns when this store was last known to have applied every entry that
// was committed until then. For a leader that is when a quorum last replied to it:
// until then no other store can have led.
func (m *Model) confirmedAt() time.Time {
	if m.role != Leader || !m.hasCommittedInTerm() {
		return m.heardCurrentAt
	}
	latest := m.heardCurrentAt
	for _, candidate := range m.voters() {
		contact := m.contactAt(candidate)
		if contact.After(latest) && m.hasQuorum(func(store StoreID) bool { return !m.contactAt(store).Before(contact) }) {
			latest = contact
		}
	}
	return latest
}

// contactAt returns when a member last replied to this leader; now for itself.
func (m *Model) contactAt(store StoreID) time.Time {
	if store == m.id {
		return m.now
	}
	if peer := m.progressByStore[store]; peer != nil {
		return peer.lastContact
	}
	return time.Time{}
}

// broadcast starts a new round: it sends every other member the entries that it
// lacks, or a heartbeat.
func (m *Model) broadcast() {
	m.lastBroadcast = m.now
	m.round++
	members, _ := m.log.members()
	for _, member := range members {
		if member.Store != m.id {
			m.sendAppend(member.Store)
		}
	}
}

// peer returns the progress of a member and begins to track it if necessary.
func (m *Model) peer(store StoreID) *progress {
	peer, known := m.progressByStore[store]
	if !known {
		peer = &progress{nextIndex: max(m.log.lastIndex(), 1), lastContact: m.now}
		m.progressByStore[store] = peer
	}
	return peer
}

// sendAppend sends a member the entries from its next index on, or the snapshot
// if they were compacted.
func (m *Model) sendAppend(store StoreID) {
	peer := m.peer(store)
	prevIndex := peer.nextIndex - 1
	term, known := m.log.term(prevIndex)
	if !known {
		m.sendSnapshot(store, peer)
		return
	}
	lastSent := min(m.log.lastIndex(), prevIndex+maxAppendEntries)
	m.send(Message{
		Kind: MessageAppend, To: store, LogIndex: prevIndex, LogTerm: term,
		Entries: m.log.slice(prevIndex, lastSent), Commit: m.commitIndex, Round: m.round,
	})
	// Assume that the follower receives the entries, until it rejects an append.
	peer.nextIndex = lastSent + 1
}

// sendSnapshot sends the snapshot to a member whose next entry was compacted, at
// most once per election timeout. In between it sends empty appends, so that the
// member does not start an election.
func (m *Model) sendSnapshot(store StoreID, peer *progress) {
	if m.now.Sub(peer.lastSnapshotSent) >= m.electionTimeout {
		peer.lastSnapshotSent = m.now
		m.send(Message{Kind: MessageSnapshot, To: store, Snapshot: m.log.snapshot, Round: m.round})
		return
	}
	m.send(Message{
		Kind: MessageAppend, To: store, Round: m.round,
		LogIndex: m.log.snapshot.Index, LogTerm: m.log.snapshot.Term,
	})
}

func (m *Model) receiveAppendReply(message Message) {
	if m.role != Leader {
		return
	}
	peer := m.peer(message.From)
	peer.lastContact = m.now
	peer.round = max(peer.round, message.Round)
	if message.Granted {
		m.updateMatch(message.From, peer, message.Match)
	} else if message.Match < peer.nextIndex {
		peer.nextIndex = max(message.Match, peer.matchIndex) + 1
		m.retryAppend(message.From, peer)
	}
	m.confirmReads()
}

// retryAppend sends entries again from the next index, which a rejection has moved
// back. If a snapshot is needed and was sent recently, it sends nothing.
func (m *Model) retryAppend(store StoreID, peer *progress) {
	if _, known := m.log.term(peer.nextIndex - 1); known {
		m.sendAppend(store)
		return
	}
	if m.now.Sub(peer.lastSnapshotSent) >= m.electionTimeout {
		m.sendSnapshot(store, peer)
	}
}

// updateMatch records that a member shares the log up to an index, and sends the
// member the entries that follow.
func (m *Model) updateMatch(store StoreID, peer *progress, matchIndex Index) {
	if matchIndex > peer.matchIndex {
		peer.matchIndex = matchIndex
		m.advanceCommit()
	}
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	if peer.nextIndex <= m.log.lastIndex() && matchIndex >= peer.nextIndex-1 {
		m.sendAppend(store)
	}
	m.tryTransfer()
}

// advanceCommit moves the commit index to the newest index that a quorum has
// synced, if the entry there is of this term. Entries of earlier terms are
// committed only together with one of this term.
func (m *Model) advanceCommit() {
	var matches []Index
	for _, voter := range m.voters() {
		switch peer := m.progressByStore[voter]; {
		case voter == m.id:
			matches = append(matches, m.log.lastIndex())
		case peer != nil:
			matches = append(matches, peer.matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	term, known := m.log.term(index)
	if !known || term != m.hardState.Term {
		return
	}
	if index <= m.commitIndex {
		return
	}
	m.commitTo(index)
	m.confirmReads()
	if m.role == Leader {
		m.broadcast() // followers learn the new commit index at once
	}
}

// commitTo moves the commit index forward and applies the newly committed entries.
// It persists the commit index only if they include data.
func (m *Model) commitTo(index Index) {
	if index <= m.commitIndex {
		return
	}
	m.commitIndex = index
	entries := m.log.slice(m.appliedIndex, m.commitIndex)
	m.appliedIndex = m.commitIndex
	if slices.ContainsFunc(entries, func(entry Entry) bool { return entry.Kind == KindData }) {
		m.hardState.Commit = m.commitIndex
		m.persistHardState()
	}
	m.emit(Apply{Entries: entries})
	m.stepDownIfRemoved()
}

// stepDownIfRemoved ends the leadership of a store that the newest committed
// members give no vote.
func (m *Model) stepDownIfRemoved() {
	_, index := m.log.members()
	if m.role == Leader && index <= m.commitIndex && !m.isVoter() {
		m.becomeFollower(m.hardState.Term, "")
	}
}

// propose appends data to the log. It fails if this store does not lead, is
// transferring its leadership or leads another term than the one required.
func (m *Model) propose(proposal Propose) {
	wrongTerm := proposal.Term != 0 && proposal.Term != m.hardState.Term
	if m.role != Leader || m.transferTarget != "" || wrongTerm {
		m.emit(Proposed{ID: proposal.ID, Err: ErrNotLeader})
		return
	}
	index := m.log.lastIndex() + 1
	m.emit(Proposed{ID: proposal.ID, Index: index, Term: m.hardState.Term})
	m.appendEntry(Entry{Kind: KindData, Data: proposal.Data})
}

// read starts a round of heartbeats. The read is answered once a quorum has replied
// to it, which shows that this store still led when the read arrived.
func (m *Model) read(read Read) {
	if m.role != Leader {
		m.emit(ReadReady{ID: read.ID, Err: ErrNotLeader})
		return
	}
	m.broadcast()
	m.pendingReads = append(m.pendingReads, pendingRead{id: read.ID, index: m.commitIndex, round: m.round})
	m.confirmReads()
}

// confirmReads answers the reads whose round a quorum has answered. Reads wait
// until an entry of this term is committed: before that, a new leader may not know
// the commit index.
func (m *Model) confirmReads() {
	if m.role != Leader || len(m.pendingReads) == 0 {
		return
	}
	term, known := m.log.term(m.commitIndex)
	if !known || term != m.hardState.Term {
		return
	}
	var unconfirmed []pendingRead
	for _, read := range m.pendingReads {
		confirmed := m.hasQuorum(func(store StoreID) bool {
			return store == m.id || m.progressByStore[store] != nil && m.progressByStore[store].round >= read.round
		})
		if !confirmed {
			unconfirmed = append(unconfirmed, read)
			continue
		}
		m.emit(ReadReady{ID: read.id, Index: max(read.index, m.commitIndex)})
	}
	m.pendingReads = unconfirmed
}

func (m *Model) failReads(err error) {
	for _, read := range m.pendingReads {
		m.emit(ReadReady{ID: read.id, Err: err})
	}
	m.pendingReads = nil
}

// sinceContact returns the time since the member last replied.
func (p *progress) sinceContact(now time.Time) time.Duration {
	return now.Sub(p.lastContact)
}
