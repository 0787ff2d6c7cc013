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
	stored := Stored{State: state, Snapshot: Founding(threeMembers), Entries: entries}
	return New("a", stored, WithSeed(1), WithClock(func() time.Time { return start }))
}

func sent(cmds []Cmd, kind MessageKind) []Message {
	var messages []Message
	for _, cmd := range cmds {
		if send, ok := cmd.(Send); ok && send.Message.Kind == kind {
			messages = append(messages, send.Message)
		}
	}
	return messages
}

// TestVotesAreRefusedWhileALeaderIsHeard keeps a store that returns from an
// isolation, with a log as long as any, from unseating the leader.
func TestVotesAreRefusedWhileALeaderIsHeard(t *testing.T) {
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
			assert.Equal(t, len(sent(cmds, MessageVoted)), test.granted)
		})
	}
}

// TestEarlierTermsAreNotCommittedAlone gives a new leader an entry of an old
// term that a quorum holds: it may still be overwritten, so it is accepted
// only together with an entry of the new term.
func TestEarlierTermsAreNotCommittedAlone(t *testing.T) {
	m := newTestModel(HardState{Term: 2}, Entry{Index: 2, Term: 2, Data: []byte("old")})
	m.campaign(false, false)
	m.Update(m.now, Received{Message: Message{Kind: MessageVoted, From: "b", To: "a", Term: 3, Granted: true}})
	assert.Equal(t, m.role, Leader)
	m.Update(m.now, Received{Message: Message{Kind: MessageAppended, From: "b", To: "a", Term: 3, Granted: true, Match: 2}})
	assert.Equal(t, m.commit, Index(1))
	m.Update(m.now, Received{Message: Message{Kind: MessageAppended, From: "b", To: "a", Term: 3, Granted: true, Match: 3}})
	assert.Equal(t, m.commit, Index(3))
}
