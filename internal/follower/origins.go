package follower

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/versioner"
)

// Timing of the origins of streams.
const (
	// originInterval is how long origins are batched before they are reported, and
	// largeFleetOriginInterval the same in large fleets while all services have one version.
	originInterval           = 100 * time.Millisecond
	largeFleetOriginInterval = 500 * time.Millisecond
	// originTimeout bounds one report to a control instance, and askTimeout the questions
	// for one stream: its caller waits for it.
	originTimeout = 500 * time.Millisecond
	askTimeout    = 300 * time.Millisecond
	// originExpiryInterval is the time between two looks for streams that have ended.
	originExpiryInterval = 5 * time.Second
	// maxVersionAge is how old the last answer of a control instance may be for a stream to
	// go on: a server may start again with another version meanwhile.
	maxVersionAge = 3 * time.Second
	// maxPendingOrigins bounds the origins that wait to be reported. More are not reported,
	// and those streams go on only here.
	maxPendingOrigins = 1 << 14
)

// origins are the streams that this instance began to send, and those that the control
// instances must still be told of. Its lock may be taken while f.mu is held, but not the
// other way round.
type origins struct {
	mu         sync.Mutex
	table      versioner.Table
	pending    []versioner.Origin
	lastReport time.Time
}

// RecordOrigin records by which version of a service the stream began that a request
// brought the first event of. The control instances are told also of streams of services
// with one version: another one may have appeared where they cannot hear of it.
func (f *Follower) RecordOrigin(request, version string, left time.Duration) {
	o := &f.origins
	origin := versioner.Origin{Stream: versioner.NewStreamID(request), Version: version, Left: left}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.table.Add(time.Now(), origin) {
		o.addPending([]versioner.Origin{origin})
	}
}

// addPending makes origins due to be reported. o.mu must be held.
func (o *origins) addPending(origins []versioner.Origin) {
	o.pending = append(o.pending, origins[:min(len(origins), max(maxPendingOrigins-len(o.pending), 0))]...)
}

// allUniform reports whether all services are known to have had one version for long.
// f.mu must be held.
func (f *Follower) allUniform(now time.Time) bool {
	answered := false
	for _, watch := range f.controlWatches {
		if now.Sub(watch.lastAnswer) > maxVersionAge {
			continue
		}
		if watch.mixed == nil || watch.mixed.All || len(watch.mixed.Names) > 0 {
			return false
		}
		answered = true
	}
	return answered
}

// noteMixed takes over which services have several versions. f.mu must be held.
func (f *Follower) noteMixed(watch *controlWatch, answer controller.WatchAnswer) {
	watch.mixed = answer.Mixed
	f.originsRestarted = f.originsRestarted || answer.Epoch != watch.epoch
}

// VersionsAge returns how long ago a control instance last told which servers there are. It
// grows while this instance stands still or is suspended, and nothing that was told before
// counts afterwards: the requests that waited for this instance run before it has read what
// has happened since.
func (f *Follower) VersionsAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, age := time.Now(), time.Duration(math.MaxInt64)
	if f.standstill.lasts(now) {
		return age
	}
	for _, watch := range f.controlWatches {
		if watch.serversAsOf.After(f.standstill.ended) {
			age = min(age, conductor.Elapsed(watch.serversAsOf, now))
		}
	}
	return age
}

// maxPause is the longest time between two refreshes of an instance that runs: several of
// their intervals, since a busy machine delays them.
const maxPause = 5 * refreshInterval

// standstill tells whether and when this process stood still.
type standstill struct {
	lastRefresh, ended time.Time
}

// lasts reports whether the process has done nothing for too long until now.
func (s *standstill) lasts(now time.Time) bool {
	return !s.lastRefresh.IsZero() && conductor.Elapsed(s.lastRefresh, now) > maxPause
}

// recordRefresh records that the process runs.
func (s *standstill) recordRefresh(now time.Time) {
	if s.lasts(now) {
		s.ended = now
	}
	s.lastRefresh = now
}

// ReportOrigins reports the origins of streams to a control instance until the context
// ends.
func (f *Follower) ReportOrigins(ctx context.Context) error {
	lastExpiry := time.Now()
	return conductor.RunEvery(ctx, originInterval, func(ctx context.Context) {
		now := time.Now()
		if now.Sub(lastExpiry) >= originExpiryInterval {
			f.origins.mu.Lock()
			f.origins.table.Expire(now)
			f.origins.mu.Unlock()
			lastExpiry = now
		}
		due := f.dueOrigins(now)
		if len(due) > 0 && !f.sendOrigins(ctx, due) {
			f.origins.mu.Lock()
			f.origins.addPending(due)
			f.origins.mu.Unlock()
		}
	})
}

