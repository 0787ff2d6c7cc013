package controller

import (
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/replicator"
)

// command is one entry of the log. Exactly one of its parts is set.
type command struct {
	Define *define  `cbor:"d,omitempty"`
	Close  *closing `cbor:"c,omitempty"`
}

func encodeCommand(c command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, trace.Wrap(err)
}

// define replaces the definition, if its version is higher.
type define struct {
	Version  definer.Version `cbor:"v"`
	Document []byte          `cbor:"d"`
}

// closing ends or begins again the use of a failure domain's servers.
type closing struct {
	FailureDomain string `cbor:"f"`
	Closed        bool   `cbor:"c"`
}

// applied is the outcome of a command.
type applied struct {
	Index replicator.Index `cbor:"i"`
	// Version is the one in force after the command.
	Version definer.Version `cbor:"v"`
}

// State is what entry instances must keep to.
type State struct {
	// Index is where the log last changed it.
	Index    replicator.Index `cbor:"i"`
	Version  definer.Version  `cbor:"v"`
	Document []byte           `cbor:"d,omitempty"`
	// Closed are the failure domains whose servers get nothing, sorted.
	Closed []string `cbor:"c,omitempty"`
}

// machine is the replicated state.
type machine struct {
	mu       sync.RWMutex
	index    replicator.Index
	version  definer.Version
	document []byte
	closed   map[string]bool
}

// Apply implements replicator.Machine. The outcome is an applied.
func (m *machine) Apply(index replicator.Index, data []byte) any {
	var c command
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cbor.Unmarshal(data, &c); err != nil {
		klog.ErrorS(err, "entry not understood", "index", index)
		return applied{Index: m.index, Version: m.version}
	}
	switch {
	case c.Define != nil && c.Define.Version > m.version:
		m.version, m.document = c.Define.Version, c.Define.Document
		m.index = index
		klog.InfoS("definition accepted", "version", m.version, "index", index)
	case c.Close != nil && m.closed[c.Close.FailureDomain] != c.Close.Closed:
		m.setClosed(*c.Close)
		m.index = index
		klog.InfoS("failure domain changed", "failure-domain", c.Close.FailureDomain, "closed", c.Close.Closed, "index", index)
	}
	return applied{Index: m.index, Version: m.version}
}

func (m *machine) setClosed(c closing) {
	if m.closed == nil {
		m.closed = map[string]bool{}
	}
	if c.Closed {
		m.closed[c.FailureDomain] = true
		return
	}
	delete(m.closed, c.FailureDomain)
}

// state returns the state, which must not be changed.
func (m *machine) state() State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return State{
		Index: m.index, Version: m.version, Document: m.document,
		Closed: slices.Sorted(maps.Keys(m.closed)),
	}
}

// Snapshot implements replicator.Machine.
func (m *machine) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(m.state())
	return data, trace.Wrap(err)
}

// Restore implements replicator.Machine.
func (m *machine) Restore(data []byte) error {
	var state State
	if len(data) > 0 {
		if err := cbor.Unmarshal(data, &state); err != nil {
			return trace.Wrap(err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.version, m.document = state.Index, state.Version, state.Document
	m.closed = map[string]bool{}
	for _, domain := range state.Closed {
		m.closed[domain] = true
	}
	return nil
}
