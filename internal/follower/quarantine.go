package follower

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Timing of evidence about prompt parts.
const (
	// evidenceInterval is how long evidence is batched before it is reported.
	evidenceInterval = 50 * time.Millisecond
	// evidenceRetryDelay is the pause after a report that no control instance has
	// confirmed.
	evidenceRetryDelay = 300 * time.Millisecond
	// evidenceTimeout bounds one report to a control instance.
	evidenceTimeout = 500 * time.Millisecond
	// evidenceExpiryInterval is the time between two looks for evidence that is too
	// old.
	evidenceExpiryInterval = 5 * time.Second
)

// quarantine is this instance's table of requests and prompt parts that crash servers, and what
// of it the control instances have been told. Its lock may be taken while f.mu is
// held, but not the other way round.
type quarantine struct {
	mu    sync.Mutex
	table quarantiner.Table
	// reported is the revision up to which what was recorded here has been reported.
	reported uint64
	// reportAll means that a control instance may have lost what it knew.
	reportAll bool
	// loggedFindings are what was last logged, by part.
	loggedFindings map[uint64]quarantiner.Finding
	lastExpiry     time.Time
	limiter        logger.RateLimiter
}

// Admit decides on a new request with some traits.
func (f *Follower) Admit(traits quarantiner.Traits) quarantiner.Admission {
	now := time.Now()
	if f.Level(traits) != quarantiner.LevelQuarantined {
		return f.admit(now, traits, nil)
	}
	return f.admit(now, traits, f.listInstances())
}

func (f *Follower) admit(now time.Time, traits quarantiner.Traits, instances []string) quarantiner.Admission {
	f.quarantine.mu.Lock()
	defer f.quarantine.mu.Unlock()
	admission := f.quarantine.table.Admit(now, traits, func(part uint64) bool {
		return instances != nil && proberOf(part, instances) == f.self.Name
	})
	if admission.Probe {
		klog.InfoS("quarantined request or prompt part probed by one request", "request-hash", strconv.FormatUint(traits.Request, 16), "shared-parts", len(traits.Parts))
	}
	return admission
}

// listInstances returns the names of the entry instances of the fleet, this one
// included.
func (f *Follower) listInstances() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := []string{f.self.Name}
	for name := range f.listedInstances {
		names = append(names, name)
	}
	return names
}

// proberOf returns the instance that may let a request with a quarantined part
// through as a probe. All instances that know the same others agree on it.
func proberOf(part uint64, instances []string) string {
	prober, highest := "", uint64(0)
	for _, name := range instances {
		if rank := xxhash.Sum64String(name + "/" + strconv.FormatUint(part, 16)); rank >= highest {
			prober, highest = name, rank
		}
	}
	return prober
}

// Level returns the highest level of some traits.
func (f *Follower) Level(traits quarantiner.Traits) quarantiner.Level {
	f.quarantine.mu.Lock()
	defer f.quarantine.mu.Unlock()
	return f.quarantine.table.Level(time.Now(), traits)
}

// RecordCrash records that a server has ended while a request with some traits was
// there, which had not begun long before. Servers that were known to leave have not
// crashed.
func (f *Follower) RecordCrash(at time.Time, server registrar.Server, traits quarantiner.Traits) {
	if f.isLeaving(server) {
		return
	}
	f.quarantine.mu.Lock()
	defer f.quarantine.mu.Unlock()
	f.quarantine.table.RecordCrash(at, quarantiner.NewCrashID(server.Name, server.StartedAtMillis), server.Service, traits)
}

// isLeaving reports whether a server has announced that it leaves or has left.
func (f *Follower) isLeaving(server registrar.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.placer.ServerConditions(time.Now())[server.Name] {
	case registrar.StateLeaving.String(), registrar.StateGone.String():
		return true
	}
	return false
}

// RecordSoundBegin records that an answer on some traits has begun and that the server
// went on.
func (f *Follower) RecordSoundBegin(began time.Time, server registrar.Server, traits quarantiner.Traits) {
	f.quarantine.mu.Lock()
	defer f.quarantine.mu.Unlock()
	f.quarantine.table.RecordSoundBegin(began, server.Service, traits)
}