// dueOrigins returns the origins to report: the pending ones, and all once a control
// instance has started anew.
func (f *Follower) dueOrigins(now time.Time) []versioner.Origin {
	f.mu.Lock()
	restarted := f.originsRestarted
	f.originsRestarted = false
	interval := originInterval
	if f.isLargeFleet() && f.allUniform(now) {
		interval = largeFleetOriginInterval
	}
	f.mu.Unlock()
	o := &f.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case restarted:
		o.pending = o.table.All(now)
	case now.Sub(o.lastReport) < interval:
		return nil
	}
	due := o.pending[:min(len(o.pending), maxPendingOrigins)]
	o.pending, o.lastReport = nil, now
	return due
}

// sendOrigins reports origins to one control instance, of this region if one confirms it,
// which tells the others. It reports whether any has confirmed.
func (f *Follower) sendOrigins(ctx context.Context, due []versioner.Origin) bool {
	near, far := f.controlsByDistance()
	slices.Sort(near)
	for _, address := range append(near, far...) {
		_, err := askControl[controller.OriginReport, controller.OriginReportAnswer](ctx, f, address, controller.MethodReportOrigins,
			controller.OriginReport{Origins: due}, originTimeout)
		if err == nil {
			return true
		}
		klog.V(2).InfoS("cannot report the origins of streams", "to", address, "streams", len(due), "err", logger.ErrorText(err))
	}
	return false
}

// askControl calls a control instance by its address.
func askControl[Q, A any](ctx context.Context, f *Follower, address, method string, query Q, timeout time.Duration) (A, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		var none A
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return messenger.Call[Q, A](ctx, f.client, messenger.Endpoint{Name: address, Address: parsed}, method, query)
}

// Origin returns the version by which the stream of a request began and how that was
// found: versioner.SourceUnknown if neither this instance nor a control instance in reach
// knows it.
func (f *Follower) Origin(ctx context.Context, request, service string) (string, versioner.Source) {
	stream := versioner.NewStreamID(request)
	f.origins.mu.Lock()
	version, known := f.origins.table.Version(time.Now(), stream)
	f.origins.mu.Unlock()
	if known {
		return version, versioner.SourceOwn
	}
	began := time.Now()
	version, source := f.askOrigin(ctx, controller.OriginQuery{Stream: stream, Service: service})
	klog.V(2).InfoS("origin of a stream", "request", request, "service", service, "version", version, "source", source, "took", time.Since(began))
	return version, source
}

// askOrigin asks all control instances at once. What one of them was told of the stream
// counts first, and then that all of them know one version of the service.
func (f *Follower) askOrigin(ctx context.Context, query controller.OriginQuery) (string, versioner.Source) {
	near, far := f.controlsByDistance()
	addresses := slices.Concat(near, far)
	answers := make(chan originAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			answer, err := askControl[controller.OriginQuery, controller.OriginAnswer](ctx, f, address, controller.MethodOrigin, query, askTimeout)
			if err != nil {
				klog.V(2).InfoS("cannot ask for the origin of a stream", "of", address, "err", logger.ErrorText(err))
			}
			answers <- originAnswer{OriginAnswer: answer, from: address, failed: err != nil}
		}()
	}
	answered := map[string]controller.OriginAnswer{}
	for range addresses {
		answer := <-answers
		if answer.Version != "" {
			return answer.Version, versioner.SourceReported
		}
		if !answer.failed {
			answered[answer.from] = answer.OriginAnswer
		}
	}
	if sole := soleVersion(addresses, answered); sole != "" && !f.hasOtherVersion(query.Service, sole) {
		return sole, versioner.SourceSole
	}
	return "", versioner.SourceUnknown
}

// originAnswer is the answer of one control instance to a question, or that it failed.
type originAnswer struct {
	controller.OriginAnswer
	from   string
	failed bool
}

// soleVersion returns the version that all control instances know as the only one of a
// service, or an empty string if there is none or one that may know another has not
// answered. The stream began before they were asked, so that the version of its server was
// known to one of them.
func soleVersion(asked []string, answered map[string]controller.OriginAnswer) string {
	sole := ""
	for _, answer := range answered {
		needed := answer.Controls
		if len(needed) == 0 { // an earlier release
			needed = asked
		}
		for _, address := range needed {
			if _, exists := answered[address]; !exists {
				return ""
			}
		}
		if answer.SoleVersion == "" || sole != "" && answer.SoleVersion != sole {
			return ""
		}
		sole = answer.SoleVersion
	}
	return sole
}

// hasOtherVersion reports whether this instance knows a server of a service with another
// version.
func (f *Follower) hasOtherVersion(service, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placer.HasOtherVersion(service, version)
}
