package experimenter

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a pattern under one policy and seed.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Worth is the total value of the responses as a fraction, from 0 to 1, of their
	// value if all had been in time.
	Worth   float64       `json:"worth"`
	Kinds   []GroupResult `json:"kinds"`
	Regions []GroupResult `json:"regions"`
	Windows []GroupResult `json:"windows"`
	// Sizes has two groups for each kind: the largest tenth of its requests, and the
	// next fifth.
	Sizes []GroupResult `json:"sizes"`
	// Workspaces has a group for each hot workspace and one for all others.
	Workspaces []GroupResult `json:"workspaces,omitempty"`
	Engines    []Utilization `json:"engines"`
	// RepeatedShare is the fraction of prefilled prompt tokens that some engine had
	// prefilled before.
	RepeatedShare float64 `json:"repeated"`
	// Preemptions counts how often a running request lost its memory on an engine.
	Preemptions int `json:"preempted"`
	// Partitions counts first attempts during partitions.
	Partitions PartitionResult `json:"partitions"`
}

// GroupResult is the outcome of a group of requests. Requests counts all of them;
// Worth is as in Result.
type GroupResult struct {
	Name     string  `json:"name"`
	Requests int     `json:"asked"`
	InTime   int     `json:"in-time"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Worth    float64 `json:"worth"`
	// Bound is at least the worth that any policy reaches for the group, also at the
	// expense of all other requests. Mix is the group's worth in an approximation of the
	// schedule that is worth most for all requests together; it is not a bound for the
	// group. Both are 0 for sizes and workspaces.
	Bound            float64       `json:"bound,omitempty"`
	Mix              float64       `json:"mix,omitempty"`
	FirstEventMedian time.Duration `json:"median"`
	FirstEventP99    time.Duration `json:"p99"`
	// GapP99 is the 99th percentile of the longest gap between events in a response.
	GapP99 time.Duration `json:"gap-p99"`
}

// Utilization is the mean utilization of a region's engines: Busy is the fraction
// of time in which they ran steps, Prefill the fraction that their prefilled
// tokens take at the prefill rate.
type Utilization struct {
	Region  string  `json:"region"`
	Busy    float64 `json:"busy"`
	Prefill float64 `json:"read"`
}

// windowLength is the length of the time windows in a result.
const windowLength = 2 * time.Second

// group accumulates the results of a group of requests.
type group struct {
	GroupResult
	earned, possible float64
	firstEvent       *hdrhistogram.Histogram
	gap              *hdrhistogram.Histogram
}

// Range of the time histograms, in microseconds up to a minute, and their
// precision in decimal digits.
const (
	minMicroseconds   = int64(1)
	maxMicroseconds   = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

func newGroup(name string) *group {
	return &group{
		GroupResult: GroupResult{Name: name},
		firstEvent:  hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		gap:         hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
	}
}

func (g *group) record(c *call) {
	g.Requests++
	worth := c.kind.Worth * c.weight
	g.possible += worth
	switch c.outcome {
	case outcomeInTime:
		g.InTime++
		g.earned += worth
	case outcomeLate:
		g.Late++
		g.earned += c.kind.LateWorth * c.weight
	case outcomeRefused:
		g.Refused++
	default:
		g.Failed++
	}
	if !c.firstEvent.IsZero() {
		_ = g.firstEvent.RecordValue(c.firstEvent.Sub(c.startedAt).Microseconds()) // fails only above a minute; no caller waits that long
		_ = g.gap.RecordValue(c.longestGap.Microseconds())
	}
}

func (g *group) result() GroupResult {
	result := g.GroupResult
	if g.possible > 0 {
		result.Worth = g.earned / g.possible
	}
	result.FirstEventMedian = time.Duration(g.firstEvent.ValueAtQuantile(50)) * time.Microsecond
	result.FirstEventP99 = time.Duration(g.firstEvent.ValueAtQuantile(99)) * time.Microsecond
	result.GapP99 = time.Duration(g.gap.ValueAtQuantile(99)) * time.Microsecond
	return result
}

// tally accumulates the results of a simulation.
type tally struct {
	pattern Pattern
	all     *group
	kinds   []*group
	regions []*group
	windows []*group
	sizes   [][2]*group
	// workspaces holds the groups of the hot workspaces and, last, of all others. It is
	// empty without hot workspaces.
	workspaces []*group
	// sizeBounds holds, for each kind, the lowest weights of the two groups in sizes.
	sizeBounds [][2]float64
	partitions PartitionResult
}

// The fractions of a kind's requests above the two size bounds.
const (
	largestShare = 0.1
	largerShare  = 0.3
)

// setSizeBounds determines which requests are the largest of their kinds.
func (t *tally) setSizeBounds(all []arrival) {
	weights := make([][]float64, len(t.kinds))
	for _, a := range all {
		weights[a.kindIndex] = append(weights[a.kindIndex], a.weight)
	}
	for k, kind := range t.kinds {
		sorted := slices.Sorted(slices.Values(weights[k]))
		var bounds [2]float64
		for i, share := range []float64{largestShare, largerShare} {
			if len(sorted) > 0 {
				bounds[i] = sorted[int(float64(len(sorted))*(1-share))]
			}
		}
		t.sizeBounds = append(t.sizeBounds, bounds)
		t.sizes = append(t.sizes, [2]*group{newGroup(kind.Name + " largest tenth"), newGroup(kind.Name + " fifth below")})
	}
}

func newTally(pattern Pattern) *tally {
	t := &tally{pattern: pattern, all: newGroup("all")}
	for _, kind := range pattern.Kinds {
		t.kinds = append(t.kinds, newGroup(kind.Name))
	}
	for _, r := range pattern.Regions {
		t.regions = append(t.regions, newGroup(r.Name))
	}
	for at := time.Duration(0); at < pattern.Duration; at += windowLength {
		t.windows = append(t.windows, newGroup(at.String()))
	}
	if len(pattern.HotWorkspaces) > 0 {
		for _, hot := range pattern.HotWorkspaces {
			t.workspaces = append(t.workspaces, newGroup("workspace "+hot.Name))
		}
		t.workspaces = append(t.workspaces, newGroup("other workspaces"))
	}
	return t
}

func (t *tally) record(c *call) {
	t.countFirst(c)
	window := t.pattern.windowOf(c.startedAt.Sub(epoch))
	for _, g := range []*group{t.all, t.kinds[c.kindIndex], t.regions[c.regionIndex], t.windows[window]} {
		g.record(c)
	}
	if len(t.workspaces) > 0 {
		t.workspaces[c.workspaceIndex].record(c)
	}
	switch bounds := t.sizeBounds[c.kindIndex]; {
	case c.weight >= bounds[0]:
		t.sizes[c.kindIndex][0].record(c)
	case c.weight >= bounds[1]:
		t.sizes[c.kindIndex][1].record(c)
	}
}

func groupResults(groups []*group) []GroupResult {
	var all []GroupResult
	for _, g := range groups {
		all = append(all, g.result())
	}
	return all
}

func (t *tally) result(policy string, seed uint64, s *simulation) Result {
	result := Result{
		Policy: policy, Seed: seed, Worth: t.all.result().Worth,
		Kinds: append(groupResults(t.kinds), t.all.result()), Regions: groupResults(t.regions), Windows: groupResults(t.windows),
		Workspaces: groupResults(t.workspaces), Partitions: t.partitions,
	}
	for _, sizes := range t.sizes {
		result.Sizes = append(result.Sizes, groupResults(sizes[:])...)
	}
	prefilled, repeated := int64(0), int64(0)
	for _, r := range s.regions {
		utilization := Utilization{Region: r.Name}
		for _, e := range r.engines {
			utilization.Busy += e.BusyTime.Seconds()
			utilization.Prefill += float64(e.PrefilledTokens) / s.pattern.Engine.PrefillRate
			prefilled += e.PrefilledTokens
			repeated += e.RepeatedTokens
			result.Preemptions += e.Preemptions
		}
		seconds := s.pattern.Duration.Seconds() * float64(len(r.engines))
		utilization.Busy, utilization.Prefill = utilization.Busy/seconds, utilization.Prefill/seconds
		result.Engines = append(result.Engines, utilization)
	}
	if prefilled > 0 {
		result.RepeatedShare = float64(repeated) / float64(prefilled)
	}
	return result
}

// worstWindowsWorth returns the mean worth of the two worst windows.
func (r Result) worstWindowsWorth() float64 {
	var worths []float64
	for _, window := range r.Windows {
		if window.Requests > 0 {
			worths = append(worths, window.Worth)
		}
	}
	slices.Sort(worths)
	if len(worths) < 2 {
		return r.Worth
	}
	return (worths[0] + worths[1]) / 2
}
