package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/journaler"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/tabler"
	"github.com/boragehead/boragehead/internal/watcher"
)

const (
	revocationsName = "revocations"
	// revokeInterval is the time between two tries to have withdrawals
	// accepted that a quorum has not accepted yet.
	revokeInterval = time.Second
	// confirmPatience is how long an operator waits for confirmations.
	confirmPatience = 3 * time.Second
	// contactMemory is how long a silent instance must still confirm.
	contactMemory = 10 * time.Minute
)

// revocations are withdrawals of keys heard here, synced to the disk. They
// take effect at once, with or without a quorum, and are never unmade.
type revocations struct {
	mu      sync.Mutex
	journal *journaler.Journal
	ids     []string
}

func openRevocations(disk journaler.Disk) (*revocations, error) {
	journal, contents, err := journaler.Open(disk, revocationsName)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &revocations{journal: journal}
	for _, batch := range contents.Batches {
		r.ids = append(r.ids, string(batch))
	}
	return r, nil
}

// add syncs a withdrawal. It reports whether it was new.
func (r *revocations) add(id string) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.ids, id) {
		return false, nil
	}
	if err := r.journal.Append([]byte(id)); err != nil {
		return false, trace.Wrap(err)
	}
	r.ids = append(r.ids, id)
	return true, nil
}

func (r *revocations) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ids)
}

func (r *revocations) missing(seen []string) []string {
	return slices.DeleteFunc(r.all(), func(id string) bool { return slices.Contains(seen, id) })
}

type revokeQuery struct {
	IDs []string `cbor:"i"`
}

type revokeAnswer struct{}

func (k *Keeper) serveRevoke(_ context.Context, _ certifier.Identity, query revokeQuery) (revokeAnswer, error) {
	for _, id := range query.IDs {
		if err := k.revoke(id); err != nil {
			return revokeAnswer{}, err
		}
	}
	return revokeAnswer{}, nil
}

// revoke makes a withdrawal take effect where this keeper is heard.
func (k *Keeper) revoke(id string) error {
	added, err := k.revoked.add(id)
	if added {
		k.notify()
	}
	return err
}

// runRevoker spreads withdrawals until the log carries them.
func (k *Keeper) runRevoker(ctx context.Context) error {
	return conductor.Every(ctx, revokeInterval, k.spreadRevocations)
}

func (k *Keeper) spreadRevocations(ctx context.Context) {
	open := k.openRevocations()
	if len(open) == 0 {
		return
	}
	for _, keeper := range k.settings.Keepers {
		if keeper.Name != k.settings.Name {
			k.tellRevocations(ctx, messenger.Endpoint{Name: keeper.Name, Address: keeper.Address}, open)
		}
	}
	for _, id := range open {
		_, err := k.change(ctx, tabler.Command{Withdraw: &tabler.Withdrawal{KeyID: id}})
		if err != nil {
			klog.V(2).InfoS("withdrawal still pending", "key", id, "err", err)
			return
		}
	}
}

func (k *Keeper) tellRevocations(ctx context.Context, to messenger.Endpoint, ids []string) {
	ctx, cancel := context.WithTimeout(ctx, revokeInterval)
	defer cancel()
	_, err := messenger.Call[revokeQuery, revokeAnswer](ctx, k.client, to, methodRevoke, revokeQuery{IDs: ids})
	if err != nil {
		klog.V(2).InfoS("withdrawals not passed on", "keeper", to.Name, "err", err)
	}
}

// openRevocations returns the withdrawals that the log does not carry yet.
func (k *Keeper) openRevocations() []string {
	var open []string
	k.machine.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		for _, id := range k.revoked.all() {
			if key, known := state.Keys[id]; known && !key.Value.Withdrawn {
				open = append(open, id)
			}
		}
	})
	return open
}

// contact is what an entry instance last said to this keeper.
type contact struct {
	entry   gossiper.Entry
	revoked []string
	heard   time.Time
}

func (k *Keeper) contact(query watcher.Query) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.contacts[query.Entry.Name] = contact{entry: query.Entry, revoked: query.Revoked, heard: now}
	for _, behind := range query.Behind {
		k.contacts[behind.Entry.Name] = contact{entry: behind.Entry, revoked: behind.Revoked, heard: now}
	}
}

// WithdrawOutcome tells how far a withdrawal has come.
type WithdrawOutcome struct {
	// Accepted means that a quorum has synced the withdrawal and that every
	// live instance of the key's home region has confirmed it.
	Accepted bool `json:"accepted"`
	// Quorum tells whether a quorum has synced it.
	Quorum bool `json:"quorum"`
	// Unreached names instances of the home region that have not confirmed.
	Unreached []string `json:"unreached,omitempty"`
}

// Withdraw ends a key. It takes effect where it is heard at once; the answer
// says whether that is everywhere it must be.
func (k *Keeper) Withdraw(ctx context.Context, changeID, id string) (WithdrawOutcome, error) {
	var outcome WithdrawOutcome
	key, known := k.key(id)
	if !known {
		if err := k.read(ctx); err != nil {
			return outcome, err
		}
		if key, known = k.key(id); !known {
			return outcome, trace.Wrap(tabler.ErrUnknown, "key %q", id)
		}
	}
	if err := k.revoke(id); err != nil {
		return outcome, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmPatience)
	defer cancel()
	result, err := k.change(ctx, tabler.Command{ChangeID: changeID, Withdraw: &tabler.Withdrawal{KeyID: id}})
	outcome.Quorum = err == nil && result.Refusal == ""
	outcome.Unreached = k.awaitConfirmed(ctx, key, result.Revision)
	outcome.Accepted = outcome.Quorum && len(outcome.Unreached) == 0
	return outcome, nil
}

func (k *Keeper) key(id string) (tabler.Key, bool) {
	var key tabler.Key
	var known bool
	k.machine.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		item, exists := state.Keys[id]
		key, known = item.Value, exists
	})
	return key, known
}

// awaitConfirmed waits until all live instances of the key's home have seen
// its withdrawal, and returns those that have not.
func (k *Keeper) awaitConfirmed(ctx context.Context, key tabler.Key, revision tabler.Revision) []string {
	ticker := time.NewTicker(revokeInterval / 20)
	defer ticker.Stop()
	for {
		unreached := k.unreached(key, revision)
		if len(unreached) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return unreached
		case <-ticker.C:
		}
	}
}

func (k *Keeper) unreached(key tabler.Key, revision tabler.Revision) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for name, c := range k.contacts {
		gone := time.Since(c.heard) > contactMemory || c.entry.State == gossiper.StateStopping
		told := slices.Contains(c.revoked, key.ID) || revision > 0 && c.entry.Revision >= revision
		if gone || told || c.entry.Region != key.HomeRegion {
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
