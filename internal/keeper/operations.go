package keeper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/reporter"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Names of the calls that keepers make to entry instances to collect what those
// observe.
const (
	MethodBurn    = "burn"
	MethodServers = "servers"
)

// BurnQuery asks an instance for its counts of requests and bad requests.
type BurnQuery struct{}

// ServersQuery asks an instance for the backend servers that it uses.
type ServersQuery struct{}

// collectTimeout limits a collection from all instances. Instances that have not
// answered by then are left out.
const collectTimeout = 2 * time.Second

// Tables returns the tables and their revision. They include everything committed
// before the call, unless stale is set: then they are what this keeper has
// applied, which needs no quorum.
func (k *Keeper) Tables(ctx context.Context, stale bool) (tabler.Tables, tabler.Revision, error) {
	if !stale {
		if err := k.readBarrier(ctx); err != nil {
			return tabler.Tables{}, 0, err
		}
	}
	var tables tabler.Tables
	var revision tabler.Revision
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		tables = state.Tables()
		revision = state.Revision
	})
	return tables, revision, nil
}

// ReplaceTables replaces the tables if expected is their current revision;
// otherwise the result is a refusal. A recently used change ID returns the result
// of its first use.
func (k *Keeper) ReplaceTables(ctx context.Context, changeID string, expected tabler.Revision, next tabler.Tables) (tabler.Result, error) {
	var edit tabler.Edit
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		edit = tabler.Diff(state.Tables(), next)
	})
	edit.Expect = expected
	return k.proposeTableChange(ctx, tabler.Command{ChangeID: changeID, Edit: &edit})
}

// Keys returns all keys, sorted by workspace and ID. They include everything
// committed before the call.
func (k *Keeper) Keys(ctx context.Context) ([]tabler.Key, error) {
	if err := k.readBarrier(ctx); err != nil {
		return nil, err
	}
	var keys []tabler.Key
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		for _, item := range state.Keys {
			keys = append(keys, item.Value)
		}
	})
	slices.SortFunc(keys, func(a, b tabler.Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.ID, b.ID))
	})
	return keys, nil
}

// AddKey adds an API key, which is stored as a hash.
func (k *Keeper) AddKey(ctx context.Context, changeID string, key tabler.Key) (tabler.Result, error) {
	return k.proposeTableChange(ctx, tabler.Command{ChangeID: changeID, AddKey: &key})
}

// DrainRevision returns the revision of the last change of whether an entry instance is
// draining, or 0. It includes everything committed before the call.
func (k *Keeper) DrainRevision(ctx context.Context, instance string) (replicator.Index, error) {
	if err := k.readBarrier(ctx); err != nil {
		return 0, err
	}
	k.controlState.mu.RLock()
	defer k.controlState.mu.RUnlock()
	return k.controlState.drainRevisions[instance], nil
}

// SetDraining sets whether an entry instance is draining. A draining instance is
// not listed in the directory. The error is ErrOutdated unless after is nil or the
// revision of the instance's last change.
func (k *Keeper) SetDraining(ctx context.Context, changeID, instance string, draining bool, after *replicator.Index) (tabler.Result, error) {
	change := tabler.Command{ChangeID: changeID, Drain: &tabler.InstanceChange{Name: instance, Draining: draining}}
	return propose[tabler.Result](ctx, k, k.controlGroup, controlGroupName, command{Table: &change, After: after})
}

// RemoveInstance takes back all grants of an entry instance that will not come
// back. Only an operator can decide that: a removed instance that still runs
// would go on spending its floors, which are then granted to others as well.
func (k *Keeper) RemoveInstance(ctx context.Context, instance string) error {
	data, err := cbor.Marshal(command{Ledger: &granter.Command{Remove: &granter.Remove{Instance: instance}}})
	if err != nil {
		return trace.Wrap(err)
	}
	if k.controlGroup.IsLeader() {
		_, err = k.controlGroup.Propose(ctx, data)
		return trace.Wrap(err)
	}
	leader, known := k.controlGroup.Leader()
	if !known {
		return trace.Wrap(ErrNoQuorum)
	}
	endpoint, _ := k.keeperEndpoint(leader.Name)
	_, err = messenger.Call[proposeQuery, proposeAnswer](ctx, k.client, endpoint, methodPropose, proposeQuery{Group: controlGroupName, Data: data})
	return trace.Wrap(err)
}

