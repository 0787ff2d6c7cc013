package keeper

import (
	"context"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

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
	revocationJournalName = "revocations"
	// revocationRetryInterval is the time between two attempts to commit the
	// pending withdrawals.
	revocationRetryInterval = time.Second
	// confirmationTimeout limits how long WithdrawKey waits for a quorum and for
	// the confirmations of the entry instances.
	confirmationTimeout = 3 * time.Second
	// reportRetention is how long after its last report an instance still counts
	// as part of the fleet. Withdrawals wait for its confirmation until then.
	reportRetention = 10 * time.Minute
)

// revocationStore holds the IDs of the keys whose withdrawal has reached this
// keeper, synced to the disk. These withdrawals take effect at once, with or
// without a quorum, and are never undone. It is safe for concurrent use.
type revocationStore struct {
	mu      sync.Mutex
	journal *journaler.Journal
	keyIDs  []string
}

func openRevocationStore(disk journaler.Disk) (*revocationStore, error) {
	journal, contents, err := journaler.Open(disk, revocationJournalName)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &revocationStore{journal: journal}
	for _, batch := range contents.Batches {
		id := string(batch)
		if err := checkKeyID(id); err != nil {
			klog.ErrorS(err, "withdrawal left out")
			continue
		}
		r.keyIDs = append(r.keyIDs, id)
	}
	return r, nil
}

// maxKeyIDBytes bounds the id of a key that is withdrawn.
const maxKeyIDBytes = 256

// checkKeyID returns an error that wraps tabler.ErrUnknown if no key has an id. Ids go into
// the answers to all watches, and the codec refuses an answer with a text that is not UTF-8.
func checkKeyID(id string) error {
	if id == "" || len(id) > maxKeyIDBytes || !utf8.ValidString(id) {
		return trace.Wrap(tabler.ErrUnknown, "key %.40q", id)
	}
	return nil
}

// add syncs a key's withdrawal to the disk. It reports whether it was new.
func (r *revocationStore) add(id string) (bool, error) {
	if err := checkKeyID(id); err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.keyIDs, id) {
		return false, nil
	}
	if err := r.journal.Append([]byte(id)); err != nil {
		return false, trace.Wrap(err)
	}
	r.keyIDs = append(r.keyIDs, id)
	return true, nil
}

func (r *revocationStore) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.keyIDs)
}

// unseen returns the IDs that are not among the seen ones.
func (r *revocationStore) unseen(seen []string) []string {
	return slices.DeleteFunc(r.all(), func(id string) bool { return slices.Contains(seen, id) })
}

// revokeQuery passes the IDs of withdrawn keys to another keeper.
type revokeQuery struct {
	IDs []string `cbor:"i"`
}

type revokeAnswer struct{}

func (k *Keeper) serveRevoke(_ context.Context, _ certifier.Identity, query revokeQuery) (revokeAnswer, error) {
	for _, id := range query.IDs {
		if err := k.addRevocation(id); err != nil {
			return revokeAnswer{}, err
		}
	}
	return revokeAnswer{}, nil
}

// addRevocation stores a withdrawal and wakes the instances that watch this
// keeper, which apply it at once.
func (k *Keeper) addRevocation(id string) error {
	added, err := k.revocations.add(id)
	if added {
		k.notifyWatchers()
	}
	return err
}

// runRevoker repeats the pending withdrawals until the log carries them.
func (k *Keeper) runRevoker(ctx context.Context) error {
	return conductor.RunEvery(ctx, revocationRetryInterval, k.propagateWithdrawals)
}

// propagateWithdrawals sends the pending withdrawals to all other keepers, which
// needs no quorum, and then tries to commit them.
func (k *Keeper) propagateWithdrawals(ctx context.Context) {
	pending := k.pendingWithdrawals()
	if len(pending) == 0 {
		return
	}
	for _, keeper := range k.settings.Keepers {
		if keeper.Name != k.settings.Name {
			k.sendWithdrawals(ctx, messenger.Endpoint{Name: keeper.Name, Address: keeper.Address}, pending)
		}
	}
	for _, id := range pending {
		_, err := k.proposeTableChange(ctx, tabler.Command{Withdraw: &tabler.Withdrawal{KeyID: id}})
		if err != nil {
			klog.V(2).InfoS("withdrawal not committed yet", "key", id, "err", err)
			return
		}
	}
}

func (k *Keeper) sendWithdrawals(ctx context.Context, to messenger.Endpoint, ids []string) {
	ctx, cancel := context.WithTimeout(ctx, revocationRetryInterval)
	defer cancel()
	_, err := messenger.Call[revokeQuery, revokeAnswer](ctx, k.client, to, methodRevoke, revokeQuery{IDs: ids})
	if err != nil {
		klog.V(2).InfoS("cannot send pending withdrawals to keeper", "keeper", to.Name, "err", err)
	}
}

