package replicator

// campaign starts an election. A pre-vote asks whether it could be won and
// disturbs nobody: no term changes until a quorum has said yes.
func (m *Model) campaign(preVote, force bool) {
	m.role = Candidate
	m.leader = ""
	m.preVote = preVote
	m.heard = m.now
	m.drawTimeout()
	m.votes = map[StoreID]bool{m.id: true}
	term := m.state.Term + 1
	kind := MessagePreVote
	if !preVote {
		kind = MessageVote
		m.state.Term, m.state.Vote = term, m.id
		m.persistState()
	}
	for _, voter := range m.voters() {
		if voter == m.id {
			continue
		}
		m.send(Message{
			Kind: kind, To: voter, Term: term, Force: force,
			LogIndex: m.log.last(), LogTerm: m.log.lastTerm(),
		})
	}
	m.countVotes()
}

func (m *Model) countVotes() {
	if !m.quorum(func(store StoreID) bool { return m.votes[store] }) {
		return
	}
	if m.preVote {
		m.campaign(false, false)
		return
	}
	m.lead()
}

// receive handles a message from another store. Messages from stores that are
// not members are heard only when they are a leader's: a new member learns of
// its membership that way.
func (m *Model) receive(message Message) {
	if message.To != m.id {
		return
	}
	if !m.member(message.From) && !fromLeader(message.Kind) {
		return
	}
	switch message.Kind {
	case MessagePreVote, MessageVote:
		m.receiveVote(message)
		return
	case MessagePreVoted:
		m.receivePreVoted(message)
		return
	}
	if message.Term < m.state.Term {
		m.rejectStale(message)
		return
	}
	if message.Term > m.state.Term {
		m.follow(message.Term, "")
	}
	switch message.Kind {
	case MessageVoted:
		m.receiveVoted(message)
	case MessageAppend:
		m.receiveAppend(message)
	case MessageAppended:
		m.receiveAppended(message)
	case MessageSnapshot:
		m.receiveSnapshot(message)
	case MessageTimeoutNow:
		m.receiveTimeoutNow()
	}
}

func fromLeader(kind MessageKind) bool {
	return kind == MessageAppend || kind == MessageSnapshot
}

// rejectStale tells an old leader the term, so that it steps down.
func (m *Model) rejectStale(message Message) {
	if fromLeader(message.Kind) {
		m.send(Message{Kind: MessageAppended, To: message.From})
	}
}

// follow moves to a term as a follower.
func (m *Model) follow(term Term, leader StoreID) {
	if term > m.state.Term {
		m.state.Term, m.state.Vote = term, ""
		m.persistState()
	}
	if m.role == Leader {
		m.failReads(ErrLost)
	}
	m.role = Follower
	m.leader = leader
	m.votes = nil
	m.transfer = ""
}

func (m *Model) receiveVote(message Message) {
	preVote := message.Kind == MessagePreVote
	if !m.mayVote() {
		return
	}
	if m.leaderAlive() && !message.Force {
		return
	}
	if message.Term < m.state.Term {
		m.answerVote(message, m.state.Term, false)
		return
	}
	if preVote {
		m.answerPreVote(message)
		return
	}
	if message.Term > m.state.Term {
		m.follow(message.Term, "")
	}
	free := m.state.Vote == "" || m.state.Vote == message.From
	granted := free && m.upToDate(message)
	if granted {
		m.state.Vote = message.From
		m.persistState()
		m.heard = m.now
	}
	m.answerVote(message, m.state.Term, granted)
}

// answerPreVote grants the term that was asked for, or refuses with this
// store's own: a refused pre-vote must raise no term.
func (m *Model) answerPreVote(message Message) {
	if message.Term > m.state.Term && m.upToDate(message) {
		m.answerVote(message, message.Term, true)
		return
	}
	m.answerVote(message, m.state.Term, false)
}

// leaderAlive reports whether a leader was heard within the shortest election
// timeout. Such a store refuses to elect another: a store that returns from a
// long isolation disturbs nobody.
func (m *Model) leaderAlive() bool {
	if m.role == Leader {
		return true
	}
	return m.leader != "" && m.now.Sub(m.heard) < m.election
}

func (m *Model) upToDate(message Message) bool {
	if message.LogTerm != m.log.lastTerm() {
		return message.LogTerm > m.log.lastTerm()
	}
	return message.LogIndex >= m.log.last()
}

func (m *Model) answerVote(message Message, term Term, granted bool) {
	kind := MessageVoted
	if message.Kind == MessagePreVote {
		kind = MessagePreVoted
	}
	m.send(Message{Kind: kind, To: message.From, Term: term, Granted: granted})
}

func (m *Model) receivePreVoted(message Message) {
	if !message.Granted {
		if message.Term > m.state.Term {
			m.follow(message.Term, "")
		}
		return
	}
	expected := m.role == Candidate && m.preVote && message.Term == m.state.Term+1
	if !expected {
		return
	}
	m.votes[message.From] = true
	m.countVotes()
}

func (m *Model) receiveVoted(message Message) {
	expected := m.role == Candidate && !m.preVote && message.Granted
	if !expected {
		return
	}
	m.votes[message.From] = true
	m.countVotes()
}

func (m *Model) receiveTimeoutNow() {
	if m.mayVote() {
		m.campaign(false, true)
	}
}

// handOver asks the follower that has most of the log to take the lead.
func (m *Model) handOver() {
	if m.role != Leader {
		return
	}
	var best StoreID
	for _, voter := range m.voters() {
		peer := m.peers[voter]
		if voter == m.id || peer == nil || m.now.Sub(peer.answered) > m.election {
			continue
		}
		if best == "" || peer.match > m.peers[best].match {
			best = voter
		}
	}
	if best == "" {
		return
	}
	m.transfer = best
	m.transferred = m.now
	m.tryTransfer()
}

// tryTransfer completes a hand-over once the chosen store has the whole log.
func (m *Model) tryTransfer() {
	peer := m.peers[m.transfer]
	if m.transfer == "" || peer == nil {
		return
	}
	if peer.match == m.log.last() {
		m.send(Message{Kind: MessageTimeoutNow, To: m.transfer})
		return
	}
	m.appendTo(m.transfer)
}
