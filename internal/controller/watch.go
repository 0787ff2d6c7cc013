package controller

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/replicator"
)

// MethodWatch is the long-polling call with which an entry instance follows a
// control instance. It takes a WatchQuery and returns a WatchAnswer.
const MethodWatch = "state-watch"

// watchWait is how long a watch waits for a change before it is answered without
// one.
const watchWait = time.Second

// unresolvedWait is the same for an entry instance that lacks descriptions. Confirmations
// wait until it says that it has them.
const unresolvedWait = 100 * time.Millisecond

// maxExtraWait bounds the additional wait that a watch may ask for.
const maxExtraWait = 10 * time.Second

// NoPeers is the WatchQuery.PeersRevision of an entry instance that wants no lists of
// instances.
const NoPeers = math.MaxUint64

// WatchQuery tells a control instance what an entry instance knows already, and
// asks for what has changed since.
type WatchQuery struct {
	// Epoch is the WatchAnswer.Epoch that ServersRevision and PeersRevision
	// belong to; 0 at first.
	Epoch int64 `cbor:"e"`
	// Index and Version are those of the state that the entry instance has.
	Index   replicator.Index `cbor:"i"`
	Version uint64           `cbor:"v"`
	// ServersRevision and PeersRevision are the last WatchAnswer.ServersRevision
	// and WatchAnswer.PeersRevision.
	ServersRevision uint64 `cbor:"s"`
	PeersRevision   uint64 `cbor:"p"`
	// Region and Name are those of the entry instance.
	Region string `cbor:"r"`
	Name   string `cbor:"n"`
	// ExtraWait is how much longer than the usual second the answer may wait for a
	// change.
	ExtraWait time.Duration `cbor:"h,omitempty"`
	// OmitState leaves WatchAnswer.State out of the answer; WatchAnswer.Index is
	// always set.
	OmitState bool `cbor:"b,omitempty"`
	// OmitDocument leaves State.Document out of the answer. The entry instance
	// fetches it with MethodDocument.
	OmitDocument bool `cbor:"d,omitempty"`
	// QuarantineRevision is the last WatchAnswer.QuarantineRevision plus 1; 1 at
	// first, and 0 from processes that know no quarantine.
	QuarantineRevision uint64 `cbor:"k,omitempty"`
	// MixedHash is the last WatchAnswer.Mixed.Hash; 1 at first, and 0 from processes that
	// know no versions.
	MixedHash uint64 `cbor:"m,omitempty"`
	// InstanceChanges asks for the changes of WatchAnswer.Instances alone.
	InstanceChanges bool `cbor:"c,omitempty"`
	// References asks for references to servers that accept requests. The entry instance
	// fetches the descriptions that it lacks with MethodServers.
	References bool `cbor:"f,omitempty"`
	// Unresolved means that the entry instance still lacks descriptions of this answering
	// process, so that ServersRevision does not confirm anything yet.
	Unresolved bool `cbor:"u,omitempty"`
}

// WatchAnswer is the answer to a WatchQuery.
type WatchAnswer struct {
	// Epoch identifies the start of the answering process. Its revisions begin
	// anew with each start.
	Epoch int64 `cbor:"e"`
	// Region is where the answering process runs, and Index the log index at which
	// its state last changed.
	Region string           `cbor:"g"`
	Index  replicator.Index `cbor:"x"`
	// State is set if it is newer than the one of the query. Its document is left
	// out if the entry instance has that version, or asked for that.
	State *State `cbor:"t,omitempty"`
	// Servers are the changed servers of the entry instance's region, and References are
	// those of them that the entry instance is only sent references of.
	Servers    registrar.List        `cbor:"s,omitempty"`
	References []registrar.Reference `cbor:"f,omitempty"`
	// ServersRevision is the revision up to which changed servers are included.
	ServersRevision uint64 `cbor:"u"`
	// Instances and Controls are complete lists of the entry instances and of the
	// control instances' peer addresses, set if either has changed. With
	// InstanceChanges, Instances has only those that have changed since the query's
	// revision, and RemovedInstances the names of those dropped since: complete lists of
	// all, sent to all whenever one starts, grow with the square of the fleet.
	InstanceChanges  bool                `cbor:"d,omitempty"`
	RemovedInstances []string            `cbor:"r,omitempty"`
	Instances        []beaconer.Instance `cbor:"n,omitempty"`
	Controls         []string            `cbor:"c,omitempty"`
	// PeersRevision is the revision of Instances and Controls; never 0.
	PeersRevision uint64 `cbor:"q"`
	// Quarantine are the changed prompt parts, and QuarantineRevision is the revision
	// up to which they are included.
	Quarantine         []quarantiner.Part `cbor:"k,omitempty"`
	QuarantineRevision uint64             `cbor:"w,omitempty"`
	// Mixed tells which services have several software versions; nil from processes of an
	// earlier release.
	Mixed *MixedServices `cbor:"m,omitempty"`
	// StateAge is how long ago the answering process last knew that Index was that of
	// the newest accepted state; 0 from processes of an earlier release. Held is how
	// long it held the query back.
	StateAge time.Duration `cbor:"a,omitempty"`
	Held     time.Duration `cbor:"l,omitempty"`
}

