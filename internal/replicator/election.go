package replicator

// campaign starts a pre-vote or an election. A pre-vote asks whether the election
// could be won; no store changes its term until a quorum has agreed, so a failed
// pre-vote does not disrupt the current leader.
func (m *Model) campaign(preVote, force bool) {
	m.role = Candidate
	m.leader = ""
	m.preVote = preVote
	m.electionTimerStart = m.now
	m.randomizeTimeout()
	m.grantedVotes = map[StoreID]bool{m.id: true}
	term := m.hardState.Term + 1
	kind := MessagePreVote
	if !preVote {
		kind = MessageVote
		m.hardState.Term, m.hardState.Vote = term, m.id
		m.persistHardState()
	}
	for _, voter := range m.voters() {
		if voter == m.id {
			continue
		}
		m.send(Message{
			Kind: kind, To: voter, Term: term, Force: force,
			LogIndex: m.log.lastIndex(), LogTerm: m.log.lastTerm(),
		})
	}
	m.countVotes()
}

// countVotes moves on from a pre-vote to the election, and from the election
// to leadership, once a quorum has granted its vote.
func (m *Model) countVotes() {
	if !m.hasQuorum(func(store StoreID) bool { return m.grantedVotes[store] }) {
		return
	}
	if m.preVote {
		m.campaign(false, false)
		return
	}
	m.becomeLeader()
}

// handleMessage handles a message from another store. Messages from stores that
// are not members are ignored unless a leader sent them: a new member learns the
// members, and that it is one, from the leader's appends and snapshots.
func (m *Model) handleMessage(message Message) {
	if message.To != m.id {
		return
	}
	if !m.isMember(message.From) && !fromLeader(message.Kind) {
		return
	}
	switch message.Kind {
	case MessagePreVote, MessageVote:
		m.receiveVoteRequest(message)
		return
	case MessagePreVoteReply:
		m.receivePreVoteReply(message)
		return
	}
	if message.Term < m.hardState.Term {
		m.rejectStaleLeader(message)
		return
	}
	if message.Term > m.hardState.Term {
		m.becomeFollower(message.Term, "")
	}
	switch message.Kind {
	case MessageVoteReply:
		m.receiveVoteReply(message)
	case MessageAppend:
		m.receiveAppend(message)
	case MessageAppendReply:
		m.receiveAppendReply(message)
	case MessageSnapshot:
		m.receiveSnapshot(message)
	case MessageTimeoutNow:
		m.receiveTimeoutNow()
	}
}

// fromLeader reports whether only leaders send messages of this kind.
func fromLeader(kind MessageKind) bool {
	return kind == MessageAppend || kind == MessageSnapshot
}

// rejectStaleLeader tells the leader of an earlier term the current term, so that
// it steps down.
func (m *Model) rejectStaleLeader(message Message) {
	if fromLeader(message.Kind) {
		m.send(Message{Kind: MessageAppendReply, To: message.From})
	}
}

// becomeFollower makes this store a follower in the given term. The leader is
// empty if it is not known.
func (m *Model) becomeFollower(term Term, leader StoreID) {
	if term > m.hardState.Term {
		m.hardState.Term, m.hardState.Vote = term, ""
		m.persistHardState()
	}
	if m.role == Leader {
		m.failReads(ErrOutcomeUnknown)
	}
	m.role = Follower
	m.leader = leader
	m.grantedVotes = nil
	m.transferTarget = ""
}

