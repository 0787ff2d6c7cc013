package keeper

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/orderer"
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/tabler"
)

// command is one entry of the control group's log. Exactly one of its fields is
// set.
type command struct {
	Table  *tabler.Command  `cbor:"table,omitempty"`
	Ledger *granter.Command `cbor:"ledger,omitempty"`
	// Order changes no state. It takes a place in the log because the index of
	// the entry is the order's fencing number.
	Order *orderer.Order `cbor:"order,omitempty"`
	// After is set on a drain: the revision of the instance's last one, which the leader
	// checks before it appends the command. It is nil in those of earlier releases.
	After *replicator.Index `cbor:"after,omitempty"`
}

// controlStateMachine is the state that the control group replicates: the tables
// with the keys, and the ledger of rate grants. It is safe for concurrent use.
type controlStateMachine struct {
	mu           sync.RWMutex
	state        tabler.State
	ledger       granter.Ledger
	appliedIndex uint64
	// drainRevisions holds, by instance, the index of the last entry that set whether it
	// is draining.
	drainRevisions map[string]replicator.Index
}

// controlSnapshot is the encoded form of a controlStateMachine.
type controlSnapshot struct {
	State  tabler.State   `cbor:"state"`
	Ledger granter.Ledger `cbor:"ledger"`
	Index  uint64         `cbor:"index"`

	DrainRevisions map[string]replicator.Index `cbor:"drain-revisions,omitempty"`
}

// Apply implements [replicator.StateMachine]. The outcome is a fencingNumber for
// an order and a tabler.Result for everything else.
func (m *controlStateMachine) Apply(index replicator.Index, data []byte) any {
	var c command
	if err := decoder.Stored(data, &c); err != nil {
		klog.ErrorS(err, "cannot decode log entry of the control group", "index", index)
		return tabler.Result{Refusal: tabler.RefusalInvalid, Detail: "entry not understood"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appliedIndex = uint64(index)
	if c.Ledger != nil {
		m.ledger.Apply(m.appliedIndex, *c.Ledger)
		return tabler.Result{Revision: m.state.Revision}
	}
	if c.Order != nil {
		return fencingNumber(index)
	}
	if c.Table == nil {
		return tabler.Result{Refusal: tabler.RefusalInvalid, Detail: "empty entry"}
	}
	if drain := c.Table.Drain; drain != nil {
		if m.drainRevisions == nil {
			m.drainRevisions = map[string]replicator.Index{}
		}
		m.drainRevisions[drain.Name] = index
	}
	result := m.state.Apply(*c.Table)
	if c.Table.Edit != nil && result.Refusal == "" {
		m.setWorkspaceTotals(*c.Table.Edit)
	}
	return result
}

// setWorkspaceTotals copies the rates and bursts that an edit sets into the
// ledger. The total of a removed workspace becomes zero, so that its grants are
// taken back.
func (m *controlStateMachine) setWorkspaceTotals(edit tabler.Edit) {
	for _, workspace := range edit.Put.Workspaces {
		m.ledger.SetTotal(workspace.Name, granter.FromTokens(workspace.Rate, workspace.Burst))
	}
	for _, name := range edit.Remove {
		if name.Kind == tabler.KindWorkspace {
			m.ledger.SetTotal(name.Name, granter.Quota{})
		}
	}
}

// Snapshot implements [replicator.StateMachine].
func (m *controlStateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	data, err := cbor.Marshal(controlSnapshot{State: m.state, Ledger: m.ledger, Index: m.appliedIndex, DrainRevisions: m.drainRevisions})
	return data, trace.Wrap(err)
}

// Restore implements [replicator.StateMachine]. Empty data is the empty state.
func (m *controlStateMachine) Restore(data []byte) error {
	var snapshot controlSnapshot
	if len(data) > 0 {
		if err := decoder.Stored(data, &snapshot); err != nil {
			return trace.Wrap(err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = snapshot.State
	m.ledger = snapshot.Ledger
	m.appliedIndex = snapshot.Index
	m.drainRevisions = snapshot.DrainRevisions
	return nil
}

// isOutdated reports whether an instance has been drained or put back since a command was
// given. One that is sent again is not outdated: it gets its first result.
func (m *controlStateMachine) isOutdated(c command) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.drainRevisions[c.Table.Drain.Name] != *c.After && !m.state.HasResult(c.Table.ChangeID)
}

// view calls read with the state and the index of the last applied entry, under
// a read lock. The function must neither change nor retain what it is given.
func (m *controlStateMachine) view(read func(state *tabler.State, ledger *granter.Ledger, index uint64)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(&m.state, &m.ledger, m.appliedIndex)
}

// claimStateMachine is the state that a claim group replicates: the idempotency
// claims of one region.
type claimStateMachine struct {
	claims claimer.Claims
}

// Apply implements [replicator.StateMachine]. The outcome is a claimer.Outcome.
func (m *claimStateMachine) Apply(index replicator.Index, data []byte) any {
	var c claimer.Command
	if err := decoder.Stored(data, &c); err != nil {
		klog.ErrorS(err, "cannot decode log entry of the claim group", "index", index)
		return claimer.Outcome{Phase: claimer.PhaseUnknown}
	}
	return m.claims.Apply(c)
}

// Snapshot implements [replicator.StateMachine].
func (m *claimStateMachine) Snapshot() ([]byte, error) {
	return m.claims.Snapshot()
}

// Restore implements [replicator.StateMachine]. Empty data is the empty state.
func (m *claimStateMachine) Restore(data []byte) error {
	if len(data) == 0 {
		m.claims = claimer.Claims{}
		return nil
	}
	return m.claims.Restore(data)
}
