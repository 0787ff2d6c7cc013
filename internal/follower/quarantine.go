package follower

import (
	"context"
	"net/netip"
	"time"

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
)

// Admit decides on a new request with some traits.
func (f *Follower) Admit(traits quarantiner.Traits) quarantiner.Admission {
	return f.quarantine.Admit(traits, f.self.Name, f.listInstances)
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

// Level returns the highest level of some traits.
func (f *Follower) Level(traits quarantiner.Traits) quarantiner.Level {
	return f.quarantine.Level(traits)
}

// RecordCrash records that a server has ended while a request with some traits was
// there, which had not begun long before. Servers that were known to leave have not
// crashed.
func (f *Follower) RecordCrash(at time.Time, server registrar.Server, traits quarantiner.Traits) {
	if !f.isLeaving(server) {
		f.quarantine.RecordCrash(at, server, traits)
	}
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
	f.quarantine.RecordSoundBegin(began, server, traits)
}

// applyQuarantine takes over what a control instance knows of requests and prompt parts.
// f.mu must be held.
func (f *Follower) applyQuarantine(now time.Time, watch *controlWatch, answer controller.WatchAnswer, restarted bool) {
	watch.quarantineRevision = answer.QuarantineRevision + 1
	if restarted {
		f.quarantine.ReportAll()
	}
	f.quarantine.Merge(now, answer.Quarantine)
}

// ReportEvidence reports evidence about prompt parts to the control instances until
// the context ends.
func (f *Follower) ReportEvidence(ctx context.Context) error {
	return conductor.RunEvery(ctx, evidenceInterval, func(ctx context.Context) {
		parts, revision := f.quarantine.Due(time.Now())
		switch {
		case len(parts) == 0:
		case f.sendEvidence(ctx, parts):
			f.quarantine.RecordReported(revision)
		default:
			conductor.Sleep(ctx, evidenceRetryDelay)
		}
	})
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