// applyQuarantine takes over what a control instance knows of prompt parts. f.mu
// must be held.
func (f *Follower) applyQuarantine(now time.Time, watch *controlWatch, answer controller.WatchAnswer, restarted bool) {
	watch.quarantineRevision = answer.QuarantineRevision + 1
	f.quarantine.mu.Lock()
	defer f.quarantine.mu.Unlock()
	f.quarantine.reportAll = f.quarantine.reportAll || restarted
	f.quarantine.table.Merge(now, answer.Quarantine)
}

// ReportEvidence reports evidence about prompt parts to the control instances until
// the context ends.
func (f *Follower) ReportEvidence(ctx context.Context) error {
	return conductor.RunEvery(ctx, evidenceInterval, func(ctx context.Context) {
		parts, revision := f.quarantine.dueEvidence(time.Now())
		switch {
		case len(parts) == 0:
		case f.sendEvidence(ctx, parts):
			f.quarantine.recordReported(revision)
		default:
			conductor.Sleep(ctx, evidenceRetryDelay)
		}
	})
}

// dueEvidence returns what must be reported, and the revision that is reported with
// it. It also logs the parts whose level has changed and drops what is too old.
func (q *quarantine) dueEvidence(now time.Time) ([]quarantiner.Part, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastExpiry) >= evidenceExpiryInterval {
		q.table.Expire(now)
		q.lastExpiry = now
	}
	q.logLevels(now)
	revision := q.table.Revision()
	if q.reportAll {
		parts := q.table.Since(now, 0)
		q.reportAll = len(parts) > 0
		return parts, revision
	}
	return q.table.OwnSince(now, q.reported), revision
}

func (q *quarantine) recordReported(revision uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reported, q.reportAll = revision, false
}

// logLevels logs the parts whose level has changed, with the figures. q.mu must be
// held.
func (q *quarantine) logLevels(now time.Time) {
	findings := map[uint64]quarantiner.Finding{}
	for _, finding := range q.table.Findings(now) {
		findings[finding.Part] = finding
		if before := q.loggedFindings[finding.Part].Level; before != finding.Level {
			q.logLevel(now, finding, before)
		}
	}
	for part, before := range q.loggedFindings {
		if _, known := findings[part]; !known {
			q.logLevel(now, quarantiner.Finding{Part: part, IsRequest: before.IsRequest}, before.Level)
		}
	}
	q.loggedFindings = findings
}

func (q *quarantine) logLevel(now time.Time, finding quarantiner.Finding, before quarantiner.Level) {
	if leftOut, ok := q.limiter.Allow(now); ok || finding.Level == quarantiner.LevelQuarantined {
		kind := "prompt part"
		if finding.IsRequest {
			kind = "repeated request"
		}
		klog.InfoS(kind, "part", strconv.FormatUint(finding.Part, 16), "level", finding.Level, "before", before,
			"crashes", finding.Crashes, "uncleared", finding.Uncleared, "probes", finding.Probes, "left-out", leftOut)
	}
}

// sendEvidence reports evidence to all control instances of this region or, if none
// of them confirms it, to all others. It reports whether any has confirmed.
func (f *Follower) sendEvidence(ctx context.Context, parts []quarantiner.Part) bool {
	near, far := f.controlsByDistance()
	report := controller.EvidenceReport{Parts: parts}
	return f.sendEvidenceTo(ctx, near, report) || f.sendEvidenceTo(ctx, far, report)
}

// controlsByDistance returns the addresses of the watched control instances of this
// region, and of the others.
func (f *Follower) controlsByDistance() (near, far []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, watch := range f.controlWatches {
		if watch.region == f.self.Region {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return near, far
}

// sendEvidenceTo sends a report to several control instances at once. It returns
// when one has confirmed it; the other calls go on.
func (f *Follower) sendEvidenceTo(ctx context.Context, addresses []string, report controller.EvidenceReport) bool {
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			results <- err
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
			defer cancel()
			to := messenger.Endpoint{Name: address, Address: parsed}
			_, err := messenger.Call[controller.EvidenceReport, controller.EvidenceAnswer](ctx, f.client, to, controller.MethodReportEvidence, report)
			results <- err
		}()
	}
	for range addresses {
		err := <-results
		if err == nil {
			return true
		}
		klog.V(2).InfoS("cannot report evidence about prompt parts", "parts", len(report.Parts), "err", logger.ErrorText(err))
	}
	return false
}
