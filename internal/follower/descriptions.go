package follower

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Limits of fetching descriptions of servers.
const (
	// descriptionTimeout bounds one call. At 10 Mbit/s its answer takes 20 ms.
	descriptionTimeout = time.Second
	// descriptionRetryDelay is the pause after a failed call.
	descriptionRetryDelay = 100 * time.Millisecond
	// minDescriptions is the number of descriptions from which on unused ones are dropped.
	minDescriptions = 64
)

// descriptions holds, by registrar.Server.DescriptionHash, a report of each described server
// that accepts requests. Control instances send references to them, so that a description is
// sent to this instance once and not by every control instance.
type descriptions map[uint64]serverReport

// unresolvedReference is a reference to a server whose description is not known.
type unresolvedReference struct {
	registrar.Reference
	receivedAt time.Time
}

// resolve returns the report that a reference of some time ago stands for. It reports false
// if the description is not known, or no server can have been reported so.
func (d descriptions) resolve(now time.Time, reference unresolvedReference) (registrar.Server, bool) {
	described, known := d[reference.Hash]
	if !known {
		return registrar.Server{}, false
	}
	server := reference.Apply(described.Server)
	server.Age += now.Sub(reference.receivedAt)
	return server, server.Check(now.Add(registrar.MaxClockError)) == nil
}

// applyReferences stores the reports that references of a control instance stand for, and
// remembers those without a description until it is known. It reports whether it has stored
// any. f.mu must be held.
func (f *Follower) applyReferences(now time.Time, watch *controlWatch, references []registrar.Reference) bool {
	stored := false
	for _, reference := range references {
		received := unresolvedReference{Reference: reference, receivedAt: now}
		if server, resolved := f.descriptions.resolve(now, received); resolved {
			watch.storeReport(now, server)
			stored = true
			continue
		}
		if watch.unresolved == nil {
			watch.unresolved = map[uint64]unresolvedReference{}
		}
		watch.unresolved[reference.Hash] = received
	}
	f.requestDescriptions(watch)
	return stored
}

// addDescription stores the description that a report of a server has, and the reports of
// all control instances that waited for it. f.mu must be held.
func (f *Follower) addDescription(now time.Time, server registrar.Server) {
	if server.State != registrar.StateReady {
		return // never sent as a reference
	}
	hash := server.DescriptionHash()
	if f.descriptions == nil {
		f.descriptions = descriptions{}
	}
	f.descriptions[hash] = serverReport{Server: server, receivedAt: now}
	for _, watch := range f.controlWatches {
		reference, waits := watch.unresolved[hash]
		if !waits {
			continue
		}
		delete(watch.unresolved, hash)
		if resolved, ok := f.descriptions.resolve(now, reference); ok {
			watch.storeReport(now, resolved)
		}
	}
}

// forgetDescriptions drops the descriptions that no report has, once they are half of all.
// f.mu must be held.
func (f *Follower) forgetDescriptions(servers int) {
	if len(f.descriptions) < max(2*servers, minDescriptions) {
		return
	}
	used := descriptions{}
	for _, watch := range f.controlWatches {
		for _, report := range watch.reportsByServer {
			hash := report.DescriptionHash()
			if described, known := f.descriptions[hash]; known {
				used[hash] = described
			}
		}
	}
	f.descriptions = used
}

// requestDescriptions wakes the fetcher if a control instance has sent references that are
// not resolved.
func (f *Follower) requestDescriptions(watch *controlWatch) {
	if len(watch.unresolved) == 0 {
		return
	}
	select {
	case f.descriptionsRequested <- struct{}{}:
	default: // the fetcher has not yet taken up the last request
	}
}

// runDescriptionFetcher fetches descriptions until the context ends, from one control
// instance at a time. Its connections are not those of the watches, which would wait behind
// its answers.
func (f *Follower) runDescriptionFetcher(ctx context.Context) {
	client := f.client.Clone()
	defer client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.descriptionsRequested:
		}
		for ctx.Err() == nil && f.fetchDescriptions(ctx, client) {
		}
	}
}