// pendingWithdrawals returns the IDs of the stored revocations that the log does
// not carry yet.
func (k *Keeper) pendingWithdrawals() []string {
	var pending []string
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		for _, id := range k.revocations.all() {
			if key, known := state.Keys[id]; known && !key.Value.Withdrawn {
				pending = append(pending, id)
			}
		}
	})
	return pending
}

// instanceReport is the state that an entry instance last reported, and the IDs of
// the revocations that it has seen. It came from the instance itself or from one
// that it follows.
type instanceReport struct {
	entry       gossiper.Entry
	revokedKeys []string
	receivedAt  time.Time
}

// recordReports stores the reports of the querying instance and of the instances
// that follow it.
func (k *Keeper) recordReports(query watcher.Query) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.reports[query.Entry.Name] = instanceReport{entry: query.Entry, revokedKeys: query.Revoked, receivedAt: now}
	for _, d := range query.Downstream {
		k.reports[d.Entry.Name] = instanceReport{entry: d.Entry, revokedKeys: d.Revoked, receivedAt: now}
	}
}

// WithdrawOutcome is the progress of a key's withdrawal when WithdrawKey returns.
type WithdrawOutcome struct {
	// Accepted means that a quorum has synced the withdrawal and that every live
	// instance of the key's home region has confirmed it.
	Accepted bool `json:"accepted"`
	// Quorum means that a quorum has synced it.
	Quorum bool `json:"quorum"`
	// Unreached are the names of the live instances of the home region that have
	// not confirmed, sorted.
	Unreached []string `json:"unreached,omitempty"`
}

// WithdrawKey invalidates a key. The withdrawal takes effect at once on every
// instance that learns of it, and is propagated until a quorum accepts it, also
// after WithdrawKey has returned. WithdrawKey waits up to 3 s for the quorum and
// the confirmations; the outcome tells what is still missing. The error is
// tabler.ErrUnknown when a quorum confirms that there is no such key.
func (k *Keeper) WithdrawKey(ctx context.Context, changeID, id string) (WithdrawOutcome, error) {
	var outcome WithdrawOutcome
	if err := checkKeyID(id); err != nil {
		return outcome, err
	}
	key, known := k.lookUpKey(id)
	if !known {
		// Without a quorum this keeper may lag behind the key's creation, and instances
		// that know the key must learn of its withdrawal all the same.
		err := k.readBarrier(ctx)
		if key, known = k.lookUpKey(id); !known && err == nil {
			return outcome, trace.Wrap(tabler.ErrUnknown, "key %q", id)
		}
		if !known {
			klog.InfoS("withdrawing a key that is not known here", "key", id, "err", err)
		}
	}
	if err := k.addRevocation(id); err != nil {
		return outcome, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	result, err := k.proposeTableChange(ctx, tabler.Command{ChangeID: changeID, Withdraw: &tabler.Withdrawal{KeyID: id}})
	outcome.Quorum = err == nil && result.Refusal == ""
	outcome.Unreached = k.awaitConfirmations(ctx, key, result.Revision)
	outcome.Accepted = outcome.Quorum && len(outcome.Unreached) == 0
	return outcome, nil
}

// lookUpKey returns a key as this keeper knows it.
func (k *Keeper) lookUpKey(id string) (tabler.Key, bool) {
	var key tabler.Key
	var known bool
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		item, exists := state.Keys[id]
		key, known = item.Value, exists
	})
	return key, known
}

// awaitConfirmations waits until all live instances of the key's home region have
// confirmed its withdrawal, or the context ends, and returns the names of those
// that have not.
func (k *Keeper) awaitConfirmations(ctx context.Context, key tabler.Key, revision tabler.Revision) []string {
	ticker := time.NewTicker(revocationRetryInterval / 20)
	defer ticker.Stop()
	for {
		unconfirmed := k.unconfirmedInstances(key, revision)
		if len(unconfirmed) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return unconfirmed
		case <-ticker.C:
		}
	}
}

// unconfirmedInstances returns the names of the live instances of the key's home
// region that have not confirmed its withdrawal, sorted. An instance confirms by
// listing the revocation or by reporting the revision that contains it; revision
// is 0 when the withdrawal was not committed.
func (k *Keeper) unconfirmedInstances(key tabler.Key, revision tabler.Revision) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for name, report := range k.reports {
		gone := time.Since(report.receivedAt) > reportRetention || report.entry.State == gossiper.StateStopping
		confirmed := slices.Contains(report.revokedKeys, key.ID) || revision > 0 && report.entry.Revision >= revision
		if gone || confirmed || report.entry.Region != key.HomeRegion {
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
