package experimenter

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a policy made of a pattern.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Worth is what callers got of what their requests were worth, from 0 to 1.
	Worth   float64 `json:"worth"`
	Kinds   []Share `json:"kinds"`
	Regions []Share `json:"regions"`
	Windows []Share `json:"windows"`
	// Sizes are the largest tenth of each kind and the fifth below it.
	Sizes   []Share  `json:"sizes"`
	Engines []Effort `json:"engines"`
	// Repeated is the part of the prompt tokens that were read though some engine
	// had read them before.
	Repeated float64 `json:"repeated"`
	// Preempted counts requests that lost their memory at an engine.
	Preempted int `json:"preempted"`
}

// Share is how a part of the requests fared.
type Share struct {
	Name    string        `json:"name"`
	Asked   int           `json:"asked"`
	InTime  int           `json:"in-time"`
	Late    int           `json:"late"`
	Refused int           `json:"refused"`
	Failed  int           `json:"failed"`
	Worth   float64       `json:"worth"`
	Median  time.Duration `json:"median"`
	Slowest time.Duration `json:"p99"`
	// Gap is the 99th percentile of the longest pause of an answer.
	Gap time.Duration `json:"gap-p99"`
}

// Effort is how busy the engines of a region were, from 0 to 1.
type Effort struct {
	Region string  `json:"region"`
	Busy   float64 `json:"busy"`
	Read   float64 `json:"read"`
}

// windowTime is the length of a window of the result.
const windowTime = 2 * time.Second

// part adds up a share.
type part struct {
	Share
	got, owed float64
	first     *hdrhistogram.Histogram
	gap       *hdrhistogram.Histogram
}

// Bounds of the histograms of times: microseconds up to a minute, to three
// digits.
const (
	shortestTime = int64(1)
	longestTime  = int64(time.Minute / time.Microsecond)
	timeDigits   = 3
)

func newPart(name string) *part {
	return &part{
		Share: Share{Name: name},
		first: hdrhistogram.New(shortestTime, longestTime, timeDigits),
		gap:   hdrhistogram.New(shortestTime, longestTime, timeDigits),
	}
}

func (p *part) note(c *call) {
	p.Asked++
	worth := c.kindOf.Worth * c.weight
	p.owed += worth
	switch c.outcome {
	case outcomeInTime:
		p.InTime++
		p.got += worth
	case outcomeLate:
		p.Late++
		p.got += c.kindOf.Late * c.weight
	case outcomeRefused:
		p.Refused++
	default:
		p.Failed++
	}
	if !c.first.IsZero() {
		_ = p.first.RecordValue(c.first.Sub(c.started).Microseconds()) // above a minute nobody waits
		_ = p.gap.RecordValue(c.gap.Microseconds())
	}
}

func (p *part) share() Share {
	s := p.Share
	if p.owed > 0 {
		s.Worth = p.got / p.owed
	}
	s.Median = time.Duration(p.first.ValueAtQuantile(50)) * time.Microsecond
	s.Slowest = time.Duration(p.first.ValueAtQuantile(99)) * time.Microsecond
	s.Gap = time.Duration(p.gap.ValueAtQuantile(99)) * time.Microsecond
	return s
}

// tally adds up a play.
type tally struct {
	all     *part
	kinds   []*part
	regions []*part
	windows []*part
	sizes   [][2]*part
	// bounds are the weights from which on a request belongs to those sizes.
	bounds [][2]float64
}

// The largest requests of a kind, as shares of all.
const (
	largestShare = 0.1
	largerShare  = 0.3
)

// measure finds out which requests are the largest of their kinds.
func (t *tally) measure(all []arrival) {
	weights := make([][]float64, len(t.kinds))
	for _, a := range all {
		weights[a.kind] = append(weights[a.kind], a.weight)
	}
	for k, kind := range t.kinds {
		sorted := slices.Sorted(slices.Values(weights[k]))
		var bounds [2]float64
		for i, share := range []float64{largestShare, largerShare} {
			if len(sorted) > 0 {
				bounds[i] = sorted[int(float64(len(sorted))*(1-share))]
			}
		}
		t.bounds = append(t.bounds, bounds)
		t.sizes = append(t.sizes, [2]*part{newPart(kind.Name + " largest tenth"), newPart(kind.Name + " fifth below")})
	}
}

func newTally(pattern Pattern) *tally {
	t := &tally{all: newPart("all")}
	for _, kind := range pattern.Kinds {
		t.kinds = append(t.kinds, newPart(kind.Name))
	}
	for _, r := range pattern.Regions {
		t.regions = append(t.regions, newPart(r.Name))
	}
	for at := time.Duration(0); at < pattern.Duration; at += windowTime {
		t.windows = append(t.windows, newPart(at.String()))
	}
	return t
}

func (t *tally) note(c *call) {
	window := min(int(c.started.Sub(epoch)/windowTime), len(t.windows)-1)
	for _, p := range []*part{t.all, t.kinds[c.kind], t.regions[c.region], t.windows[window]} {
		p.note(c)
	}
	switch bounds := t.bounds[c.kind]; {
	case c.weight >= bounds[0]:
		t.sizes[c.kind][0].note(c)
	case c.weight >= bounds[1]:
		t.sizes[c.kind][1].note(c)
	}
}

func shares(parts []*part) []Share {
	var all []Share
	for _, p := range parts {
		all = append(all, p.share())
	}
	return all
}

func (t *tally) result(policy string, seed uint64, w *world) Result {
	result := Result{
		Policy: policy, Seed: seed, Worth: t.all.share().Worth,
		Kinds: append(shares(t.kinds), t.all.share()), Regions: shares(t.regions), Windows: shares(t.windows),
	}
	for _, sizes := range t.sizes {
		result.Sizes = append(result.Sizes, shares(sizes[:])...)
	}
	read, repeated := int64(0), int64(0)
	for _, r := range w.regions {
		effort := Effort{Region: r.Name}
		for _, e := range r.engines {
			effort.Busy += e.Busy.Seconds()
			effort.Read += float64(e.Read) / w.pattern.Engine.ReadRate
			read += e.Read
			repeated += e.Repeated
			result.Preempted += e.Preempted
		}
		seconds := w.pattern.Duration.Seconds() * float64(len(r.engines))
		effort.Busy, effort.Read = effort.Busy/seconds, effort.Read/seconds
		result.Engines = append(result.Engines, effort)
	}
	if read > 0 {
		result.Repeated = float64(repeated) / float64(read)
	}
	return result
}

// worst returns the mean worth of the two worst windows.
func (r Result) worst() float64 {
	var worths []float64
	for _, window := range r.Windows {
		if window.Asked > 0 {
			worths = append(worths, window.Worth)
		}
	}
	slices.Sort(worths)
	if len(worths) < 2 {
		return r.Worth
	}
	return (worths[0] + worths[1]) / 2
}
