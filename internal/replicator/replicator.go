// Package replicator replicates a log over a small group of stores. A store is
// one member's copy of the log on one disk.
//
// A [Model] is the protocol of one store as a state machine: it takes a message
// and the time, and returns commands. It owns no goroutine, socket, disk or
// clock. A [Group] performs the commands in the order given, so that persisted
// records are synced before any message that depends on them is sent.
//
// The protocol is Raft with pre-vote and check-quorum. A store that lost its
// disk comes back under a new identity and has no vote until it is readmitted.
package replicator

import (
	"errors"
)

// Index is a position in the log. The first entry has index 1.
type Index uint64

// Term numbers the periods of leadership; each term has at most one leader.
type Term uint64

// StoreID identifies a store by the contents of its disk. A store that starts
// with an empty disk gets a new ID.
type StoreID string

// Errors of proposals, reads and membership changes.
var (
	// ErrNotLeader means that this store does not lead or is transferring its
	// leadership. Another store may lead, or none.
	ErrNotLeader = errors.New("not the leader")
	// ErrOutcomeUnknown means that the outcome is unknown: the leadership, the
	// group or the caller's context ended before there was an answer.
	ErrOutcomeUnknown = errors.New("outcome unknown: leadership was lost")
	// ErrMembershipChanging means that an earlier membership change is still
	// under way.
	ErrMembershipChanging = errors.New("a change of members is under way")
	// ErrMembershipRefused means that the membership change is not allowed with
	// the current members.
	ErrMembershipRefused = errors.New("change of members not allowed")
)

// Member is a store that belongs to the group. Name stays the same when the
// store is replaced. Only voters count towards a quorum.
type Member struct {
	Name  string  `cbor:"name" json:"name"`
	Store StoreID `cbor:"store" json:"store"`
	Voter bool    `cbor:"voter" json:"voter"`
}

// Kind is the purpose of a log entry.
type Kind uint8

// The kinds of log entry: data for the state machine, a new list of members,
// and the empty entry that begins a leadership.
const (
	KindData Kind = iota
	KindMembers
	KindNoop
)

// Entry is one record of the log.
type Entry struct {
	Index Index  `cbor:"i"`
	Term  Term   `cbor:"t"`
	Kind  Kind   `cbor:"k"`
	Data  []byte `cbor:"d"`
	// Members is set on entries of KindMembers.
	Members []Member `cbor:"m,omitempty"`
}

// HardState is the protocol state that must survive a crash.
type HardState struct {
	Term Term    `cbor:"term"`
	Vote StoreID `cbor:"vote"`
	// Commit is the index of the last entry known to be committed. After a
	// restart the store applies all entries up to it at once, before there is
	// a leader.
	Commit Index `cbor:"commit,omitempty"`
}

// Snapshot replaces all entries up to and including Index. Data is the encoded
// state machine.
type Snapshot struct {
	Index   Index    `cbor:"index"`
	Term    Term     `cbor:"term"`
	Members []Member `cbor:"members"`
	Data    []byte   `cbor:"data"`
}

// Msg is an input of the [Model].
type Msg interface{ isMsg() }

// Tick makes the model check its time-outs.
type Tick struct{}

// Propose asks the leader to append data. The model answers with a [Proposed]
// that has the same ID.
type Propose struct {
	ID   uint64
	Data []byte
	// Term, unless 0, is the only term in which the data may be appended.
	Term Term
}

// Read asks the leader for an index that covers every entry committed before
// the read. The model answers with a [ReadReady] that has the same ID.
type Read struct{ ID uint64 }

// Admit adds a store to the members. It replaces the store that is a member
// under the same name, if there is one. The model answers with a [Proposed]
// that has the same ID.
type Admit struct {
	ID    uint64
	Name  string
	Store StoreID
}

// TransferLeadership asks the leader to pass its leadership to another voter.
type TransferLeadership struct{}

// Compacted tells the model to drop the entries that a snapshot covers.
type Compacted struct{ Snapshot Snapshot }

// Received passes on a message from another store.
type Received struct{ Message Message }

func (Tick) isMsg()               {}
func (Propose) isMsg()            {}
func (Read) isMsg()               {}
func (Admit) isMsg()              {}
func (TransferLeadership) isMsg() {}
func (Compacted) isMsg()          {}
func (Received) isMsg()           {}

// Cmd is an output of the [Model]. Commands must be performed in order.
type Cmd interface{ isCmd() }

// Persist is a record that must be synced to disk before the commands after it
// are performed. Entries replace all stored entries from the index of the first
// one on.
type Persist struct {
	State    *HardState `cbor:"s,omitempty"`
	Entries  []Entry    `cbor:"e,omitempty"`
	Snapshot *Snapshot  `cbor:"n,omitempty"`
}

// Send sends a message to another store. The message may be lost.
type Send struct{ Message Message }

// Apply passes committed entries to the state machine, in order and each once.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine's contents by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Proposed answers a [Propose] or [Admit] with the entry's index and term, or
// with an error. The entry is not committed yet.
type Proposed struct {
	ID    uint64
	Index Index
	Term  Term
	Err   error
}

// ReadReady answers a [Read]: the state at Index reflects every entry committed
// before the read.
type ReadReady struct {
	ID    uint64
	Index Index
	Err   error
}

func (Persist) isCmd()   {}
func (Send) isCmd()      {}
func (Apply) isCmd()     {}
func (Restore) isCmd()   {}
func (Proposed) isCmd()  {}
func (ReadReady) isCmd() {}

// MessageKind is the purpose of a message between stores.
type MessageKind uint8

// The kinds of message.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageTimeoutNow
)

// Message is sent from one store to another.
type Message struct {
	Kind MessageKind `cbor:"k"`
	From StoreID     `cbor:"f"`
	To   StoreID     `cbor:"o"`
	Term Term        `cbor:"t"`
	// LogIndex and LogTerm identify the candidate's last entry in vote requests,
	// and the entry before Entries in appends.
	LogIndex Index    `cbor:"i,omitempty"`
	LogTerm  Term     `cbor:"l,omitempty"`
	Entries  []Entry  `cbor:"e,omitempty"`
	Commit   Index    `cbor:"c,omitempty"`
	Snapshot Snapshot `cbor:"s,omitzero"`
	// Granted is set in replies that grant a vote or accept an append.
	Granted bool `cbor:"g,omitempty"`
	// Match is the index of the last entry that the follower is known to share
	// with the leader or, if Granted is false, the index to try next.
	Match Index `cbor:"m,omitempty"`
	// Round is the number of the leader's broadcast; followers return it in their
	// replies.
	Round uint64 `cbor:"r,omitempty"`
	// Force tells voters that the previous leader asked for this election, so
	// that they vote even though they have heard from it recently.
	Force bool `cbor:"x,omitempty"`
}
