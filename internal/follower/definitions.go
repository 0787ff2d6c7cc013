package follower

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/compressor"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
)

// Limits of fetching definitions.
const (
	// minFetchTimeout bounds the first attempt to fetch a definition. Each further
	// one may take twice as long, up to maxFetchTimeout, so that a definition also
	// arrives over a link that is too slow for the first attempts.
	minFetchTimeout = 2 * time.Second
	maxFetchTimeout = 16 * time.Second
	// fetchRetryDelay is the pause after a failed attempt.
	fetchRetryDelay = 100 * time.Millisecond
	// maxUndecodableDelay bounds the pause after a definition that cannot be
	// decoded. It doubles with each one: they fill the link that requests need, and
	// only a newer definition will help.
	maxUndecodableDelay = time.Second
	// maxDocumentBytes bounds a definition's document.
	maxDocumentBytes = 64 << 20
	// maxNewerVersions bounds the versions that newerVersions remembers.
	maxNewerVersions = 32
	// unconfirmedRetention is how long a version counts that only a beacon told of and
	// that no control instance has.
	unconfirmedRetention = 10 * time.Second
)

// newerVersions holds the versions of the definition that were heard of but are
// not in force here, the lowest first, each with the time at which it was first
// heard of.
// The zero value is empty.
type newerVersions []newerVersion

type newerVersion struct {
	version definer.Version
	since   time.Time
	// lastHeard is when it was last heard of, and confirmed means that a control
	// instance has reported it.
	lastHeard time.Time
	confirmed bool
}

// add records a version that is newer than the one in force. If there are too many,
// the newest confirmed ones share the time of an earlier one.
func (n *newerVersions) add(now time.Time, version definer.Version, confirmed bool) {
	i, known := slices.BinarySearchFunc(*n, version, func(v newerVersion, version definer.Version) int { return cmp.Compare(v.version, version) })
	switch {
	case known:
	case len(*n) < maxNewerVersions:
		*n = slices.Insert(*n, i, newerVersion{version: version, since: now})
	case i == len(*n) && confirmed:
		i--
		(*n)[i].version = version
	default:
		return // those that are recorded show as well that this instance is behind
	}
	(*n)[i].lastHeard = now
	(*n)[i].confirmed = (*n)[i].confirmed || confirmed
}

// removeUnconfirmed drops and returns the versions that no control instance has
// reported and that were last heard of before a time.
func (n *newerVersions) removeUnconfirmed(before time.Time) (removed []definer.Version) {
	*n = slices.DeleteFunc(*n, func(v newerVersion) bool {
		drop := !v.confirmed && v.lastHeard.Before(before)
		if drop {
			removed = append(removed, v.version)
		}
		return drop
	})
	return removed
}

// remove drops the versions up to the one that is in force now.
func (n *newerVersions) remove(inForce definer.Version) {
	*n = slices.DeleteFunc(*n, func(v newerVersion) bool { return v.version <= inForce })
}

// knownFor returns how long a newer version than the one in force has been known;
// 0 if none is.
func (n newerVersions) knownFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, v := range n {
		longest = max(longest, now.Sub(v.since))
	}
	return longest
}

// noteVersion records that a version is in force elsewhere, and has it fetched if
// it is newer than the one in force here. Confirmed means that a control instance
// has reported it. f.mu must be held.
func (f *Follower) noteVersion(now time.Time, version definer.Version, confirmed bool) {
	if version <= f.definitionVersion {
		return
	}
	f.newer.add(now, version, confirmed)
	f.requestFetch()
}

// forgetUnconfirmed forgets versions that beacons told of some time ago and that no
// control instance has reported, if any is in contact: a process of another fleet
// may have sent them. f.mu must be held.
func (f *Follower) forgetUnconfirmed(now time.Time) {
	if !f.hasControlContact(now) {
		return
	}
	if removed := f.newer.removeUnconfirmed(now.Add(-unconfirmedRetention)); len(removed) > 0 {
		klog.InfoS("versions forgotten that no control instance has", "versions", removed, "in-force", f.definitionVersion)
	}
}

// requestFetch wakes the fetcher.
func (f *Follower) requestFetch() {
	select {
	case f.fetchRequested <- struct{}{}:
	default: // the fetcher has not yet taken up the last request
	}
}

// DefinitionBehind returns how long this instance has known that a newer definition
// than the one in force here has been accepted; 0 if it knows of none. While it
// starts, it adds the startup period: the newer one may have been accepted before.
func (f *Follower) DefinitionBehind() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := f.newer.knownFor(time.Now())
	if behind > 0 && f.lifecycle == beaconer.StateStarting {
		behind += startupPeriod
	}
	return behind
}

// DefinitionReachable reports whether a control instance in contact has a newer state
// than the one in force, which this instance has not failed to decode.
func (f *Follower) DefinitionReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, watch := range f.controlWatches {
		inContact := now.Sub(watch.lastAnswer) < watchTimeout+secondaryHold
		if inContact && watch.index > max(f.stateIndex, f.undecodableIndex) {
			return true
		}
	}
	return false
}

// confirmNewest records a time until which a control instance has reported every state
// that was accepted. f.mu must be held.
func (f *Follower) confirmNewest(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// DefinitionUnconfirmed returns how long ago this instance last knew the newest
// definition that had been accepted until then. It grows while no control instance
// that is itself up to date answers, and while this instance is suspended.
func (f *Follower) DefinitionUnconfirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return conductor.Elapsed(f.confirmedAt, time.Now())
}