// serveWatch answers as soon as there is a change, or without one after the wait.
func (c *Controller) serveWatch(ctx context.Context, _ certifier.Identity, query WatchQuery) (WatchAnswer, error) {
	received := time.Now()
	wait := watchWait + min(query.ExtraWait, maxExtraWait)
	if query.Unresolved {
		wait = unresolvedWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		confirmed, held := c.group.Status().Confirmed, time.Since(received) // before the state is read, which may only be newer
		answer, hasChanges := c.changesSince(query)
		if hasChanges || ctx.Err() != nil {
			answer.StateAge, answer.Held = stateAge(confirmed), held
			return answer, nil
		}
		query.ServersRevision = answer.ServersRevision // later changes of other regions are looked at once
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// changesSince returns the answer to a query, and whether it holds any change. It
// also records the server revision that the entry instance has.
func (c *Controller) changesSince(query WatchQuery) (WatchAnswer, bool) {
	controls := c.controlAddresses()
	state := c.machine.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	query = c.forEpoch(query)
	if c.peers.ackedServerRevisions == nil {
		c.peers.ackedServerRevisions = map[string]uint64{}
	}
	c.recordAcked(query, query.ServersRevision)
	answer := WatchAnswer{Epoch: c.epoch, Region: c.settings.Region, Index: state.Index, ServersRevision: c.servers.Revision(), PeersRevision: c.peers.revision + 1}
	hasChanges := query.Epoch != c.epoch
	if state.Index > query.Index {
		if uint64(state.Version) == query.Version || query.OmitDocument {
			state.Document = nil
		}
		if !query.OmitState {
			answer.State = &state
		}
		hasChanges = true
	}
	hasChanges = c.addServers(query, &answer) || hasChanges
	hasChanges = c.addQuarantine(time.Now(), query, &answer) || hasChanges
	if query.MixedHash != 0 {
		mixed := c.origins.mixed
		answer.Mixed = &mixed
		hasChanges = hasChanges || mixed.Hash != query.MixedHash
	}
	switch {
	case query.PeersRevision >= answer.PeersRevision:
	case query.PeersRevision > c.wakeUps.publishedPeers:
		answer.PeersRevision = query.PeersRevision // the next wake-up tells of later changes
	default:
		answer.Controls = controls
		c.addInstances(query, &answer)
		hasChanges = true
	}
	return answer, hasChanges
}

// addServers adds the changed servers of the query's region to an answer and reports
// whether there are any. c.mu must be held.
func (c *Controller) addServers(query WatchQuery, answer *WatchAnswer) bool {
	if query.Epoch == c.epoch && query.ServersRevision >= c.wakeUps.publishedServers {
		answer.ServersRevision = query.ServersRevision // the next wake-up tells of later changes
		return false
	}
	// Changes in other regions must not end the watch.
	answer.Servers = slices.DeleteFunc(c.servers.Since(time.Now(), query.ServersRevision), func(s registrar.Server) bool {
		return c.settings.FailureDomains[s.FailureDomain] != query.Region
	})
	if len(answer.Servers) == 0 {
		c.recordAcked(query, answer.ServersRevision) // it lacks no change of its region
		return false
	}
	if query.References {
		answer.Servers = slices.DeleteFunc(answer.Servers, func(s registrar.Server) bool {
			if s.State == registrar.StateReady {
				answer.References = append(answer.References, s.Reference())
			}
			return s.State == registrar.StateReady
		})
	}
	return true
}

// recordAcked records the revision of the servers that the sender of a query has. c.mu must be
// held.
func (c *Controller) recordAcked(query WatchQuery, revision uint64) {
	if query.Unresolved {
		revision = min(revision, c.peers.ackedServerRevisions[query.Name])
	}
	c.peers.ackedServerRevisions[query.Name] = revision
}

// addInstances adds the entry instances to an answer: those that have changed if the
// query asks for that and has a list of this process to apply them to. c.mu must be held.
func (c *Controller) addInstances(query WatchQuery, answer *WatchAnswer) {
	if query.InstanceChanges && query.PeersRevision > 0 {
		// The revision of an answer is one above that of the table.
		changed, removed, known := c.peers.changesSince(query.PeersRevision - 1)
		answer.Instances, answer.RemovedInstances, answer.InstanceChanges = changed, removed, known
		return
	}
	for _, instance := range c.peers.instances {
		answer.Instances = append(answer.Instances, instance.Instance)
	}
}

// forEpoch returns a query without the revisions of another start of this process.
func (c *Controller) forEpoch(query WatchQuery) WatchQuery {
	if query.Epoch == c.epoch {
		return query
	}
	query.ServersRevision, query.QuarantineRevision = 0, min(query.QuarantineRevision, 1)
	if query.PeersRevision != NoPeers {
		query.PeersRevision = 0
	}
	return query
}
