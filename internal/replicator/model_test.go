package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var threeMembers = []Member{
	{Name: "a", Store: "a", Voter: true},
	{Name: "b", Store: "b", Voter: true},
	{Name: "c", Store: "c", Voter: true},
}

func newTestModel(state HardState, entries ...Entry) *Model {
	start := time.Unix(1000, 0)
	stored := PersistedState{State: state, Snapshot: BootstrapSnapshot(threeMembers), Entries: entries}
	return New("a", stored, WithSeed(1), WithClock(func() time.Time { return start }))
}

func sentMessages(cmds []Cmd, kind MessageKind) []Message {
	var messages []Message
	for _, cmd := range cmds {
		if send, ok := cmd.(Send); ok && send.Message.Kind == kind {
			messages = append(messages, send.Message)
		}
	}
	return messages
}

// TestVoteRequestsAreIgnoredWhileLeaderIsActive guards against a store unseating
// the leader when it returns from isolation with a complete log.
func TestVoteRequestsAreIgnoredWhileLeaderIsActive(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
		force   bool
		granted int
	}{
		{name: "leader just heard", silence: DefaultElectionTimeout / 2, granted: 0},
		{name: "leader silent", silence: DefaultElectionTimeout, granted: 1},
		{name: "leader hands over", silence: 0, force: true, granted: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTestModel(HardState{Term: 2})
			m.Update(m.now, Received{Message: Message{Kind: MessageAppend, From: "b", To: "a", Term: 2, LogIndex: 1, LogTerm: 1}})
			cmds := m.Update(m.now.Add(test.silence), Received{Message: Message{
				Kind: MessageVote, From: "c", To: "a", Term: 3, LogIndex: 1, LogTerm: 1, Force: test.force,
			}})
			assert.Equal(t, len(sentMessages(cmds, MessageVoteReply)), test.granted)
		})
	}
}

// TestEntriesOfEarlierTermsAreNotCommittedAlone gives a new leader an entry of an
// earlier term that a quorum holds. It may still be overwritten, so it must be
// committed only together with an entry of the new term.
func TestEntriesOfEarlierTermsAreNotCommittedAlone(t *testing.T) {
	m := newTestModel(HardState{Term: 2}, Entry{Index: 2, Term: 2, Data: []byte("old")})
	m.campaign(false, false)
	m.Update(m.now, Received{Message: Message{Kind: MessageVoteReply, From: "b", To: "a", Term: 3, Granted: true}})
	assert.Equal(t, m.role, Leader)
	m.Update(m.now, Received{Message: Message{Kind: MessageAppendReply, From: "b", To: "a", Term: 3, Granted: true, Match: 2}})
	assert.Equal(t, m.commitIndex, Index(1))
	m.Update(m.now, Received{Message: Message{Kind: MessageAppendReply, From: "b", To: "a", Term: 3, Granted: true, Match: 3}})
	assert.Equal(t, m.commitIndex, Index(3))
}

// newLeader returns the model of store a with the given members: it leads term 3
// and has committed its first entry.
func newLeader(t *testing.T, members []Member) *Model {
	start := time.Unix(1000, 0)
	stored := PersistedState{State: HardState{Term: 2}, Snapshot: BootstrapSnapshot(members)}
	m := New("a", stored, WithSeed(1), WithClock(func() time.Time { return start }))
	m.campaign(false, false)
	m.Update(m.now, Received{Message: Message{Kind: MessageVoteReply, From: "b", To: "a", Term: 3, Granted: true}})
	m.Update(m.now, Received{Message: Message{Kind: MessageAppendReply, From: "b", To: "a", Term: 3, Granted: true, Match: 2, Round: m.round}})
	assert.Equal(t, m.role, Leader)
	assert.Equal(t, m.commitIndex, Index(2))
	return m
}

func countReadsReady(cmds []Cmd) int {
	count := 0
	for _, cmd := range cmds {
		if ready, ok := cmd.(ReadReady); ok && ready.Err == nil {
			count++
		}
	}
	return count
}

// TestReadsWaitForQuorumRound guards against stale reads from a leader that is cut
// off and may have been replaced: only a quorum of replies to a round that began
// after the read confirms that it still leads.
func TestReadsWaitForQuorumRound(t *testing.T) {
	m := newLeader(t, threeMembers)
	before := m.round
	assert.Equal(t, countReadsReady(m.Update(m.now, Read{ID: 1})), 0)
	old := Message{Kind: MessageAppendReply, From: "b", To: "a", Term: 3, Granted: true, Match: 2, Round: before}
	assert.Equal(t, countReadsReady(m.Update(m.now, Received{Message: old})), 0, "confirmed by an answer from before the read")
	fresh := old
	fresh.Round = m.round
	assert.Equal(t, countReadsReady(m.Update(m.now, Received{Message: fresh})), 1)
}

// TestMemberGetsVoteOnlyAfterCatchingUp checks that a new member has no vote until
// it has synced all committed entries.
func TestMemberGetsVoteOnlyAfterCatchingUp(t *testing.T) {
	m := newLeader(t, []Member{threeMembers[0], threeMembers[1], {Name: "c", Store: "c"}})
	voters := func() int { return len(m.voters()) }
	behind := Message{Kind: MessageAppendReply, From: "c", To: "a", Term: 3, Granted: true, Match: 1, Round: m.round}
	m.Update(m.now, Received{Message: behind})
	m.Update(m.now, Tick{})
	assert.Equal(t, voters(), 2, "got a vote before catching up")
	caughtUp := behind
	caughtUp.Match = 2
	m.Update(m.now, Received{Message: caughtUp})
	m.Update(m.now, Tick{})
	assert.Equal(t, voters(), 3)
}

// TestOneVotePerTerm asks a store for its vote twice in a term, and again after a
// restart from the state that it persisted.
func TestOneVotePerTerm(t *testing.T) {
	ask := func(m *Model, from StoreID) (granted bool, kept HardState) {
		cmds := m.Update(m.now, Received{Message: Message{Kind: MessageVote, From: from, To: "a", Term: 3, LogIndex: 1, LogTerm: 1}})
		for _, cmd := range cmds {
			if record, ok := cmd.(Persist); ok && record.State != nil {
				kept = *record.State
			}
		}
		answers := sentMessages(cmds, MessageVoteReply)
		return len(answers) == 1 && answers[0].Granted, kept
	}
	m := newTestModel(HardState{Term: 2})
	granted, kept := ask(m, "b")
	assert.Assert(t, granted)
	assert.Equal(t, kept, HardState{Term: 3, Vote: "b"})
	granted, _ = ask(m, "c")
	assert.Assert(t, !granted, "two votes in a term")
	restarted := newTestModel(kept)
	granted, _ = ask(restarted, "c")
	assert.Assert(t, !granted, "two votes in a term, before and after a restart")
	granted, _ = ask(restarted, "b")
	assert.Assert(t, granted, "repeated vote for the same candidate refused")
}