// runFetcher fetches definitions until the context ends: one at a time, and only
// from one control instance at a time, because they share this instance's link
// with the requests. Its connections are not those of the watches, which would
// time out behind a large document and close the connection.
func (f *Follower) runFetcher(ctx context.Context) {
	client := f.client.Clone()
	defer client.Close()
	failures, undecodable := 0, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.fetchRequested:
		}
		for f.DefinitionBehind() > 0 && ctx.Err() == nil {
			err := f.fetchDefinition(ctx, client, fetchTimeout(failures))
			if errors.Is(err, errNoSource) {
				break // the next report of a newer version or state requests a fetch again
			}
			if err != nil {
				failures++
				delay := fetchRetryDelay
				if errors.Is(err, errUndecodable) {
					delay = undecodableDelay(undecodable)
					undecodable++
				}
				klog.InfoS("cannot fetch definition", "failures", failures, "delay", delay, "err", logger.ErrorText(err))
				select {
				case <-ctx.Done():
				case <-time.After(delay):
				}
				continue
			}
			failures, undecodable = 0, 0
		}
	}
}

// fetchTimeout returns the timeout of an attempt after some failed ones.
func fetchTimeout(failures int) time.Duration {
	const maxDoublings = 3 // minFetchTimeout is maxFetchTimeout after these
	return min(minFetchTimeout<<min(failures, maxDoublings), maxFetchTimeout)
}

// undecodableDelay returns the pause after a definition that cannot be decoded, if
// there were others before.
func undecodableDelay(before int) time.Duration {
	const maxDoublings = 4 // fetchRetryDelay is above maxUndecodableDelay after these
	return min(fetchRetryDelay<<min(before, maxDoublings), maxUndecodableDelay)
}

// errUndecodable means that a definition has arrived and cannot be decoded here.
var errUndecodable = errors.New("definition cannot be decoded")

// errNoSource means that no control instance has reported a newer state than the
// one in force here.
var errNoSource = errors.New("no control instance has reported a newer state")

// fetchDefinition makes one attempt to fetch the current definition and puts it in
// force.
func (f *Follower) fetchDefinition(ctx context.Context, client *messenger.Client, timeout time.Duration) error {
	started := time.Now()
	f.mu.Lock()
	address, found := f.fetchSource()
	base := f.document
	f.mu.Unlock()
	if !found {
		return errNoSource
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return trace.Wrap(err)
	}
	to := messenger.Endpoint{Name: address, Address: parsed}
	query := controller.DocumentQuery{}
	if len(base) > 0 {
		query.BaseHash = compressor.Hash(base)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := messenger.Call[controller.DocumentQuery, controller.DocumentAnswer](callCtx, client, to, controller.MethodDocument, query)
	if err != nil {
		client.Reset(to)
	} else if answer.State.Document, err = compressor.Decompress(answer.Document, base, maxDocumentBytes); err == nil {
		err = f.decodeAndApply(address, answer.State)
	}
	f.recordFetch(address, err, answer.State)
	if err != nil {
		return trace.Wrap(err, "from %s in %v", address, time.Since(started))
	}
	klog.InfoS("definition fetched", "version", answer.State.Version, "bytes", len(answer.State.Document), "transferred", len(answer.Document.Data),
		"relative", answer.Document.BaseHash != 0, "from", address, "took", time.Since(started))
	return nil
}

// fetchSource returns the control instance to fetch the current definition from:
// one of those that have reported a newer state than the one in force, preferably
// one that has not failed lately, has the newest state, and is in this region. f.mu
// must be held.
func (f *Follower) fetchSource() (address string, found bool) {
	var sources []string
	for candidate, watch := range f.controlWatches {
		if watch.index > f.stateIndex && !watch.sendsDocuments {
			sources = append(sources, candidate)
		}
	}
	if len(sources) == 0 {
		return "", false
	}
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	return slices.MinFunc(sources, func(a, b string) int {
		first, second := f.controlWatches[a], f.controlWatches[b]
		return cmp.Or(
			first.fetchFailedAt.Compare(second.fetchFailedAt),
			cmp.Compare(second.index, first.index),
			cmp.Compare(f.distance(first), f.distance(second)),
		)
	}), true
}

// distance ranks control instances by where they run: 0 for this region. f.mu must
// be held.
func (f *Follower) distance(watch *controlWatch) int {
	if watch.region == f.self.Region {
		return 0
	}
	return 1
}

// recordFetch records the result of an attempt to fetch from a control instance,
// and the state that it had.
func (f *Follower) recordFetch(address string, err error, state controller.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	watch, known := f.controlWatches[address]
	if !known {
		return
	}
	if err != nil {
		watch.fetchFailedAt = time.Now()
		watch.sendsDocuments = errors.Is(err, messenger.ErrUnknownMethod)
		return
	}
	watch.fetchFailedAt, watch.index = time.Time{}, state.Index
}

// decodeAndApply decodes a state's document and puts the state in force.
func (f *Follower) decodeAndApply(from string, state controller.State) error {
	decoded, err := f.decodeState(from, state)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.undecodableIndex = max(f.undecodableIndex, state.Index)
		return fmt.Errorf("%w: %w", errUndecodable, err)
	}
	f.putInForce(from, state, decoded)
	f.updateReadiness()
	return nil
}