// Status is a keeper's view of the fleet.
type Status struct {
	Keeper    string           `json:"keeper"`
	Revision  tabler.Revision  `json:"revision"`
	Leader    string           `json:"leader"`
	Quorum    bool             `json:"quorum"`
	Term      replicator.Term  `json:"term"`
	Members   []MemberStatus   `json:"members"`
	Instances []InstanceStatus `json:"instances"`
	// Servers are the backend servers, sorted by failure domain and name.
	Servers []ServerStatus `json:"servers"`
	// Pending are the IDs of the withdrawn keys whose withdrawal is not committed
	// yet.
	Pending []string `json:"pending-withdrawals"`
}

// MemberStatus is a keeper as a member of the control group.
type MemberStatus struct {
	Name  string `json:"name"`
	Voter bool   `json:"voter"`
}

// InstanceStatus is the last known state of an entry instance.
type InstanceStatus struct {
	gossiper.Entry
	// Silent is the time since the instance's last report.
	Silent time.Duration `json:"silent"`
}

// ServerStatus is a backend server as an entry instance of its failure domain
// reports it.
type ServerStatus struct {
	FailureDomain string   `cbor:"f" json:"failure-domain"`
	Name          string   `cbor:"n" json:"name"`
	Pools         []string `cbor:"p" json:"pools"`
	Running       int      `cbor:"r" json:"running"`
	MaxRunning    int      `cbor:"m" json:"max-running"`
	ChecksFencing bool     `cbor:"c" json:"checks-fencing"`
}

// Status returns this keeper's view of the fleet, with or without a quorum. It
// asks the entry instances for their backend servers and takes up to 2 s.
func (k *Keeper) Status(ctx context.Context) Status {
	groupStatus := k.controlGroup.Status()
	leader, hasLeader := k.controlGroup.Leader()
	status := Status{
		Keeper: k.settings.Name, Leader: leader.Name, Quorum: hasLeader, Term: groupStatus.Term,
		Pending: k.pendingWithdrawals(),
	}
	for _, member := range groupStatus.Members {
		status.Members = append(status.Members, MemberStatus{Name: member.Name, Voter: member.Voter})
	}
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) { status.Revision = state.Revision })
	for _, report := range k.recentReports() {
		status.Instances = append(status.Instances, InstanceStatus{Entry: report.entry, Silent: time.Since(report.receivedAt).Round(time.Millisecond)})
	}
	answers, _ := queryInstances[ServersQuery, []ServerStatus](ctx, k, MethodServers, ServersQuery{})
	status.Servers = deduplicateServers(answers)
	return status
}

// deduplicateServers joins the answers of several instances and keeps one status
// for each server of a failure domain, sorted by failure domain and name.
func deduplicateServers(answers [][]ServerStatus) []ServerStatus {
	servers := slices.Concat(answers...)
	slices.SortStableFunc(servers, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
	})
	return slices.CompactFunc(servers, func(a, b ServerStatus) bool {
		return a.FailureDomain == b.FailureDomain && a.Name == b.Name
	})
}

// recentReports returns the reports that are newer than reportRetention, sorted by
// instance name.
func (k *Keeper) recentReports() []instanceReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	var reports []instanceReport
	for _, report := range k.reports {
		if time.Since(report.receivedAt) < reportRetention {
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b instanceReport) int { return cmp.Compare(a.entry.Name, b.entry.Name) })
	return reports
}

// BurnRates collects the request counts of all instances and returns the burn
// rates of the error budgets. Instances that do not answer are listed as missing.
func (k *Keeper) BurnRates(ctx context.Context) reporter.BurnReport {
	counts, missing := queryInstances[BurnQuery, reporter.Counts](ctx, k, MethodBurn, BurnQuery{})
	var routes []tabler.Route
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) { routes = state.Tables().Routes })
	return reporter.MergeCounts(routes, counts, missing)
}

// queryInstances calls all instances with a recent report at the same time. It
// returns the answers in the order of the instances' names, and the names of the
// instances that did not answer in time.
func queryInstances[Q, A any](ctx context.Context, k *Keeper, method string, query Q) (answers []A, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	reports := k.recentReports()
	received := make([]*A, len(reports))
	var wg sync.WaitGroup
	for i, report := range reports {
		wg.Go(func() {
			to := messenger.Endpoint{Name: report.entry.Name, Address: report.entry.PeerAddress}
			answer, err := messenger.Call[Q, A](ctx, k.client, to, method, query)
			if err == nil {
				received[i] = &answer
			}
		})
	}
	wg.Wait()
	missing = []string{}
	for i, report := range reports {
		if received[i] == nil {
			missing = append(missing, report.entry.Name)
			continue
		}
		answers = append(answers, *received[i])
	}
	return answers, missing
}
