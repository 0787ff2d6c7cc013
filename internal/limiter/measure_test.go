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

// arrival is one request of a load. All limiting methods get the same arrivals.
// Cost is what the request reserves and used is what it uses, in tokens.
type arrival struct {
	at       time.Duration
	holder   int
	cost     float64
	used     float64
	duration time.Duration
}

// loadShape describes the load of one workspace on the holders.
type loadShape struct {
	name string
	// demand is the mean demand as a multiple of the rate.
	demand float64
	// skew is the share of the requests that go to the first holder. The others
	// are spread evenly over all holders.
	skew float64
	// minutePeaks moves half of the requests to the first two seconds of their
	// minute.
	minutePeaks bool
}

// Limits of the workspace in tokens per second and tokens, and the duration of a
// load.
const (
	loadRate  = 8000.0
	loadBurst = 120_000.0
	loadTime  = 10 * time.Minute
)

// arrivals returns the requests of the load in the order of their arrival.
func (s loadShape) arrivals(seed uint64, holders int) []arrival {
	random := rand.New(rand.NewPCG(seed, 4))
	var all []arrival
	const meanUsed = 700.0
	perSecond := s.demand * loadRate / meanUsed
	for at := time.Duration(0); at < loadTime; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		when := at
		if s.minutePeaks && random.IntN(2) == 0 {
			when = at.Truncate(time.Minute) + time.Duration(random.IntN(2000))*time.Millisecond
		}
		holder := 0
		if random.Float64() >= s.skew {
			holder = random.IntN(holders)
		}
		used := 100 + random.ExpFloat64()*(meanUsed-100)
		all = append(all, arrival{
			at: when, holder: holder, used: used, cost: math.Ceil(used * (1 + random.Float64())),
			duration: time.Duration(used * 10 * float64(time.Millisecond)),
		})
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// results are the totals of one limiting method on one load. A request counts as
// wronglyRefused if it was refused although the ideal limiter admitted it.
type results struct {
	idealAdmitted, wronglyRefused, requests, refused int
	admittedTokens                                   float64
}

func (r *results) add(other results) {
	r.idealAdmitted += other.idealAdmitted
	r.wronglyRefused += other.wronglyRefused
	r.requests += other.requests
	r.refused += other.refused
	r.admittedTokens += other.admittedTokens
}

// benchmarkSeeds is the number of seeds whose results are added up.
const benchmarkSeeds = 12

// BenchmarkWrongfulRefusals compares the ledger's grants, with loans and leases by
// demand, with a static split of the limits on the same load. A refusal is wrongful
// if a single bucket for the whole fleet would have admitted the request.
func BenchmarkWrongfulRefusals(b *testing.B) {
	shapes := []loadShape{
		{name: "even", demand: 0.6, skew: 0},
		{name: "skewed", demand: 0.6, skew: 0.7},
		{name: "hour", demand: 0.4, skew: 0.3, minutePeaks: true},
		{name: "threefold", demand: 3, skew: 0.3},
	}
	for _, shape := range shapes {
		for _, method := range []string{"static-split", "grants"} {
			b.Run(shape.name+"/"+method, func(b *testing.B) {
				var got results
				for b.Loop() {
					got = results{}
					for seed := range uint64(benchmarkSeeds) {
						got.add(simulateLoad(seed, shape, method == "static-split"))
					}
				}
				b.ReportMetric(100*float64(got.wronglyRefused)/float64(max(got.idealAdmitted, 1)), "%wrongful")
				b.ReportMetric(100*got.admittedTokens/(benchmarkSeeds*loadRate*loadTime.Seconds()), "%of-rate")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// simulateLoad sends a load to the holders and to an ideal limiter, after the grants
// have settled. If static is set the limits are split evenly, without loans.
func simulateLoad(seed uint64, shape loadShape, static bool) results {
	s := newSimulation(seed, loadRate, loadBurst, map[string]int{"a": 3, "b": 2, "c": 2})
	s.faultInterval = 1000
	for range 150 {
		s.tick(200 * time.Millisecond)
	}
	if static {
		s.splitEvenly()
	}
	ideal := newIdealLimiter(s.now)
	var got results
	begin := s.now
	for _, a := range shape.arrivals(seed, len(s.holders)) {
		for s.now.Sub(begin) < a.at {
			s.advance(min(100*time.Millisecond, a.at-s.now.Sub(begin)), static)
		}
		allowed := ideal.admit(s.now, a)
		admitted := s.admitArrival(a, static)
		got.requests++
		if allowed {
			got.idealAdmitted++
		}
		if admitted {
			got.admittedTokens += a.used
			continue
		}
		got.refused++
		if allowed {
			got.wronglyRefused++
		}
	}
	return got
}

// advance lets time pass. A static split needs no plans and no syncs.
func (s *simulation) advance(step time.Duration, static bool) {
	if !static {
		s.tick(step)
		return
	}
	s.now = s.now.Add(step)
	for _, h := range s.holders {
		s.settleFinished(h)
	}
}

// admitArrival reports whether the holder admits a request, with loans from peers
// unless static is set.
func (s *simulation) admitArrival(a arrival, static bool) bool {
	h := s.holders[a.holder]
	now := s.clock(h)
	reservation, missing, err := h.limits.Reserve(now, workspace, a.cost)
	var loans []loan
	if err != nil && !static {
		var borrowed float64
		if borrowed, loans = s.borrow(h, missing); borrowed >= missing {
			reservation, err = h.limits.ReserveBorrowed(now, now, workspace, a.cost, borrowed)
		}
	}
	if err != nil {
		return false
	}
	h.openRequests = append(h.openRequests, openRequest{reservation: reservation, loans: loans, used: a.used, ends: s.now.Add(a.duration)})
	return true
}

// splitEvenly gives every holder the same permanent share of the limits.
func (s *simulation) splitEvenly() {
	share := granter.Share{Floor: granter.FromTokens(loadRate, loadBurst).Scale(1 / float64(len(s.holders)))}
	for _, h := range s.holders {
		h.limits = limiter.Limiter{}
		grant := granter.Grant{Workspace: workspace, Granted: share, Target: share, Version: 1, Total: granter.FromTokens(loadRate, loadBurst)}
		h.limits.ApplyGrant(s.clock(h).Add(-time.Hour), grant)
	}
}

// idealLimiter is a single bucket for the whole fleet.
type idealLimiter struct {
	limits       limiter.Limiter
	openRequests []openRequest
}

func newIdealLimiter(now time.Time) *idealLimiter {
	ideal := &idealLimiter{}
	share := granter.Share{Floor: granter.FromTokens(loadRate, loadBurst)}
	grant := granter.Grant{Workspace: workspace, Granted: share, Target: share, Version: 1, Total: granter.FromTokens(loadRate, loadBurst)}
	ideal.limits.ApplyGrant(now.Add(-time.Hour), grant)
	return ideal
}

func (i *idealLimiter) admit(now time.Time, a arrival) bool {
	kept := i.openRequests[:0]
	for _, r := range i.openRequests {
		if now.Before(r.ends) {
			kept = append(kept, r)
			continue
		}
		i.limits.Settle(now, r.reservation, r.used)
	}
	i.openRequests = kept
	reservation, _, err := i.limits.Reserve(now, workspace, a.cost)
	if err != nil {
		return false
	}
	i.openRequests = append(i.openRequests, openRequest{reservation: reservation, used: a.used, ends: now.Add(a.duration)})
	return true
}

// BenchmarkIsolatedRegion reports the share of a workspace's rate that a region can
// still use after it has been partitioned for longer than any lease.
func BenchmarkIsolatedRegion(b *testing.B) {
	s := newSimulation(5, loadRate, loadBurst, map[string]int{"a": 3, "b": 2, "c": 2})
	for b.Loop() {
		for range 150 {
			s.tick(200 * time.Millisecond)
		}
		for _, h := range s.holders {
			h.partitioned = h.instance.Region == "a"
		}
		for range 200 {
			s.tick(200 * time.Millisecond)
		}
	}
	usable := 0.0
	for _, grant := range s.ledger.Grants(workspace) {
		if grant.Instance[0] == 'a' {
			usable += grant.Granted.Floor.RateTokens()
		}
	}
	b.ReportMetric(100*usable/loadRate, "%of-rate")
	b.ReportMetric(0, "ns/op")
}
