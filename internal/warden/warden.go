// Package warden keeps one instance's table of the requests and prompt parts that crash
// servers, and what of it other processes have been told. How it is told is up to its
// users.
package warden

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// expiryInterval is the time between two looks for evidence that is too old.
const expiryInterval = 5 * time.Second

// Warden is a table with its lock. The zero value knows nothing. It is safe for concurrent
// use, and calls nothing back while its lock is held but the functions that it is given.
type Warden struct {
	mu    sync.Mutex
	table quarantiner.Table
	// reported is the revision up to which what was recorded here has been reported.
	reported uint64
	// reportAll means that another process may have lost what it knew.
	reportAll bool
	// loggedFindings are what was last logged, by part.
	loggedFindings map[uint64]quarantiner.Finding
	lastExpiry     time.Time
	limiter        logger.RateLimiter
}

// Admit decides on a new request with some traits at the instance named self. Instances,
// which is called only for quarantined requests, returns the names of all instances, one
// of which may probe.
func (w *Warden) Admit(traits quarantiner.Traits, self string, instances func() []string) quarantiner.Admission {
	now := time.Now()
	var names []string
	if w.Level(traits) == quarantiner.LevelQuarantined {
		names = instances()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	admission := w.table.Admit(now, traits, func(part uint64) bool {
		return names != nil && proberOf(part, names) == self
	})
	if admission.Probe {
		klog.InfoS("quarantined request or prompt part probed by one request", "request-hash", quarantiner.HashName(traits.Request), "shared-parts", traits.PartNames())
	}
	return admission
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
func (w *Warden) Level(traits quarantiner.Traits) quarantiner.Level {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Level(time.Now(), traits)
}

// RecordCrash records that a server has ended while a request with some traits was
// there, which had not begun long before.
func (w *Warden) RecordCrash(at time.Time, server registrar.Server, traits quarantiner.Traits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.RecordCrash(at, quarantiner.NewCrashID(server.Name, server.StartedAtMillis), server.Service, traits)
}

// RecordSoundBegin records that an answer on some traits has begun and that the server
// went on.
func (w *Warden) RecordSoundBegin(began time.Time, server registrar.Server, traits quarantiner.Traits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.RecordSoundBegin(began, server.Service, traits)
}

// Merge takes over what another process knows.
func (w *Warden) Merge(now time.Time, parts []quarantiner.Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Merge(now, parts)
}

// Digest returns a hash of what is known; see quarantiner.Table.Digest.
func (w *Warden) Digest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Digest()
}

// All returns all that is known.
func (w *Warden) All(now time.Time) []quarantiner.Part {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Since(now, 0)
}

// ReportAll makes all that is known due, since another process may have lost it.
func (w *Warden) ReportAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportAll = true
}

// Due returns what must be reported, and the revision that is reported with it. It also
// logs the parts whose level has changed and drops what is too old.
func (w *Warden) Due(now time.Time) ([]quarantiner.Part, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.lastExpiry) >= expiryInterval {
		w.table.Expire(now)
		w.lastExpiry = now
	}
	w.logLevels(now)
	revision := w.table.Revision()
	if w.reportAll {
		parts := w.table.Since(now, 0)
		w.reportAll = len(parts) > 0
		return parts, revision
	}
	return w.table.OwnSince(now, w.reported), revision
}

// RecordReported records that what was due has been reported.
func (w *Warden) RecordReported(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reported, w.reportAll = revision, false
}

// logLevels logs the parts whose level has changed, with the figures. w.mu must be
// held.
func (w *Warden) logLevels(now time.Time) {
	findings := map[uint64]quarantiner.Finding{}
	for _, finding := range w.table.Findings(now) {
		findings[finding.Part] = finding
		if before := w.loggedFindings[finding.Part].Level; before != finding.Level {
			w.logLevel(now, finding, before)
		}
	}
	for part, before := range w.loggedFindings {
		if _, known := findings[part]; !known {
			w.logLevel(now, quarantiner.Finding{Part: part, IsRequest: before.IsRequest}, before.Level)
		}
	}
	w.loggedFindings = findings
}

func (w *Warden) logLevel(now time.Time, finding quarantiner.Finding, before quarantiner.Level) {
	if leftOut, ok := w.limiter.Allow(now); ok || finding.Level == quarantiner.LevelQuarantined {
		kind := "prompt part"
		if finding.IsRequest {
			kind = "repeated request"
		}
		klog.InfoS(kind, "part", strconv.FormatUint(finding.Part, 16), "level", finding.Level, "before", before,
			"crashes", finding.Crashes, "uncleared", finding.Uncleared, "probes", finding.Probes, "left-out", leftOut)
	}
}
