package keeper

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/orderer"
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/tabler"
)

// command is one entry of the control group's log.
type command struct {
	Table  *tabler.Command  `cbor:"table,omitempty"`
	Ledger *granter.Command `cbor:"ledger,omitempty"`
	// Order only takes a place in the log: its index is its fencing number.
	Order *orderer.Order `cbor:"order,omitempty"`
}

// controlMachine is the state that the control group keeps: the tables and
// the ledger that divides the workspaces' rates.
type controlMachine struct {
	mu     sync.RWMutex
	state  tabler.State
	ledger granter.Ledger
	index  uint64
}

// controlSnapshot is the stored form of a controlMachine.
type controlSnapshot struct {
	State  tabler.State   `cbor:"state"`
	Ledger granter.Ledger `cbor:"ledger"`
	Index  uint64         `cbor:"index"`
}

// Apply implements replicator.Machine. The outcome is a tabler.Result, or an
// orderNumber.
func (m *controlMachine) Apply(index replicator.Index, data []byte) any {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		klog.ErrorS(err, "entry not understood", "index", index)
		return tabler.Result{Refusal: tabler.RefusalInvalid, Detail: "entry not understood"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = uint64(index)
	if c.Ledger != nil {
		m.ledger.Apply(m.index, *c.Ledger)
		return tabler.Result{Revision: m.state.Revision}
	}
	if c.Order != nil {
		return orderNumber(index)
	}
	if c.Table == nil {
		return tabler.Result{Refusal: tabler.RefusalInvalid, Detail: "empty entry"}
	}
	result := m.state.Apply(*c.Table)
	if c.Table.Edit != nil && result.Refusal == "" {
		m.setWholes(*c.Table.Edit)
	}
	return result
}

// setWholes tells the ledger the rates and bursts that an edit sets.
func (m *controlMachine) setWholes(edit tabler.Edit) {
	for _, workspace := range edit.Put.Workspaces {
		m.ledger.SetWhole(workspace.Name, granter.Tokens(workspace.Rate, workspace.Burst))
	}
	for _, name := range edit.Remove {
		if name.Kind == tabler.KindWorkspace {
			m.ledger.SetWhole(name.Name, granter.Amount{})
		}
	}
}

// Snapshot implements replicator.Machine.
func (m *controlMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	data, err := cbor.Marshal(controlSnapshot{State: m.state, Ledger: m.ledger, Index: m.index})
	return data, trace.Wrap(err)
}

// Restore implements replicator.Machine.
func (m *controlMachine) Restore(data []byte) error {
	var snapshot controlSnapshot
	if len(data) > 0 {
		if err := cbor.Unmarshal(data, &snapshot); err != nil {
			return trace.Wrap(err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = snapshot.State
	m.ledger = snapshot.Ledger
	m.index = snapshot.Index
	return nil
}

// view calls a function with the state, which it must not change or keep.
func (m *controlMachine) view(look func(state *tabler.State, ledger *granter.Ledger, index uint64)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	look(&m.state, &m.ledger, m.index)
}

// claimMachine is the state that a claim group keeps.
type claimMachine struct {
	claims claimer.Claims
}

// Apply implements replicator.Machine. The outcome is a claimer.Outcome.
func (m *claimMachine) Apply(index replicator.Index, data []byte) any {
	var c claimer.Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		klog.ErrorS(err, "entry not understood", "index", index)
		return claimer.Outcome{Phase: claimer.PhaseUnknown}
	}
	return m.claims.Apply(c)
}

// Snapshot implements replicator.Machine.
func (m *claimMachine) Snapshot() ([]byte, error) {
	return m.claims.Snapshot()
}

// Restore implements replicator.Machine.
func (m *claimMachine) Restore(data []byte) error {
	if len(data) == 0 {
		m.claims = claimer.Claims{}
		return nil
	}
	return m.claims.Restore(data)
}
