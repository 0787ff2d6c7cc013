package replicator

import (
	"slices"
	"time"
)

// lead begins a leadership with an empty entry: once it is accepted, all
// earlier entries are known to be.
func (m *Model) lead() {
	m.role = Leader
	m.leader = m.id
	m.peers = map[StoreID]*progress{}
	m.reads = nil
	m.transfer = ""
	m.appendEntry(Entry{Kind: KindNoop})
}

func (m *Model) appendEntry(entry Entry) {
	entry.Index = m.log.last() + 1
	entry.Term = m.state.Term
	m.log.put([]Entry{entry})
	m.emit(Persist{Entries: []Entry{entry}})
	m.broadcast()
	m.advance()
}

func (m *Model) tickLeader() {
	if !m.quorum(m.answeredLately) {
		m.follow(m.state.Term, "")
		m.heard = m.now
		return
	}
	if m.now.Sub(m.beat) >= m.heartbeat {
		m.broadcast()
	}
	if m.transfer != "" && m.now.Sub(m.transferred) >= m.election {
		m.transfer = ""
	}
	m.manage()
}

// answeredLately reports whether a voter spoke within two election timeouts.
func (m *Model) answeredLately(store StoreID) bool {
	if store == m.id {
		return true
	}
	peer := m.peers[store]
	return peer != nil && m.now.Sub(peer.answered) < 2*m.election
}

// broadcast sends every member what it lacks, as a new round.
func (m *Model) broadcast() {
	m.beat = m.now
	m.round++
	members, _ := m.log.members()
	for _, member := range members {
		if member.Store != m.id {
			m.appendTo(member.Store)
		}
	}
}

func (m *Model) peer(store StoreID) *progress {
	peer, known := m.peers[store]
	if !known {
		peer = &progress{next: max(m.log.last(), 1), answered: m.now}
		m.peers[store] = peer
	}
	return peer
}

func (m *Model) appendTo(store StoreID) {
	peer := m.peer(store)
	before := peer.next - 1
	term, known := m.log.term(before)
	if !known {
		m.snapshotTo(store, peer)
		return
	}
	upto := min(m.log.last(), before+maxAppendEntries)
	m.send(Message{
		Kind: MessageAppend, To: store, LogIndex: before, LogTerm: term,
		Entries: m.log.slice(before, upto), Commit: m.commit, Round: m.round,
	})
	// What was sent is taken as received until the follower says otherwise.
	peer.next = upto + 1
}

// snapshotTo sends a follower that is too far behind the snapshot, and a bare
// heartbeat in between, so that it does not start an election.
func (m *Model) snapshotTo(store StoreID, peer *progress) {
	if m.now.Sub(peer.paused) >= m.election {
		peer.paused = m.now
		m.send(Message{Kind: MessageSnapshot, To: store, Snapshot: m.log.snapshot, Round: m.round})
		return
	}
	m.send(Message{
		Kind: MessageAppend, To: store, Round: m.round,
		LogIndex: m.log.snapshot.Index, LogTerm: m.log.snapshot.Term,
	})
}

func (m *Model) receiveAppended(message Message) {
	if m.role != Leader {
		return
	}
	peer := m.peer(message.From)
	peer.answered = m.now
	peer.round = max(peer.round, message.Round)
	if message.Granted {
		m.matched(message.From, peer, message.Match)
	} else if message.Match < peer.next {
		peer.next = max(message.Match, peer.match) + 1
		m.retryAppend(message.From, peer)
	}
	m.confirmReads()
}

// retryAppend tries again from an earlier place, unless a snapshot is needed
// and was just sent.
func (m *Model) retryAppend(store StoreID, peer *progress) {
	if _, known := m.log.term(peer.next - 1); known {
		m.appendTo(store)
		return
	}
	if m.now.Sub(peer.paused) >= m.election {
		m.snapshotTo(store, peer)
	}
}

func (m *Model) matched(store StoreID, peer *progress, match Index) {
	if match > peer.match {
		peer.match = match
		m.advance()
	}
	peer.next = max(peer.next, peer.match+1)
	if peer.next <= m.log.last() && match >= peer.next-1 {
		m.appendTo(store)
	}
	m.tryTransfer()
}

// advance moves the commit index to the newest entry of this term that a
// quorum has synced.
func (m *Model) advance() {
	var matches []Index
	for _, voter := range m.voters() {
		switch peer := m.peers[voter]; {
		case voter == m.id:
			matches = append(matches, m.log.last())
		case peer != nil:
			matches = append(matches, peer.match)
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
	if !known || term != m.state.Term {
		return
	}
	if index <= m.commit {
		return
	}
	m.commitTo(index)
	m.confirmReads()
	if m.role == Leader {
		m.broadcast() // followers learn at once what is accepted
	}
}

func (m *Model) commitTo(index Index) {
	if index <= m.commit {
		return
	}
	m.commit = index
	entries := m.log.slice(m.applied, m.commit)
	m.applied = m.commit
	if slices.ContainsFunc(entries, func(entry Entry) bool { return entry.Kind == KindData }) {
		m.state.Commit = m.commit
		m.persistState()
	}
	m.emit(Apply{Entries: entries})
	m.leaveIfRemoved()
}

// leaveIfRemoved ends the leadership of a store that is no longer a member.
func (m *Model) leaveIfRemoved() {
	_, index := m.log.members()
	if m.role == Leader && index <= m.commit && !m.mayVote() {
		m.follow(m.state.Term, "")
	}
}

func (m *Model) propose(proposal Propose) {
	otherTerm := proposal.Term != 0 && proposal.Term != m.state.Term
	if m.role != Leader || m.transfer != "" || otherTerm {
		m.emit(Proposed{ID: proposal.ID, Err: ErrNotLeader})
		return
	}
	index := m.log.last() + 1
	m.emit(Proposed{ID: proposal.ID, Index: index, Term: m.state.Term})
	m.appendEntry(Entry{Kind: KindData, Data: proposal.Data})
}

// read is answered after a round of heartbeats shows that this store still
// led when it was asked.
func (m *Model) read(read Read) {
	if m.role != Leader {
		m.emit(ReadReady{ID: read.ID, Err: ErrNotLeader})
		return
	}
	m.broadcast()
	m.reads = append(m.reads, pendingRead{id: read.ID, index: m.commit, round: m.round})
	m.confirmReads()
}

func (m *Model) confirmReads() {
	if m.role != Leader || len(m.reads) == 0 {
		return
	}
	term, known := m.log.term(m.commit)
	if !known || term != m.state.Term {
		return
	}
	var waiting []pendingRead
	for _, read := range m.reads {
		confirmed := m.quorum(func(store StoreID) bool {
			return store == m.id || m.peers[store] != nil && m.peers[store].round >= read.round
		})
		if !confirmed {
			waiting = append(waiting, read)
			continue
		}
		m.emit(ReadReady{ID: read.id, Index: max(read.index, m.commit)})
	}
	m.reads = waiting
}

func (m *Model) failReads(err error) {
	for _, read := range m.reads {
		m.emit(ReadReady{ID: read.id, Err: err})
	}
	m.reads = nil
}

// quietFor is used by leaders to judge a member's silence.
func (p *progress) quietFor(now time.Time) time.Duration {
	return now.Sub(p.answered)
}
