package follower

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/compressor"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/definer"
)

// applyState takes over a state that a control instance has reported, if it is newer
// than the current one. A new definition is fetched, unless the report has its
// document. If that cannot be decoded, applyState returns an error and the current
// definition stays in force. From names the control instance. f.mu must be held.
func (f *Follower) applyState(from string, state controller.State) error {
	now := time.Now()
	f.noteClosedDomains(now, state)
	switch {
	case state.Version > f.definitionVersion && state.Document == nil:
		f.noteVersion(now, state.Version, true)
		return nil
	case state.Version > f.definitionVersion: // an earlier release sends it unasked
		decoded, err := f.decodeState(from, state)
		if err != nil {
			f.undecodableIndex = max(f.undecodableIndex, state.Index)
			f.noteVersion(now, state.Version, true)
			return err
		}
		f.putInForce(from, state, decoded)
		return nil
	}
	f.putInForce(from, state, nil)
	return nil
}

// noteClosedDomains puts the closed failure domains of a state in force, which do
// not have to wait for its definition. f.mu must be held.
func (f *Follower) noteClosedDomains(now time.Time, state controller.State) {
	if state.Index <= f.knownIndex {
		return
	}
	f.knownIndex = state.Index
	if slices.Equal(f.closedDomains, state.ClosedDomains) {
		return
	}
	f.closedDomains = state.ClosedDomains
	f.placer.SetClosedDomains(now, state.ClosedDomains)
	f.mergeServerReports(now)
	klog.InfoS("closed failure domains", "index", state.Index, "closed", f.closedDomains)
}

// decodedState is a state's definition, ready to be put in force.
type decodedState struct {
	view *definer.View
	// took is how long decoding took.
	took time.Duration
}

// decodeState decodes the document of a state. From names the control instance that
// reported it.
func (f *Follower) decodeState(from string, state controller.State) (*decodedState, error) {
	started := time.Now()
	definition, err := f.decode(state.Document)
	if err != nil {
		return nil, trace.Wrap(err, "version %d from %s", state.Version, from)
	}
	view := definer.NewView(definition)
	return &decodedState{view: view, took: time.Since(started)}, nil
}

// putInForce puts a state in force if it is newer than the current one. Decoded may
// be nil if the state has the current definition. From names the control instance
// that reported the state. f.mu must be held.
func (f *Follower) putInForce(from string, state controller.State, decoded *decodedState) {
	if state.Index <= f.stateIndex {
		return
	}
	now := time.Now()
	var took, knownFor time.Duration
	if decoded != nil && state.Version > f.definitionVersion {
		f.quotas.SetQuotas(now, quotasByWorkspace(decoded.view.Definition))
		f.view.Store(decoded.view)
		f.definitionVersion, f.document = state.Version, state.Document
		took, knownFor = decoded.took, f.newer.knownFor(now)
		f.newer.remove(state.Version)
	}
	f.stateIndex = state.Index
	f.noteClosedDomains(now, state)
	f.mergeServerReports(now)
	klog.InfoS("state in force", "index", f.stateIndex, "version", f.definitionVersion, "closed", f.closedDomains, "from", from,
		"bytes", len(f.document), "hash", compressor.HashName(f.document), "decode", took, "known-for", knownFor)
}

func quotasByWorkspace(definition definer.Definition) map[string]apportioner.Quota {
	quotas := map[string]apportioner.Quota{}
	for _, workspace := range definition.Workspaces {
		if workspace.Rate > 0 {
			quotas[workspace.Name] = apportioner.Quota{Rate: workspace.Rate, Burst: workspace.Burst}
		}
	}
	return quotas
}
