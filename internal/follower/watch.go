package follower

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Intervals and time limits of watches.
const (
	// watchTimeout bounds one watch: the time that the control instance holds
	// it and a round trip between regions.
	watchTimeout = 1700 * time.Millisecond
	// watchRetryDelay is the pause after a failed watch.
	watchRetryDelay = 100 * time.Millisecond
	// secondaryHold is how much longer a control instance of another region holds
	// a watch in large fleets.
	secondaryHold = 3 * time.Second
	// refreshInterval is the time between two checks of which control instances
	// to watch and which servers have fallen silent.
	refreshInterval = 200 * time.Millisecond
	// controlRetention is how long a control instance that is no longer listed
	// and does not answer is still watched.
	controlRetention = 30 * time.Second
)

// Run watches the control instances until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	ctx, cancel := context.WithCancel(ctx)
	var fetcher sync.WaitGroup
	fetcher.Go(func() { f.runFetcher(ctx) })
	fetcher.Go(func() { f.runDescriptionFetcher(ctx) })
	defer fetcher.Wait()
	defer cancel() // a panic must not wait for the fetcher
	for {
		f.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refresh starts and ends watches and updates what changes with time alone: the
// number of instances, which servers are silent, and readiness.
func (f *Follower) refresh(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.standstill.recordRefresh(now)
	if f.standstill.ended.Equal(now) {
		f.placer.NeighboursKnownAt = now.Add(neighbourTime)
	}
	for _, address := range f.controlAddresses {
		if _, known := f.controlWatches[address]; !known {
			f.startWatch(ctx, now, address)
		}
	}
	for address, watch := range f.controlWatches {
		if !slices.Contains(f.controlAddresses, address) && now.Sub(watch.lastAnswer) > controlRetention {
			watch.cancel()
			delete(f.controlWatches, address)
		}
	}
	f.placer.RegionInstances = f.countRegionInstances(now)
	f.updateRegionMembers(now)
	f.updateHandover(now)
	if merged := f.mergeInputs(now); merged != f.merged {
		f.mergeServerReports(now)
	} else {
		f.placer.Refresh(now)
	}
	f.forgetUnconfirmed(now)
	f.updateReadiness()
	f.logServerConditions(now)
}

// mergeInputs is what a merge of the control instances' reports depends on besides the
// reports themselves.
type mergeInputs struct {
	watches, regionInstances int
	// inContact is the sum of the hashes of the control instances in contact.
	inContact uint64
	claimsDue bool
}

// mergeInputs returns what a merge would depend on now. f.mu must be held.
func (f *Follower) mergeInputs(now time.Time) mergeInputs {
	inputs := mergeInputs{watches: len(f.controlWatches), regionInstances: f.placer.RegionInstances, claimsDue: f.claims.isDue(now)}
	for address, watch := range f.controlWatches {
		if now.Sub(watch.lastAnswer) < controlContactTimeout {
			inputs.inContact += xxhash.Sum64String(address)
		}
	}
	return inputs
}

// countRegionInstances returns the number of entry instances in this region,
// including this one.
func (f *Follower) countRegionInstances(now time.Time) int {
	count := 1
	for _, other := range f.otherInstances {
		if other.Region == f.self.Region && (now.Sub(other.lastHeard) < instanceTimeout || f.listedInstances[other.Name]) {
			count++
		}
	}
	return count
}

// logServerConditions logs which servers have started or stopped getting
// requests, and why.
func (f *Follower) logServerConditions(now time.Time) {
	conditions := f.placer.ServerConditions(now)
	for name, condition := range conditions {
		if before := f.loggedConditions[name]; before != condition {
			klog.InfoS("server", "server", name, "condition", condition, "before", before, "index", f.stateIndex)
		}
	}
	for name, before := range f.loggedConditions {
		if _, known := conditions[name]; !known {
			klog.InfoS("server", "server", name, "condition", "forgotten", "before", before, "index", f.stateIndex)
		}
	}
	f.loggedConditions = conditions
	f.logServerLimits()
	f.logRemoteServices(now)
}

// logRemoteServices logs which services of other regions have become reachable
// or unreachable.
func (f *Follower) logRemoteServices(now time.Time) {
	reachable := f.placer.RemoteServers(now)
	for key, servers := range reachable {
		if _, before := f.loggedRemoteServices[key]; !before {
			klog.InfoS("region", "region", key[0], "service", key[1], "heard", true, "servers", servers)
		}
	}
	for key := range f.loggedRemoteServices {
		if _, still := reachable[key]; !still {
			klog.InfoS("region", "region", key[0], "service", key[1], "heard", false)
		}
	}
	f.loggedRemoteServices = reachable
}

func (f *Follower) startWatch(ctx context.Context, now time.Time, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		klog.ErrorS(err, "invalid control instance address", "address", address)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	watch := &controlWatch{cancel: cancel, lastAnswer: now.Add(-controlContactTimeout), reportsByServer: map[string]serverReport{}}
	f.controlWatches[address] = watch
	go f.runWatch(ctx, messenger.Endpoint{Name: address, Address: parsed}, watch)
}

// runWatch watches one control instance until the context ends.
func (f *Follower) runWatch(ctx context.Context, to messenger.Endpoint, watch *controlWatch) {
	reached := false
	for ctx.Err() == nil {
		started := time.Now()
		err := f.poll(ctx, to, watch)
		if (err == nil) != reached && ctx.Err() == nil {
			reached = err == nil
			klog.InfoS("control instance", "address", to.Name, "reached", reached, "took", time.Since(started), "err", logger.ErrorText(err))
		}
		if err == nil {
			continue
		}
		f.client.Reset(to)
		select {
		case <-time.After(watchRetryDelay):
		case <-ctx.Done():
		}
	}
}

// poll sends one watch to a control instance and applies its answer.
func (f *Follower) poll(ctx context.Context, to messenger.Endpoint, watch *controlWatch) error {
	f.mu.Lock()
	query := controller.WatchQuery{
		Epoch: watch.epoch, Index: f.queryIndex(watch), OmitDocument: true, Version: uint64(f.definitionVersion),
		ServersRevision: watch.serversRevision, PeersRevision: watch.peersRevision, Region: f.settings.Region, Name: f.settings.Name,
		QuarantineRevision: max(watch.quarantineRevision, 1), MixedHash: 1, InstanceChanges: true,
		References: true, Unresolved: len(watch.unresolved) > 0,
	}
	if watch.mixed != nil && watch.serversAsOf.After(f.standstill.ended) { // else the answer is not held back
		query.MixedHash = watch.mixed.Hash
	}
	timeout := watchTimeout
	switch {
	case watch.epoch == 0:
		// The first answer tells whether the control instance is one of this region. A fleet
		// that starts, or follows control instances that do, would otherwise be sent all lists
		// by all of them.
		query.PeersRevision = controller.NoPeers
	case f.isSecondary(watch):
		timeout += secondaryHold
		query.ExtraWait = secondaryHold
		query.PeersRevision = controller.NoPeers // control instances of this region report the addresses
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	answer, err := messenger.Call[controller.WatchQuery, controller.WatchAnswer](ctx, f.client, to, controller.MethodWatch, query)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	answer.Servers = answer.Servers.Valid(now, f.skipServer)
	watch.lastAnswer, watch.region, watch.index = now, answer.Region, answer.Index
	watch.serversAsOf = sent.Add(answer.Held)
	f.confirmNewest(watch.serversAsOf.Add(-answer.StateAge))
	if len(f.newer) > 0 && answer.Index > f.stateIndex {
		f.requestFetch() // there may have been no source before, as while a control instance restarts
	}
	f.applyQuarantine(now, watch, answer, answer.Epoch != watch.epoch)
	f.noteMixed(watch, answer)
	f.applyServerReports(now, watch, answer)
	if answer.Instances != nil || answer.Controls != nil {
		f.applyMembers(now, watch, answer)
	}
	if answer.State != nil {
		if err := f.applyState(to.Name, *answer.State); err != nil {
			watch.undecodable = answer.State.Index
			klog.ErrorS(err, "cannot decode state; the current one stays in force", "index", answer.State.Index)
		}
	}
	f.recordWatchAnswered(watch)
	return nil
}

// applyServerReports stores the reports of servers in one control instance's
// answer. A new epoch, which means that the control instance has restarted,
// discards its earlier reports.
func (f *Follower) applyServerReports(now time.Time, watch *controlWatch, answer controller.WatchAnswer) {
	if answer.Epoch != watch.epoch {
		watch.epoch = answer.Epoch
		watch.sendsDocuments = false
		watch.reportsByServer = map[string]serverReport{}
		watch.unresolved = nil
		f.merged = mergeInputs{} // the next refresh merges what is left
	}
	watch.serversRevision = answer.ServersRevision
	if answer.Instances != nil || answer.Controls != nil {
		watch.peersRevision = answer.PeersRevision
	}
	for _, reported := range answer.Servers {
		watch.storeReport(now, reported)
		f.addDescription(now, reported)
	}
	if f.applyReferences(now, watch, answer.References) || len(answer.Servers) > 0 {
		f.mergeServerReports(now)
	}
}

// storeReport stores a report unless a newer one of the server is known.
func (w *controlWatch) storeReport(now time.Time, reported registrar.Server) {
	if known, exists := w.reportsByServer[reported.Name]; !exists || !known.Newer(reported) || isDropped(known.asOf(now)) {
		w.reportsByServer[reported.Name] = serverReport{Server: reported, receivedAt: now}
	}
}

// skipServer logs that a control instance has reported what cannot be a server.
func (f *Follower) skipServer(name string, cause error) {
	if leftOut, ok := f.skippedLogged.Allow(time.Now()); ok {
		klog.InfoS("invalid server skipped", "server", name, "err", logger.ErrorText(cause), "left-out", leftOut)
	}
}

// applyMembers adds the control instances that an answer lists, and takes over the
// list of entry instances of the control instance that answered. f.mu must be held.
func (f *Follower) applyMembers(now time.Time, watch *controlWatch, answer controller.WatchAnswer) {
	for _, address := range answer.Controls {
		if !slices.Contains(f.controlAddresses, address) {
			f.controlAddresses = append(f.controlAddresses, address)
		}
	}
	if watch.listed == nil || !answer.InstanceChanges {
		watch.listed = map[string]bool{}
	}
	for _, name := range answer.RemovedInstances {
		delete(watch.listed, name)
	}
	for _, other := range answer.Instances {
		if other.Name == f.self.Name {
			continue
		}
		watch.listed[other.Name] = true
		known, exists := f.otherInstances[other.Name]
		if !exists || other.Incarnation > known.Incarnation {
			f.otherInstances[other.Name] = entryInstance{Instance: other, lastHeard: now}
		}
	}
	if len(watch.listed) > 0 {
		f.listedInstances = watch.listed
	}
}

// AddControlInstances adds control instances to watch.
func (f *Follower) AddControlInstances(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, seed := range seeds {
		if !slices.Contains(f.controlAddresses, seed.String()) {
			f.controlAddresses = append(f.controlAddresses, seed.String())
		}
	}
}
