// Package replicator keeps a log in agreement over a few stores.
//
// The one idea: a [Model] takes a message and the time, and returns commands.
// It owns no goroutine, socket, disk or clock. A [Group] performs the commands
// in the order given, so that what is persisted is synced before anything that
// depends on it is sent.
//
// The protocol is leader-based with terms, pre-vote and check-quorum. A store
// that lost its disk comes back under a new identity and has no vote until it
// is readmitted.
package replicator

import (
	"errors"
)

// Index is a position in the log. The first entry has index 1.
type Index uint64

// Term numbers leaderships.
type Term uint64

// StoreID identifies one disk's contents. A new disk has a new one.
type StoreID string

// Errors of proposals and reads.
var (
	// ErrNotLeader means that another store leads, or none does.
	ErrNotLeader = errors.New("not the leader")
	// ErrLost means that the leadership ended before the outcome was known.
	ErrLost = errors.New("outcome unknown: leadership was lost")
	// ErrBusy means that a change of members is still under way.
	ErrBusy = errors.New("a change of members is under way")
	// ErrMember means that a change of members is not allowed as it stands.
	ErrMember = errors.New("change of members not allowed")
)

// Member is a store of the group.
type Member struct {
	Name  string  `cbor:"name" json:"name"`
	Store StoreID `cbor:"store" json:"store"`
	Voter bool    `cbor:"voter" json:"voter"`
}

// Kind tells what an entry is for.
type Kind uint8

// The kinds of entry.
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

// HardState must survive a crash.
type HardState struct {
	Term Term    `cbor:"term"`
	Vote StoreID `cbor:"vote"`
	// Commit is the last entry that is known to be accepted. A store that starts
	// again shows the state up to it at once, before there is a leader.
	Commit Index `cbor:"commit,omitempty"`
}

// Snapshot stands for all entries up to an index.
type Snapshot struct {
	Index   Index    `cbor:"index"`
	Term    Term     `cbor:"term"`
	Members []Member `cbor:"members"`
	Data    []byte   `cbor:"data"`
}

// Msg is an input of the model.
type Msg interface{ isMsg() }

// Tick tells the model the time.
type Tick struct{}

// Propose asks the leader to append data. ID is answered by Proposed.
type Propose struct {
	ID   uint64
	Data []byte
	// Term, unless 0, is the only leadership in which the data may be
	// appended.
	Term Term
}

// Read asks for a point that reflects all that was accepted before.
type Read struct{ ID uint64 }

// Admit changes the members by one: it replaces the store of a name.
type Admit struct {
	ID    uint64
	Name  string
	Store StoreID
}

// Transfer asks the leader to hand its leadership on.
type Transfer struct{}

// Compacted tells the model that a snapshot is on the disk.
type Compacted struct{ Snapshot Snapshot }

// Received is a message from another store.
type Received struct{ Message Message }

func (Tick) isMsg()      {}
func (Propose) isMsg()   {}
func (Read) isMsg()      {}
func (Admit) isMsg()     {}
func (Transfer) isMsg()  {}
func (Compacted) isMsg() {}
func (Received) isMsg()  {}

// Cmd is an output of the model. Commands are performed in order.
type Cmd interface{ isCmd() }

// Persist must be synced before the commands after it. Entries replace all
// from the index of the first.
type Persist struct {
	State    *HardState `cbor:"s,omitempty"`
	Entries  []Entry    `cbor:"e,omitempty"`
	Snapshot *Snapshot  `cbor:"n,omitempty"`
}

// Send goes to another store. It may be lost.
type Send struct{ Message Message }

// Apply hands accepted entries to the state machine, in order, once.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Proposed answers a proposal with its place in the log, or with an error.
type Proposed struct {
	ID    uint64
	Index Index
	Term  Term
	Err   error
}

// ReadReady answers a read: the state at Index reflects all accepted before.
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

// MessageKind tells what a message between stores is for.
type MessageKind uint8

// The kinds of message.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoted
	MessageVote
	MessageVoted
	MessageAppend
	MessageAppended
	MessageSnapshot
	MessageTimeoutNow
)

// Message goes between two stores.
type Message struct {
	Kind MessageKind `cbor:"k"`
	From StoreID     `cbor:"f"`
	To   StoreID     `cbor:"o"`
	Term Term        `cbor:"t"`
	// LogIndex and LogTerm are the sender's last entry in votes, and the
	// entry before Entries in appends.
	LogIndex Index    `cbor:"i,omitempty"`
	LogTerm  Term     `cbor:"l,omitempty"`
	Entries  []Entry  `cbor:"e,omitempty"`
	Commit   Index    `cbor:"c,omitempty"`
	Snapshot Snapshot `cbor:"s,omitzero"`
	// Granted answers votes and appends.
	Granted bool `cbor:"g,omitempty"`
	// Match is the last entry that a follower shares with the leader, or the
	// place to try next when Granted is false.
	Match Index `cbor:"m,omitempty"`
	// Round pairs answers with the leader's rounds of confirmation.
	Round uint64 `cbor:"r,omitempty"`
	// Force tells voters that the old leader asked for this election.
	Force bool `cbor:"x,omitempty"`
}
