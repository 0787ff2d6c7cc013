package replicator

func (m *Model) heardLeader(leader StoreID) {
	if m.role != Follower || m.leader != leader {
		m.follow(m.state.Term, leader)
	}
	m.heard = m.now
}

func (m *Model) receiveAppend(message Message) {
	m.heardLeader(message.From)
	if message.LogIndex < m.commit {
		message = m.skipCommitted(message)
	}
	term, known := m.log.term(message.LogIndex)
	if !known || term != message.LogTerm {
		m.rejectAppend(message)
		return
	}
	fresh := m.freshEntries(message.Entries)
	if len(fresh) > 0 {
		m.log.put(fresh)
		m.emit(Persist{Entries: fresh})
	}
	match := message.LogIndex + Index(len(message.Entries))
	m.commitTo(min(message.Commit, match))
	m.send(Message{Kind: MessageAppended, To: message.From, Granted: true, Match: match, Round: message.Round})
}

// skipCommitted drops entries that this store has committed: they are the
// same in every log.
func (m *Model) skipCommitted(message Message) Message {
	skip := m.commit - message.LogIndex
	if skip >= Index(len(message.Entries)) {
		skip = Index(len(message.Entries))
	}
	message.Entries = message.Entries[skip:]
	message.LogIndex += skip
	if message.LogIndex <= m.commit {
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

// rejectAppend names a place that is worth trying next.
func (m *Model) rejectAppend(message Message) {
	hint := min(m.log.last(), message.LogIndex-1)
	for hint > m.commit {
		term, known := m.log.term(hint)
		if known && term <= message.LogTerm {
			break
		}
		hint--
	}
	m.send(Message{Kind: MessageAppended, To: message.From, Match: hint, Round: message.Round})
}

// freshEntries returns the entries from the first that this log lacks or
// holds with another term.
func (m *Model) freshEntries(entries []Entry) []Entry {
	for i, entry := range entries {
		term, known := m.log.term(entry.Index)
		if !known || term != entry.Term {
			return entries[i:]
		}
	}
	return nil
}

func (m *Model) receiveSnapshot(message Message) {
	m.heardLeader(message.From)
	snapshot := message.Snapshot
	if snapshot.Index > m.commit {
		m.log.compact(snapshot)
		m.commit = snapshot.Index
		m.applied = snapshot.Index
		m.emit(Persist{Snapshot: &snapshot})
		m.emit(Restore{Snapshot: snapshot})
	}
	m.send(Message{Kind: MessageAppended, To: message.From, Granted: true, Match: m.commit, Round: message.Round})
}