// fetchDescriptions fetches some descriptions. It reports false if there are none to fetch.
func (f *Follower) fetchDescriptions(ctx context.Context, client *messenger.Client) bool {
	f.mu.Lock()
	started := time.Now()
	address, hashes := f.missingDescriptions(started)
	f.mu.Unlock()
	if len(hashes) == 0 {
		return false
	}
	answer, err := callForDescriptions(ctx, client, address, controller.ServersQuery{Hashes: hashes, Region: f.settings.Region})
	f.mu.Lock()
	f.recordDescriptions(time.Now(), started, address, hashes, answer, err)
	f.mu.Unlock()
	if err != nil {
		klog.InfoS("cannot fetch servers", "from", address, "count", len(hashes), "err", logger.ErrorText(err))
		conductor.Sleep(ctx, descriptionRetryDelay)
	}
	return true
}

func callForDescriptions(ctx context.Context, client *messenger.Client, address string, query controller.ServersQuery) (controller.ServersAnswer, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return controller.ServersAnswer{}, trace.Wrap(err)
	}
	to := messenger.Endpoint{Name: address, Address: parsed}
	ctx, cancel := context.WithTimeout(ctx, descriptionTimeout)
	defer cancel()
	answer, err := messenger.Call[controller.ServersQuery, controller.ServersAnswer](ctx, client, to, controller.MethodServers, query)
	if err != nil {
		client.Reset(to)
	}
	return answer, err
}

// missingDescriptions returns hashes to ask a control instance for: one in contact that has
// sent references to them, preferably one that has not failed lately and is in this region.
// Different instances prefer different ones. f.mu must be held.
func (f *Follower) missingDescriptions(now time.Time) (address string, hashes []uint64) {
	var sources []string
	for candidate, watch := range f.controlWatches {
		if len(watch.unresolved) > 0 && now.Sub(watch.lastAnswer) < controlContactTimeout {
			sources = append(sources, candidate)
		}
	}
	if len(sources) == 0 {
		return "", nil
	}
	preference := func(address string) uint64 { return xxhash.Sum64String(f.self.Name + "/" + address) }
	address = slices.MinFunc(sources, func(a, b string) int {
		first, second := f.controlWatches[a], f.controlWatches[b]
		return cmp.Or(
			first.descriptionsFailedAt.Compare(second.descriptionsFailedAt),
			cmp.Compare(f.distance(first), f.distance(second)),
			cmp.Compare(preference(a), preference(b)),
		)
	})
	for hash := range f.controlWatches[address].unresolved {
		if len(hashes) < controller.MaxFetchedServers {
			hashes = append(hashes, hash)
		}
	}
	return address, hashes
}

// recordDescriptions takes over the result of a call that was started at a time. What the
// control instance no longer has, its watch reports anew. f.mu must be held.
func (f *Follower) recordDescriptions(now, started time.Time, address string, hashes []uint64, answer controller.ServersAnswer, err error) {
	watch, watched := f.controlWatches[address]
	if !watched {
		return
	}
	if err != nil {
		watch.descriptionsFailedAt = now
		return
	}
	watch.descriptionsFailedAt = time.Time{}
	for _, server := range answer.Servers.Valid(now, f.skipServer) {
		f.addDescription(now, server)
	}
	for _, hash := range hashes {
		if reference, waits := watch.unresolved[hash]; waits && reference.receivedAt.Before(started) {
			delete(watch.unresolved, hash)
		}
	}
	f.mergeServerReports(now)
	f.recordWatchAnswered(watch)
}

// recordWatchAnswered records that a control instance has reported the servers: this
// instance may serve callers unless it still lacks descriptions of them. f.mu must be held.
func (f *Follower) recordWatchAnswered(watch *controlWatch) {
	if len(watch.unresolved) == 0 || !f.RecentlyStarted() {
		f.watchAnswered = true
	}
	f.updateReadiness()
}
