package limiter_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/limiter"
)

// arrival is one request of a load, the same for every way of limiting.
type arrival struct {
	at     time.Duration
	holder int
	cost   float64
	used   float64
	lasts  time.Duration
}

// loadShape is a load of one workspace over the holders.
type loadShape struct {
	name string
	// demand is the share of the rate that is asked for.
	demand float64
	// skew is the share of the requests that come to the first holder.
	skew float64
	// hour makes the callers wake together once a minute.
	hour bool
}

const (
	loadRate  = 8000.0
	loadBurst = 120_000.0
	loadTime  = 10 * time.Minute
)

func (s loadShape) arrivals(seed uint64, holders int) []arrival {
	random := rand.New(rand.NewPCG(seed, 4))
	var all []arrival
	const meanUsed = 700.0
	perSecond := s.demand * loadRate / meanUsed
	for at := time.Duration(0); at < loadTime; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		when := at
		if s.hour && random.IntN(2) == 0 {
			when = at.Truncate(time.Minute) + time.Duration(random.IntN(2000))*time.Millisecond
		}
		holder := 0
		if random.Float64() >= s.skew {
			holder = random.IntN(holders)
		}
		used := 100 + random.ExpFloat64()*(meanUsed-100)
		all = append(all, arrival{
			at: when, holder: holder, used: used, cost: math.Ceil(used * (1 + random.Float64())),
			lasts: time.Duration(used * 10 * float64(time.Millisecond)),
		})
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// counts are the figures of one way of limiting on one load.
type counts struct {
	within, wrongful, asked, refused int
	through                          float64
}

func (c *counts) add(other counts) {
	c.within += other.within
	c.wrongful += other.wrongful
	c.asked += other.asked
	c.refused += other.refused
	c.through += other.through
}

// measureSeeds is how many seeds a figure is the mean of.
const measureSeeds = 12

// BenchmarkWrongfulRefusals sets the ledger's grants, with transfers and
// leases by demand, beside a static split on the same input. A refusal is
// wrongful when a single bucket for the whole fleet would have let the request
// through.
func BenchmarkWrongfulRefusals(b *testing.B) {
	shapes := []loadShape{
		{name: "even", demand: 0.6, skew: 0},
		{name: "skewed", demand: 0.6, skew: 0.7},
		{name: "hour", demand: 0.4, skew: 0.3, hour: true},
		{name: "threefold", demand: 3, skew: 0.3},
	}
	for _, shape := range shapes {
		for _, way := range []string{"static-split", "grants"} {
			b.Run(shape.name+"/"+way, func(b *testing.B) {
				var got counts
				for b.Loop() {
					got = counts{}
					for seed := range uint64(measureSeeds) {
						got.add(measure(seed, shape, way == "static-split"))
					}
				}
				b.ReportMetric(100*float64(got.wrongful)/float64(max(got.within, 1)), "%wrongful")
				b.ReportMetric(100*got.through/(measureSeeds*loadRate*loadTime.Seconds()), "%of-rate")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// measure plays a load. The ideal is one bucket that sees all.
func measure(seed uint64, shape loadShape, static bool) counts {
	w := newWorld(seed, loadRate, loadBurst, map[string]int{"a": 3, "b": 2, "c": 2})
	w.faults = 1000
	for range 150 {
		w.tick(200 * time.Millisecond)
	}
	if static {
		w.splitEvenly()
	}
	ideal := singleBucket(w.now)
	var got counts
	begin := w.now
	for _, a := range shape.arrivals(seed, len(w.holders)) {
		for w.now.Sub(begin) < a.at {
			w.advance(min(100*time.Millisecond, a.at-w.now.Sub(begin)), static)
		}
		allowed := ideal.take(w.now, a)
		let := w.let(a, static)
		got.asked++
		if allowed {
			got.within++
		}
		if let {
			got.through += a.used
			continue
		}
		got.refused++
		if allowed {
			got.wrongful++
		}
	}
	return got
}

// advance lets time pass; a static split needs no ledger.
func (w *world) advance(step time.Duration, static bool) {
	if !static {
		w.tick(step)
		return
	}
	w.now = w.now.Add(step)
	for _, h := range w.holders {
		w.settle(h)
	}
}

func (w *world) let(a arrival, static bool) bool {
	h := w.holders[a.holder]
	now := w.clock(h)
	reservation, missing, err := h.limits.Reserve(now, workspace, a.cost)
	var loans []loan
	if err != nil && !static {
		var borrowed float64
		if borrowed, loans = w.borrow(h, missing); borrowed >= missing {
			reservation, err = h.limits.ReserveWith(now, now, workspace, a.cost, borrowed)
		}
	}
	if err != nil {
		return false
	}
	h.open = append(h.open, openRequest{reservation: reservation, loans: loans, cost: a.used, until: w.now.Add(a.lasts)})
	return true
}

// splitEvenly gives every holder the same part for ever.
func (w *world) splitEvenly() {
	share := granter.Share{Floor: granter.Tokens(loadRate, loadBurst).Scale(1 / float64(len(w.holders)))}
	for _, h := range w.holders {
		h.limits = limiter.Limiter{}
		grant := granter.Grant{Workspace: workspace, Granted: share, Target: share, Version: 1, Whole: granter.Tokens(loadRate, loadBurst)}
		h.limits.Grant(w.clock(h).Add(-time.Hour), grant)
	}
}

// bucketOfAll is the single bucket that a fleet does not have.
type bucketOfAll struct {
	limits limiter.Limiter
	open   []openRequest
}

func singleBucket(now time.Time) *bucketOfAll {
	ideal := &bucketOfAll{}
	share := granter.Share{Floor: granter.Tokens(loadRate, loadBurst)}
	grant := granter.Grant{Workspace: workspace, Granted: share, Target: share, Version: 1, Whole: granter.Tokens(loadRate, loadBurst)}
	ideal.limits.Grant(now.Add(-time.Hour), grant)
	return ideal
}

func (i *bucketOfAll) take(now time.Time, a arrival) bool {
	kept := i.open[:0]
	for _, r := range i.open {
		if now.Before(r.until) {
			kept = append(kept, r)
			continue
		}
		i.limits.Settle(now, r.reservation, r.cost)
	}
	i.open = kept
	reservation, _, err := i.limits.Reserve(now, workspace, a.cost)
	if err != nil {
		return false
	}
	i.open = append(i.open, openRequest{reservation: reservation, cost: a.used, until: now.Add(a.lasts)})
	return true
}

// BenchmarkIsolatedRegion reports how much of a workspace's rate a region can
// still use once it has been cut off for longer than every lease.
func BenchmarkIsolatedRegion(b *testing.B) {
	w := newWorld(5, loadRate, loadBurst, map[string]int{"a": 3, "b": 2, "c": 2})
	for b.Loop() {
		for range 150 {
			w.tick(200 * time.Millisecond)
		}
		for _, h := range w.holders {
			h.cut = h.instance.Region == "a"
		}
		for range 200 {
			w.tick(200 * time.Millisecond)
		}
	}
	usable := 0.0
	for _, grant := range w.ledger.Grants(workspace) {
		if grant.Instance[0] == 'a' {
			usable += grant.Granted.Floor.RateTokens()
		}
	}
	b.ReportMetric(100*usable/loadRate, "%of-rate")
	b.ReportMetric(0, "ns/op")
}
