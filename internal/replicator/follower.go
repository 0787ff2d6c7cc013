package replicator

// recordLeaderContact follows the leader of the current term and restarts the
// election timer.
func (m *Model) recordLeaderContact(leader StoreID) {
	if m.role != Follower || m.leader != leader {
		m.becomeFollower(m.hardState.Term, leader)
	}
	m.electionTimerStart = m.now
}

// receiveAppend appends the leader's entries if the entry before them matches this
// log, and rejects them otherwise.
func (m *Model) receiveAppend(message Message) {
	m.recordLeaderContact(message.From)
	if message.LogIndex < m.commitIndex {
		message = m.skipCommitted(message)
	}
	term, known := m.log.term(message.LogIndex)
	if !known || term != message.LogTerm {
		m.rejectAppend(message)
		return
	}
	unmatched := m.unmatchedEntries(message.Entries)
	if len(unmatched) > 0 {
		m.log.truncateAndAppend(unmatched)
		m.emit(Persist{Entries: unmatched})
	}
	match := message.LogIndex + Index(len(message.Entries))
	m.commitTo(min(message.Commit, match))
	if m.commitIndex >= message.Commit {
		m.heardCurrentAt = m.now
	}
	m.send(Message{Kind: MessageAppendReply, To: message.From, Granted: true, Match: match, Round: message.Round})
}

// skipCommitted removes the entries that this store has committed from an append:
// committed entries are the same in every log.
func (m *Model) skipCommitted(message Message) Message {
	skip := m.commitIndex - message.LogIndex
	if skip >= Index(len(message.Entries)) {
		skip = Index(len(message.Entries))
	}
	message.Entries = message.Entries[skip:]
	message.LogIndex += skip
	if message.LogIndex <= m.commitIndex {
		term, known := m.log.term(message.LogIndex)
		if !known {
			message.LogIndex = m.log.snapshot.Index
			term = m.log.snapshot.Term
			message.Entries = nil
		}
		message.LogTerm = term
	}
	return message
}

// rejectAppend rejects an append and tells the leader the index to try next: the
// newest one before the rejected one whose entry is of no later term than the
// leader's entry there, or else the commit index.
func (m *Model) rejectAppend(message Message) {
	hint := min(m.log.lastIndex(), message.LogIndex-1)
	for hint > m.commitIndex {
		term, known := m.log.term(hint)
		if known && term <= message.LogTerm {
			break
		}
		hint--
	}
	m.send(Message{Kind: MessageAppendReply, To: message.From, Match: hint, Round: message.Round})
}

// unmatchedEntries returns the entries from the first one on that this log lacks
// or holds with another term.
func (m *Model) unmatchedEntries(entries []Entry) []Entry {
	for i, entry := range entries {
		term, known := m.log.term(entry.Index)
		if !known || term != entry.Term {
			return entries[i:]
		}
	}
	return nil
}

// receiveSnapshot replaces the log and the state machine by the leader's snapshot,
// unless this store has already committed its entries.
func (m *Model) receiveSnapshot(message Message) {
	m.recordLeaderContact(message.From)
	snapshot := message.Snapshot
	if snapshot.Index > m.commitIndex {
		m.log.compact(snapshot)
		m.commitIndex = snapshot.Index
		m.appliedIndex = snapshot.Index
		m.emit(Persist{Snapshot: &snapshot})
		m.emit(Restore{Snapshot: snapshot})
	}
	m.send(Message{Kind: MessageAppendReply, To: message.From, Granted: true, Match: m.commitIndex, Round: message.Round})
}
