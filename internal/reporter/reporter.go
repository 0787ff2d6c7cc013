package reporter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/boragehead/boragehead/internal/exchanger"
)

const (
	// workspaceBucketWidth is the time covered by one bucket of a workspace. It is
	// longer than that of a route because there are many workspaces.
	workspaceBucketWidth = 5 * time.Minute
	// reportedWorkspaces is the number of workspaces in a report.
	reportedWorkspaces = 10
)

// Reporter counts the outcomes of requests. It implements acceptor.Observer and
// sender.Counters, and is safe for concurrent use.
type Reporter struct {
	registry metrics.Registry

	mu         sync.Mutex
	routes     map[string]*series
	workspaces map[string]*series
}

// New returns a reporter that registers its metrics in the given registry.
func New(registry metrics.Registry) *Reporter {
	return &Reporter{registry: registry, routes: map[string]*series{}, workspaces: map[string]*series{}}
}

// Observe implements acceptor.Observer.
func (r *Reporter) Observe(x *exchanger.Exchange, refusal *exchanger.Refusal) {
	r.recordMetrics(x, refusal)
	counts, bad := classify(x, refusal)
	if !counts {
		return
	}
	count := Count{Total: 1}
	if bad {
		count.Bad = 1
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	seriesFor(r.routes, x.Route.Name, routeBucketWidth).add(now, count)
	if x.Workspace.Name != "" {
		seriesFor(r.workspaces, x.Workspace.Name, workspaceBucketWidth).add(now, count)
	}
}

func seriesFor(all map[string]*series, name string, width time.Duration) *series {
	s, known := all[name]
	if !known {
		s = newSeries(width)
		all[name] = s
	}
	return s
}

func (r *Reporter) recordMetrics(x *exchanger.Exchange, refusal *exchanger.Refusal) {
	outcome := "answered"
	switch {
	case refusal != nil:
		outcome = "refused." + string(refusal.Code)
	case x.Result.StreamError != nil:
		outcome = "cut." + string(x.Result.StreamError.Code)
	}
	r.increment("requests." + outcome)
	if x.Relay != "" {
		r.increment("requests.relayed")
	}
	if !x.Result.FirstByte.IsZero() {
		metrics.GetOrRegisterTimer("first-byte", r.registry).Update(x.Result.FirstByte.Sub(x.Arrived))
	}
}

func (r *Reporter) increment(name string) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(1)
}

// CountMismatched implements sender.Counters.
func (r *Reporter) CountMismatched() { r.increment("answers.crossed") }

// CountDisbelieved implements sender.Counters.
func (r *Reporter) CountDisbelieved() { r.increment("refusals.not-believed") }

// CountRetry implements sender.Counters.
func (r *Reporter) CountRetry() { r.increment("requests.retried") }

// Count implements detector.Metrics.
func (r *Reporter) Count(name string) { r.increment(name) }

// CountResume implements sender.Counters.
func (r *Reporter) CountResume() { r.increment("streams.resumed") }

// Counts holds one instance's counts for a report, by route and by workspace.
type Counts struct {
	Region     string             `cbor:"g"`
	Routes     map[string]Windows `cbor:"r"`
	Workspaces map[string]Windows `cbor:"w"`
}

// Counts returns the counts of all routes, and of the workspaces with the most
// missed requests, ten times as many as a report names.
func (r *Reporter) Counts(region string) Counts {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := Counts{Region: region, Routes: map[string]Windows{}, Workspaces: map[string]Windows{}}
	for name, s := range r.routes {
		counts.Routes[name] = s.windows(now)
	}
	for name, s := range r.workspaces {
		if windows := s.windows(now); windows.Long.Bad > 0 {
			counts.Workspaces[name] = windows
		}
	}
	keepWorst(counts.Workspaces, 10*reportedWorkspaces)
	return counts
}

// keepWorst deletes all but the given number of workspaces with the most missed
// requests.
func keepWorst(workspaces map[string]Windows, keep int) {
	names := slices.Collect(maps.Keys(workspaces))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(workspaces[b].Long.Bad, workspaces[a].Long.Bad), cmp.Compare(a, b))
	})
	for _, name := range names[min(keep, len(names)):] {
		delete(workspaces, name)
	}
}
