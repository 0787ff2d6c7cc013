package replicator

import (
	"math/rand/v2"
	"time"
)

// Role is what a store does in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}

// Default times. An election timeout is drawn between one and two times
// ElectionTimeout.
const (
	DefaultElectionTimeout = 1200 * time.Millisecond
	DefaultHeartbeat       = 200 * time.Millisecond
	// maxAppendEntries bounds the entries of one message.
	maxAppendEntries = 256
)

// Model decides for one store of one group.
type Model struct {
	id        StoreID
	random    *rand.Rand
	clock     func() time.Time
	election  time.Duration
	heartbeat time.Duration
	// target is how many voters the leader aims at; 0 gives every store that
	// has caught up a vote.
	target int

	now     time.Time
	role    Role
	leader  StoreID
	state   HardState
	log     log
	commit  Index
	applied Index

	// heard is when a leader of this term, or a granted vote, was last seen.
	heard   time.Time
	timeout time.Duration
	// votes are the answers to this store's own election.
	votes   map[StoreID]bool
	preVote bool

	peers    map[StoreID]*progress
	round    uint64
	beat     time.Time
	reads    []pendingRead
	transfer StoreID
	// transferred is when the hand-over to the transfer store began.
	transferred time.Time

	cmds []Cmd
}

// progress is what a leader knows of a follower.
type progress struct {
	next  Index
	match Index
	round uint64
	// answered is when the follower last spoke in this term.
	answered time.Time
	// paused is when a snapshot was sent; it is not sent again at once.
	paused time.Time
}

type pendingRead struct {
	id    uint64
	index Index
	round uint64
}

// Option sets up a model.
type Option func(*Model)

// WithElectionTimeout sets the shortest election timeout, and a heartbeat of
// a sixth of it.
func WithElectionTimeout(timeout time.Duration) Option {
	return func(m *Model) {
		m.election = timeout
		m.heartbeat = timeout / 6
	}
}

// WithVoters lets the leader manage the members by itself: it aims at a number
// of voters, keeps further stores as standbys, and lets a standby take the
// place of a voter that has fallen silent.
func WithVoters(target int) Option {
	return func(m *Model) { m.target = target }
}

// WithSeed makes the election timeouts repeatable.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithClock sets where a group reads the time.
func WithClock(clock func() time.Time) Option {
	return func(m *Model) { m.clock = clock }
}

// Stored is what a store's disk held at start.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// New returns the model of a store that starts with what its disk held. A
// store without members waits until it is founded or readmitted.
func New(id StoreID, stored Stored, options ...Option) *Model {
	m := &Model{
		id:        id,
		clock:     time.Now,
		election:  DefaultElectionTimeout,
		heartbeat: DefaultHeartbeat,
		state:     stored.State,
		log:       log{snapshot: stored.Snapshot, entries: stored.Entries},
		commit:    stored.Snapshot.Index,
		applied:   stored.Snapshot.Index,
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(m)
	}
	m.commit = min(max(m.commit, stored.State.Commit), m.log.last())
	m.applied = m.commit
	m.now = m.clock()
	m.heard = m.now
	m.drawTimeout()
	m.timeout /= 2 // most likely all stores have just started
	return m
}

// Update takes one message and returns the commands that follow from it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if now.After(m.now) {
		m.now = now
	}
	m.cmds = nil
	switch msg := msg.(type) {
	case Tick:
		m.tick()
	case Propose:
		m.propose(msg)
	case Read:
		m.read(msg)
	case Admit:
		m.admit(msg)
	case Transfer:
		m.handOver()
	case Compacted:
		m.log.compact(msg.Snapshot)
	case Received:
		m.receive(msg.Message)
	}
	return m.cmds
}

// Status is a view of the model for reports.
type Status struct {
	Store   StoreID
	Role    Role
	Term    Term
	Leader  StoreID
	Commit  Index
	Applied Index
	Last    Index
	First   Index
	Members []Member
}

// Status returns a view of the model.
func (m *Model) Status() Status {
	members, _ := m.log.members()
	return Status{
		Store: m.id, Role: m.role, Term: m.state.Term, Leader: m.leader,
		Commit: m.commit, Applied: m.applied, Last: m.log.last(),
		First: m.log.snapshot.Index + 1, Members: members,
	}
}

// Accepted returns the entries after the snapshot that are known to be accepted.
func (m *Model) Accepted() []Entry {
	return m.log.slice(m.log.snapshot.Index, m.commit)
}

// Snapshot returns a snapshot of all that was applied, with the state
// machine's data.
func (m *Model) Snapshot(data []byte) Snapshot {
	term, _ := m.log.term(m.applied)
	return Snapshot{Index: m.applied, Term: term, Members: m.log.membersAt(m.applied), Data: data}
}

// Stored returns what the disk must hold after a compaction.
func (m *Model) Stored() Stored {
	return Stored{State: m.state, Snapshot: m.log.snapshot, Entries: m.log.entries}
}

func (m *Model) emit(cmd Cmd) {
	m.cmds = append(m.cmds, cmd)
}

func (m *Model) send(message Message) {
	message.From = m.id
	if message.Term == 0 {
		message.Term = m.state.Term
	}
	m.emit(Send{Message: message})
}

func (m *Model) persistState() {
	state := m.state
	m.emit(Persist{State: &state})
}

func (m *Model) drawTimeout() {
	m.timeout = m.election + time.Duration(m.random.Int64N(int64(m.election)))
}

func (m *Model) tick() {
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.now.Sub(m.heard) >= m.timeout && m.mayVote() {
		m.campaign(true, false)
	}
}

// voters returns the stores that count towards a quorum.
func (m *Model) voters() []StoreID {
	members, _ := m.log.members()
	var voters []StoreID
	for _, member := range members {
		if member.Voter {
			voters = append(voters, member.Store)
		}
	}
	return voters
}

// mayVote reports whether this store has a vote in the newest members.
func (m *Model) mayVote() bool {
	for _, voter := range m.voters() {
		if voter == m.id {
			return true
		}
	}
	return false
}

func (m *Model) member(store StoreID) bool {
	members, _ := m.log.members()
	for _, member := range members {
		if member.Store == store {
			return true
		}
	}
	return false
}

// quorum reports whether more than half of the voters satisfy a condition.
func (m *Model) quorum(holds func(StoreID) bool) bool {
	voters := m.voters()
	count := 0
	for _, voter := range voters {
		if holds(voter) {
			count++
		}
	}
	return len(voters) > 0 && 2*count > len(voters)
}