// receiveVoteRequest handles a request for a vote or a pre-vote. A store that has heard
// from a leader recently does not reply, unless the leader asked for the election.
func (m *Model) receiveVoteRequest(message Message) {
	preVote := message.Kind == MessagePreVote
	if !m.isVoter() {
		return
	}
	if m.leaderRecentlyHeard() && !message.Force {
		return
	}
	if message.Term < m.hardState.Term {
		m.replyToVote(message, m.hardState.Term, false)
		return
	}
	if preVote {
		m.replyToPreVote(message)
		return
	}
	if message.Term > m.hardState.Term {
		m.becomeFollower(message.Term, "")
	}
	canVote := m.hardState.Vote == "" || m.hardState.Vote == message.From
	granted := canVote && m.candidateUpToDate(message)
	if granted {
		m.hardState.Vote = message.From
		m.persistHardState()
		m.electionTimerStart = m.now
	}
	m.replyToVote(message, m.hardState.Term, granted)
}

// replyToPreVote replies with the requested term if it grants the pre-vote, and
// with this store's own term if it refuses: a refused pre-vote must not raise the
// candidate's term to the requested one.
func (m *Model) replyToPreVote(message Message) {
	if message.Term > m.hardState.Term && m.candidateUpToDate(message) {
		m.replyToVote(message, message.Term, true)
		return
	}
	m.replyToVote(message, m.hardState.Term, false)
}

// leaderRecentlyHeard reports whether this store leads or has heard from a leader
// within the shortest election timeout. Such a store takes no part in an election,
// so a store that returns from a long isolation cannot unseat the leader.
func (m *Model) leaderRecentlyHeard() bool {
	if m.role == Leader {
		return true
	}
	return m.leader != "" && m.now.Sub(m.electionTimerStart) < m.electionTimeout
}

// candidateUpToDate reports whether the candidate's log is at least as up to date
// as this store's.
func (m *Model) candidateUpToDate(message Message) bool {
	if message.LogTerm != m.log.lastTerm() {
		return message.LogTerm > m.log.lastTerm()
	}
	return message.LogIndex >= m.log.lastIndex()
}

func (m *Model) replyToVote(message Message, term Term, granted bool) {
	kind := MessageVoteReply
	if message.Kind == MessagePreVote {
		kind = MessagePreVoteReply
	}
	m.send(Message{Kind: kind, To: message.From, Term: term, Granted: granted})
}

func (m *Model) receivePreVoteReply(message Message) {
	if !message.Granted {
		if message.Term > m.hardState.Term {
			m.becomeFollower(message.Term, "")
		}
		return
	}
	expected := m.role == Candidate && m.preVote && message.Term == m.hardState.Term+1
	if !expected {
		return
	}
	m.grantedVotes[message.From] = true
	m.countVotes()
}

func (m *Model) receiveVoteReply(message Message) {
	expected := m.role == Candidate && !m.preVote && message.Granted
	if !expected {
		return
	}
	m.grantedVotes[message.From] = true
	m.countVotes()
}

// receiveTimeoutNow starts an election at once, because the leader is transferring
// its leadership to this store.
func (m *Model) receiveTimeoutNow() {
	if m.isVoter() {
		m.campaign(false, true)
	}
}

// transferLeadership begins to transfer the leadership to the voter with the most
// complete log among those that replied within an election timeout.
func (m *Model) transferLeadership() {
	if m.role != Leader {
		return
	}
	var best StoreID
	for _, voter := range m.voters() {
		peer := m.progressByStore[voter]
		if voter == m.id || peer == nil || m.now.Sub(peer.lastContact) > m.electionTimeout {
			continue
		}
		if best == "" || peer.matchIndex > m.progressByStore[best].matchIndex {
			best = voter
		}
	}
	if best == "" {
		return
	}
	m.transferTarget = best
	m.transferStarted = m.now
	m.tryTransfer()
}

// tryTransfer completes a transfer of leadership if the target has the whole log,
// and sends the target the missing entries otherwise.
func (m *Model) tryTransfer() {
	peer := m.progressByStore[m.transferTarget]
	if m.transferTarget == "" || peer == nil {
		return
	}
	if peer.matchIndex == m.log.lastIndex() {
		m.send(Message{Kind: MessageTimeoutNow, To: m.transferTarget})
		return
	}
	m.sendAppend(m.transferTarget)
}
