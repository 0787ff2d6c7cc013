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
	// workspaceBucket is the time of one bucket of a workspace: there are
	// many workspaces, so theirs are coarser.
	workspaceBucket = 5 * time.Minute
	// worstCount is how many workspaces a report names.
	worstCount = 10
)

// Reporter counts what becomes of requests. It implements acceptor.Observer
// and sender.Counters.
type Reporter struct {
	registry metrics.Registry

	mu         sync.Mutex
	routes     map[string]*series
	workspaces map[string]*series
}

// New returns a reporter whose metrics go to a registry.
func New(registry metrics.Registry) *Reporter {
	return &Reporter{registry: registry, routes: map[string]*series{}, workspaces: map[string]*series{}}
}

// Observe implements acceptor.Observer.
func (r *Reporter) Observe(x *exchanger.Exchange, refusal *exchanger.Refusal) {
	r.meter(x, refusal)
	counts, bad := judge(x, refusal)
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
	seriesOf(r.routes, x.Route.Name, bucketTime).add(now, count)
	if x.Workspace.Name != "" {
		seriesOf(r.workspaces, x.Workspace.Name, workspaceBucket).add(now, count)
	}
}

func seriesOf(all map[string]*series, name string, width time.Duration) *series {
	s, known := all[name]
	if !known {
		s = newSeries(width)
		all[name] = s
	}
	return s
}

func (r *Reporter) meter(x *exchanger.Exchange, refusal *exchanger.Refusal) {
	outcome := "answered"
	switch {
	case refusal != nil:
		outcome = "refused." + string(refusal.Code)
	case x.Result.Cut != nil:
		outcome = "cut." + string(x.Result.Cut.Code)
	}
	r.count("requests." + outcome)
	if x.Relay != "" {
		r.count("requests.relayed")
	}
	if !x.Result.FirstByte.IsZero() {
		metrics.GetOrRegisterTimer("first-byte", r.registry).Update(x.Result.FirstByte.Sub(x.Arrived))
	}
}

func (r *Reporter) count(name string) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(1)
}

// CountCrossed implements sender.Counters.
func (r *Reporter) CountCrossed() { r.count("answers.crossed") }

// CountRetry implements sender.Counters.
func (r *Reporter) CountRetry() { r.count("requests.retried") }

// CountResume implements sender.Counters.
func (r *Reporter) CountResume() { r.count("streams.resumed") }

// Counts are one instance's counts for a report.
type Counts struct {
	Region     string             `cbor:"g"`
	Routes     map[string]Windows `cbor:"r"`
	Workspaces map[string]Windows `cbor:"w"`
}

// Counts returns the counts of all routes and of the worst workspaces.
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
	keepWorst(counts.Workspaces, 10*worstCount)
	return counts
}

// keepWorst drops all but the workspaces with most misses.
func keepWorst(workspaces map[string]Windows, keep int) {
	names := slices.Collect(maps.Keys(workspaces))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(workspaces[b].Long.Bad, workspaces[a].Long.Bad), cmp.Compare(a, b))
	})
	for _, name := range names[min(keep, len(names)):] {
		delete(workspaces, name)
	}
}
