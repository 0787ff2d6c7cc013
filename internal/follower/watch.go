package follower

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
)

// Times of following.
const (
	// watchTimeout bounds one watch: the time that it is held and a round trip
	// between regions.
	watchTimeout = 1700 * time.Millisecond
	// watchPause is the pause after a watch that failed.
	watchPause = 100 * time.Millisecond
	// quietHold is how much longer a control instance of another region holds a
	// watch in a large fleet, and quietPatience how long it is left to those of
	// this region to bring a new state.
	quietHold     = 3 * time.Second
	quietPatience = 500 * time.Millisecond
	// reviewInterval is the time between two looks at whom to follow and which
	// servers have fallen silent.
	reviewInterval = 200 * time.Millisecond
	// sourceMemory is how long a control instance that is no longer named and
	// not heard is followed on.
	sourceMemory = 30 * time.Second
)

// Run follows the control instances until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		f.review(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// review starts and ends watches.
func (f *Follower) review(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, address := range f.controls {
		if _, known := f.sources[address]; !known {
			f.follow(ctx, now, address)
		}
	}
	for address, s := range f.sources {
		if !slices.Contains(f.controls, address) && now.Sub(s.heard) > sourceMemory {
			s.cancel()
			delete(f.sources, address)
		}
	}
	f.placer.Crowd = f.crowd(now)
	f.learn(now)
	f.settle()
	f.report(now)
}

// crowd counts the instances of this region.
func (f *Follower) crowd(now time.Time) int {
	count := 1
	for _, other := range f.instances {
		if other.Region == f.self.Region && (now.Sub(other.heard) < instanceSilence || f.named[other.Name]) {
			count++
		}
	}
	return count
}

// report logs which servers have begun or ceased to get work, and why.
func (f *Follower) report(now time.Time) {
	conditions := f.placer.Conditions(now)
	for name, condition := range conditions {
		if before := f.conditions[name]; before != condition {
			klog.InfoS("server", "server", name, "condition", condition, "before", before, "index", f.index)
		}
	}
	for name, before := range f.conditions {
		if _, known := conditions[name]; !known {
			klog.InfoS("server", "server", name, "condition", "forgotten", "before", before, "index", f.index)
		}
	}
	f.conditions = conditions
	f.reportRegions(now)
}

// reportRegions logs which services of other regions can be reached from now on,
// and which not.
func (f *Follower) reportRegions(now time.Time) {
	heard := f.placer.Regions(now)
	for place, servers := range heard {
		if _, before := f.regions[place]; !before {
			klog.InfoS("region", "region", place[0], "service", place[1], "heard", true, "servers", servers)
		}
	}
	for place := range f.regions {
		if _, still := heard[place]; !still {
			klog.InfoS("region", "region", place[0], "service", place[1], "heard", false)
		}
	}
	f.regions = heard
}

func (f *Follower) follow(ctx context.Context, now time.Time, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		klog.ErrorS(err, "control instance's address not understood", "address", address)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &source{cancel: cancel, heard: now.Add(-sourceContact), said: map[string]word{}}
	f.sources[address] = s
	go f.watch(ctx, messenger.Endpoint{Name: address, Address: parsed}, s)
}

// watch follows one control instance until the context ends.
func (f *Follower) watch(ctx context.Context, to messenger.Endpoint, s *source) {
	reached := false
	for ctx.Err() == nil {
		err := f.ask(ctx, to, s)
		if (err == nil) != reached && ctx.Err() == nil {
			reached = err == nil
			klog.InfoS("control instance", "address", to.Name, "reached", reached, "err", logger.Reason(err))
		}
		if err == nil && !f.waits(s) {
			continue
		}
		if err != nil {
			f.client.Reset(to)
		}
		select {
		case <-time.After(watchPause):
		case <-ctx.Done():
		}
	}
}

// waits reports whether a source is to be asked again only after a pause: it
// would answer at once with what this instance gets elsewhere.
func (f *Follower) waits(s *source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quiet(s) && !s.behind.IsZero()
}

func (f *Follower) ask(ctx context.Context, to messenger.Endpoint, s *source) error {
	f.mu.Lock()
	query := controller.WatchQuery{
		Epoch: s.epoch, Index: f.index, Version: uint64(f.version),
		Servers: s.servers, Places: s.places, Region: f.settings.Region, Name: f.settings.Name,
	}
	timeout := watchTimeout
	if f.quiet(s) {
		timeout += quietHold
		query.Hold = quietHold
		query.Places = math.MaxUint64 // those of this region tell where the others are
		query.Brief = s.behind.IsZero() || time.Since(s.behind) < quietPatience
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	news, err := messenger.Call[controller.WatchQuery, controller.News](ctx, f.client, to, controller.MethodWatch, query)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	s.heard, s.region = now, news.Region
	f.noteBehind(now, s, news)
	f.takeServers(now, s, news)
	if news.Instances != nil || news.Controls != nil {
		f.takePlaces(now, news)
	}
	if news.State != nil {
		if err := f.take(to.Name, *news.State); err != nil {
			klog.ErrorS(err, "state not understood: the one in force stays", "index", news.State.Index)
		}
	}
	f.supplied = true
	f.settle()
	return nil
}

// noteBehind notes since when a source has known of a state that this instance
// lacks. In large fleets sources of other regions send it only when those of this
// region have not within a while.
func (f *Follower) noteBehind(now time.Time, s *source, news controller.News) {
	if news.Index <= f.index {
		s.behind = time.Time{}
		return
	}
	if s.behind.IsZero() {
		s.behind = now
	}
}

// takeServers takes in what one control instance says of the servers.
func (f *Follower) takeServers(now time.Time, s *source, news controller.News) {
	if news.Epoch != s.epoch {
		s.epoch = news.Epoch
		s.said = map[string]word{}
	}
	s.servers = news.ServersRevision
	if news.Instances != nil || news.Controls != nil {
		s.places = news.PlacesRevision
	}
	for _, said := range news.Servers {
		if known, exists := s.said[said.Name]; !exists || !known.Newer(said) {
			s.said[said.Name] = word{Server: said, taken: now}
		}
	}
	if len(news.Servers) > 0 {
		f.learn(now)
	}
}

// takePlaces takes in where the other processes are.
func (f *Follower) takePlaces(now time.Time, news controller.News) {
	for _, address := range news.Controls {
		if !slices.Contains(f.controls, address) {
			f.controls = append(f.controls, address)
		}
	}
	if len(news.Instances) > 0 {
		f.named = map[string]bool{}
	}
	for _, other := range news.Instances {
		if other.Name == f.self.Name {
			continue
		}
		f.named[other.Name] = true
		known, exists := f.instances[other.Name]
		if !exists || other.Incarnation > known.Incarnation {
			f.instances[other.Name] = instance{Instance: other, heard: now}
		}
	}
}

// Reseed adds control instances to ask.
func (f *Follower) Reseed(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, seed := range seeds {
		if !slices.Contains(f.controls, seed.String()) {
			f.controls = append(f.controls, seed.String())
		}
	}
}
