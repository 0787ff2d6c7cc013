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

// The calls by which keepers collect what entry instances know.
const (
	MethodBurn    = "burn"
	MethodServers = "servers"
)

// BurnQuery asks an instance for its counts.
type BurnQuery struct{}

// ServersQuery asks an instance for the backend servers that it uses.
type ServersQuery struct{}

// collectTimeout bounds a collection from all instances.
const collectTimeout = 2 * time.Second

// Tables returns the tables as of now, or, when stale will do, as far as this
// keeper has heard.
func (k *Keeper) Tables(ctx context.Context, stale bool) (tabler.Tables, tabler.Revision, error) {
	if !stale {
		if err := k.read(ctx); err != nil {
			return tabler.Tables{}, 0, err
		}
	}
	var tables tabler.Tables
	var revision tabler.Revision
	k.machine.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		tables = state.Tables()
		revision = state.Revision
	})
	return tables, revision, nil
}

// Edit replaces the tables, if the expected revision is in force.
func (k *Keeper) Edit(ctx context.Context, changeID string, expect tabler.Revision, next tabler.Tables) (tabler.Result, error) {
	var edit tabler.Edit
	k.machine.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		edit = tabler.Diff(state.Tables(), next)
	})
	edit.Expect = expect
	return k.change(ctx, tabler.Command{ChangeID: changeID, Edit: &edit})
}

// Keys returns all keys, sorted by workspace.
func (k *Keeper) Keys(ctx context.Context) ([]tabler.Key, error) {
	if err := k.read(ctx); err != nil {
		return nil, err
	}
	var keys []tabler.Key
	k.machine.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		for _, item := range state.Keys {
			keys = append(keys, item.Value)
		}
	})
	slices.SortFunc(keys, func(a, b tabler.Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.ID, b.ID))
	})
	return keys, nil
}

// Give records a key by its hash.
func (k *Keeper) Give(ctx context.Context, changeID string, key tabler.Key) (tabler.Result, error) {
	return k.change(ctx, tabler.Command{ChangeID: changeID, Give: &key})
}

// Drain takes an instance out of the directory, or back in.
func (k *Keeper) Drain(ctx context.Context, changeID, instance string, draining bool) (tabler.Result, error) {
	return k.change(ctx, tabler.Command{ChangeID: changeID, Drain: &tabler.InstanceChange{Name: instance, Draining: draining}})
}

// Remove takes back all grants of an instance that is gone for good. It is
// the operator's word: a removed instance that still runs would go on
// spending its floors.
func (k *Keeper) Remove(ctx context.Context, instance string) error {
	data, err := cbor.Marshal(command{Ledger: &granter.Command{Remove: &granter.Remove{Instance: instance}}})
	if err != nil {
		return trace.Wrap(err)
	}
	if k.control.Leads() {
		_, err = k.control.Propose(ctx, data)
		return trace.Wrap(err)
	}
	leader, known := k.control.Leader()
	if !known {
		return trace.Wrap(ErrNoQuorum)
	}
	endpoint, _ := k.endpoint(leader.Name)
	_, err = messenger.Call[proposeQuery, proposeAnswer](ctx, k.client, endpoint, methodPropose, proposeQuery{Group: controlGroup, Data: data})
	return trace.Wrap(err)
}

// Status is what a keeper sees of the fleet.
type Status struct {
	Keeper    string           `json:"keeper"`
	Revision  tabler.Revision  `json:"revision"`
	Leader    string           `json:"leader"`
	Quorum    bool             `json:"quorum"`
	Term      replicator.Term  `json:"term"`
	Members   []MemberStatus   `json:"members"`
	Instances []InstanceStatus `json:"instances"`
	// Servers are the backend servers, by failure domain and name.
	Servers []ServerStatus `json:"servers"`
	// Pending are withdrawals that no quorum has accepted yet.
	Pending []string `json:"pending-withdrawals"`
}

