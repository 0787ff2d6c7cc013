package controller

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/compressor"
	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/replicator"
)

// command is one log entry. Exactly one of its fields is set.
type command struct {
	Define      *defineCommand `cbor:"d,omitempty"`
	CloseDomain *closeCommand  `cbor:"c,omitempty"`
}

func encodeCommand(c command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, trace.Wrap(err)
}

// defineCommand replaces the definition. It has no effect unless its version is
// higher than the current one.
type defineCommand struct {
	Version  definer.Version `cbor:"v"`
	Document []byte          `cbor:"d"`
}

// closeCommand closes a failure domain, so that its servers get no requests, or
// opens it again.
type closeCommand struct {
	FailureDomain string `cbor:"f"`
	Closed        bool   `cbor:"c"`
	// After is the revision of the order before it, as its operator was told. The
	// leader checks it before it appends the command; the state machine does not, so
	// that all releases apply the same commands. It is nil in those of earlier releases.
	After *replicator.Index `cbor:"a,omitempty"`
}

// commandResult is the state machine's answer to a command.
type commandResult struct {
	// Index is the index of the last log entry that changed the state.
	Index replicator.Index `cbor:"i"`
	// Version is the version of the definition after the command.
	Version definer.Version `cbor:"v"`
}

// State is the replicated state that entry instances must follow.
type State struct {
	// Index is the index of the last log entry that changed the state.
	Index replicator.Index `cbor:"i"`
	// Version is the version of the definition, and Document its text as the
	// operator sent it. Before the first definition they are 0 and nil.
	Version  definer.Version `cbor:"v"`
	Document []byte          `cbor:"d,omitempty"`
	// ClosedDomains lists the failure domains whose servers get no requests,
	// sorted.
	ClosedDomains []string `cbor:"c,omitempty"`
}

// stateMachine holds the replicated state and applies log entries to it. It is
// safe for concurrent use.
type stateMachine struct {
	mu            sync.RWMutex
	index         replicator.Index
	version       definer.Version
	document      []byte
	closedDomains map[string]bool
	// orderRevisions holds, by failure domain, the index of the last order to close it
	// or to open it.
	orderRevisions map[string]replicator.Index
	// changedAt holds, by failure domain, when this process last closed it or opened it.
	changedAt map[string]time.Time
}

// snapshot is the encoded form of the state machine.
type snapshot struct {
	State
	OrderRevisions map[string]replicator.Index `cbor:"o,omitempty"`
}

// Apply implements replicator.StateMachine. It returns a commandResult. An entry
// that cannot be decoded changes nothing.
func (m *stateMachine) Apply(index replicator.Index, data []byte) any {
	var c command
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := decoder.Stored(data, &c); err != nil {
		klog.ErrorS(err, "cannot decode log entry", "index", index)
		return commandResult{Index: m.index, Version: m.version}
	}
	switch {
	case c.Define != nil && c.Define.Version > m.version:
		m.version, m.document = c.Define.Version, c.Define.Document
		m.index = index
		klog.InfoS("definition accepted", "version", m.version, "hash", compressor.HashName(m.document), "index", index)
	case c.CloseDomain != nil:
		m.setDomainClosed(index, *c.CloseDomain)
	}
	return commandResult{Index: m.index, Version: m.version}
}

// setDomainClosed carries out an order. One that changes nothing has a revision too, so
// that older ones are outdated from then on.
func (m *stateMachine) setDomainClosed(index replicator.Index, c closeCommand) {
	if m.orderRevisions == nil {
		m.orderRevisions = map[string]replicator.Index{}
	}
	m.orderRevisions[c.FailureDomain] = index
	if m.closedDomains[c.FailureDomain] == c.Closed {
		return
	}
	if m.closedDomains == nil {
		m.closedDomains = map[string]bool{}
	}
	if c.Closed {
		m.closedDomains[c.FailureDomain] = true
	} else {
		delete(m.closedDomains, c.FailureDomain)
	}
	m.index = index
	if m.changedAt == nil {
		m.changedAt = map[string]time.Time{}
	}
	m.changedAt[c.FailureDomain] = time.Now()
	klog.InfoS("failure domain changed", "failure-domain", c.FailureDomain, "closed", c.Closed, "index", index)
}

// lastOrder returns the last order for a failure domain. Before the first one it is open.
func (m *stateMachine) lastOrder(failureDomain string) domainOrder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return domainOrder{revision: m.orderRevisions[failureDomain], closed: m.closedDomains[failureDomain], changedAt: m.changedAt[failureDomain]}
}

// state returns the current state. The caller must not modify its document.
func (m *stateMachine) state() State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return State{
		Index: m.index, Version: m.version, Document: m.document,
		ClosedDomains: slices.Sorted(maps.Keys(m.closedDomains)),
	}
}

// Snapshot implements replicator.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	state := m.state()
	m.mu.RLock()
	defer m.mu.RUnlock()
	data, err := cbor.Marshal(snapshot{State: state, OrderRevisions: m.orderRevisions})
	return data, trace.Wrap(err)
}

// Restore implements replicator.StateMachine. Empty data restores the initial
// state.
func (m *stateMachine) Restore(data []byte) error {
	var state snapshot
	if len(data) > 0 {
		if err := decoder.Stored(data, &state); err != nil {
			return trace.Wrap(err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.version, m.document = state.Index, state.Version, state.Document
	m.orderRevisions = state.OrderRevisions
	m.closedDomains = map[string]bool{}
	for _, domain := range state.ClosedDomains {
		m.closedDomains[domain] = true
	}
	return nil
}