// MemberStatus is a keeper as a member of the control group.
type MemberStatus struct {
	Name  string `json:"name"`
	Voter bool   `json:"voter"`
}

// InstanceStatus is an entry instance.
type InstanceStatus struct {
	gossiper.Entry
	// Silent is how long the instance has not been heard.
	Silent time.Duration `json:"silent"`
}

// ServerStatus is a backend server as an instance of its failure domain sees
// it.
type ServerStatus struct {
	FailureDomain string   `cbor:"f" json:"failure-domain"`
	Name          string   `cbor:"n" json:"name"`
	Pools         []string `cbor:"p" json:"pools"`
	Running       int      `cbor:"r" json:"running"`
	MaxRunning    int      `cbor:"m" json:"max-running"`
	ChecksFencing bool     `cbor:"c" json:"checks-fencing"`
}

// Status returns what this keeper sees, with or without a quorum.
func (k *Keeper) Status(ctx context.Context) Status {
	control := k.control.Status()
	leader, led := k.control.Leader()
	status := Status{
		Keeper: k.settings.Name, Leader: leader.Name, Quorum: led, Term: control.Term,
		Pending: k.openRevocations(),
	}
	for _, member := range control.Members {
		status.Members = append(status.Members, MemberStatus{Name: member.Name, Voter: member.Voter})
	}
	k.machine.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) { status.Revision = state.Revision })
	for _, c := range k.recentContacts() {
		status.Instances = append(status.Instances, InstanceStatus{Entry: c.entry, Silent: time.Since(c.heard).Round(time.Millisecond)})
	}
	answers, _ := collect[ServersQuery, []ServerStatus](ctx, k, MethodServers, ServersQuery{})
	status.Servers = distinct(answers)
	return status
}

// distinct joins what the instances of a failure domain say of its servers.
func distinct(answers [][]ServerStatus) []ServerStatus {
	servers := slices.Concat(answers...)
	slices.SortStableFunc(servers, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
	})
	return slices.CompactFunc(servers, func(a, b ServerStatus) bool {
		return a.FailureDomain == b.FailureDomain && a.Name == b.Name
	})
}

// recentContacts returns the instances heard within the memory, by name.
func (k *Keeper) recentContacts() []contact {
	k.mu.Lock()
	defer k.mu.Unlock()
	var contacts []contact
	for _, c := range k.contacts {
		if time.Since(c.heard) < contactMemory {
			contacts = append(contacts, c)
		}
	}
	slices.SortFunc(contacts, func(a, b contact) int { return cmp.Compare(a.entry.Name, b.entry.Name) })
	return contacts
}

// Burn collects the counts of all instances and reports how fast the error
// budgets burn. Instances that do not answer are named.
func (k *Keeper) Burn(ctx context.Context) reporter.Burn {
	counts, missing := collect[BurnQuery, reporter.Counts](ctx, k, MethodBurn, BurnQuery{})
	var routes []tabler.Route
	k.machine.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) { routes = state.Tables().Routes })
	return reporter.Merge(routes, counts, missing)
}

// collect asks all instances heard lately, and names those that do not answer.
func collect[Q, A any](ctx context.Context, k *Keeper, method string, query Q) (answers []A, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	contacts := k.recentContacts()
	collected := make([]*A, len(contacts))
	var wait sync.WaitGroup
	for i, c := range contacts {
		wait.Go(func() {
			to := messenger.Endpoint{Name: c.entry.Name, Address: c.entry.Peer}
			answer, err := messenger.Call[Q, A](ctx, k.client, to, method, query)
			if err == nil {
				collected[i] = &answer
			}
		})
	}
	wait.Wait()
	missing = []string{}
	for i, c := range contacts {
		if collected[i] == nil {
			missing = append(missing, c.entry.Name)
			continue
		}
		answers = append(answers, *collected[i])
	}
	return answers, missing
}
