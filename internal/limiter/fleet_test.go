package limiter_test

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/lender"
	"github.com/boragehead/boragehead/internal/limiter"
)

// TestMain fixes the seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const workspace = "w"

// admission is one admitted request as a single counter for the whole fleet would
// record it: when it was admitted, and how many tokens it used.
type admission struct {
	at     time.Time
	tokens float64
}

// holder is an instance that holds grants. Its clock drifts: clockRate is the speed
// of the clock relative to the time of the simulation.
type holder struct {
	instance     granter.Instance
	limits       limiter.Limiter
	syncedIndex  uint64
	reductions   []granter.Reduction
	partitioned  bool
	clockRate    float64
	clockOffset  time.Duration
	nextSync     time.Time
	openRequests []openRequest
}

// openRequest is an admitted request that still runs at a backend server.
type openRequest struct {
	reservation limiter.Reservation
	loans       []loan
	ends        time.Time
	used        float64
}

// loan is a loan with the peer that lent it.
type loan struct {
	peer   *holder
	id     uint64
	amount float64
}

// simulation is a ledger, a planner and holders, in virtual time.
type simulation struct {
	random *rand.Rand
	start  time.Time
	now    time.Time
	// faultInterval sets the rate of faults: of so many loans one is lost and one
	// duplicated on average, and the same holds for returns.
	faultInterval int
	ledger        granter.Ledger
	planner       *granter.Planner
	index         uint64
	rate          float64
	burst         float64
	holders       []*holder
	admissions    []admission
	nextID        uint64
	// expiries and borrows count the events that a test must provoke to be of use:
	// expired leases, and requests for which enough tokens were borrowed.
	expiries, borrows int
}

func newSimulation(seed uint64, rate, burst float64, regions map[string]int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(100_000, 0), rate: rate, burst: burst,
		faultInterval: 12,
	}
	s.now = s.start
	s.planner = granter.NewPlanner(s.now)
	s.ledger.SetTotal(workspace, granter.FromTokens(rate, burst))
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		for i := range regions[region] {
			s.holders = append(s.holders, &holder{
				instance:  granter.Instance{Name: fmt.Sprintf("%s-%d", region, i), Region: region, FailureDomain: region},
				clockRate: 1 + (s.random.Float64()-0.5)*0.02,
			})
		}
	}
	return s
}

// clock returns the time on a holder's own clock, which drifts by up to 1%.
func (s *simulation) clock(h *holder) time.Time {
	return s.start.Add(h.clockOffset + time.Duration(float64(s.now.Sub(s.start))*h.clockRate))
}

func (s *simulation) apply(c granter.Command) {
	s.index++
	s.ledger.Apply(s.index, c)
}

// plan does what the leading keeper does: it takes back expired leases and plans
// grants.
func (s *simulation) plan() {
	for _, name := range s.planner.ExpiredInstances(s.now, &s.ledger) {
		s.apply(granter.Command{ExpireLeases: &granter.ExpireLeases{Instance: name}})
		s.planner.ConfirmReclaimed(name)
		s.expiries++
	}
	if plan := s.planner.Plan(s.now, &s.ledger, workspace, ""); plan != nil {
		s.apply(granter.Command{Plan: plan})
	}
}

// sync does what a holder does with the ledger: it sends its reductions and demand,
// and applies new grants. The reply may be lost.
func (s *simulation) sync(h *holder) {
	if h.partitioned || s.now.Before(h.nextSync) {
		return
	}
	h.nextSync = s.now.Add(granter.SyncInterval)
	requestedAt := s.clock(h)
	if len(h.reductions) > 0 {
		s.apply(granter.Command{Reduce: &granter.Reduce{Instance: h.instance.Name, Reductions: h.reductions}})
	}
	for name, rate := range h.limits.Demand(requestedAt) {
		s.planner.RecordDemand(h.instance.Name, name, rate)
	}
	renewed := s.planner.RenewLease(s.now, h.instance)
	grants := s.ledger.ChangedSince(h.instance.Name, h.syncedIndex)
	if s.random.IntN(10) == 0 {
		h.nextSync = s.now.Add(time.Second)
		return // the reply is lost
	}
	now := s.clock(h)
	h.syncedIndex = s.index
	h.reductions = lender.Consents(grants)
	for _, grant := range grants {
		h.limits.ApplyGrant(now, grant)
		h.limits.SetWorkspaceLimit(now, workspace, granter.FromTokens(s.rate, s.burst))
	}
	if len(grants) > 0 {
		h.nextSync = s.now.Add(500 * time.Millisecond)
	}
	if renewed {
		h.limits.RenewLease(now, requestedAt)
	}
}

// request sends a request to a holder, which borrows tokens from peers if its own
// do not cover the cost. Some loans and returns are lost or duplicated.
func (s *simulation) request(h *holder, cost float64) {
	requestedAt := s.clock(h)
	if s.admit(h, cost, 0, nil) {
		return
	}
	_, missing, _ := h.limits.Reserve(requestedAt, workspace, cost)
	borrowed, loans := s.borrow(h, missing)
	if borrowed < missing {
		return
	}
	s.borrows++
	if !s.admit(h, cost, borrowed, loans) {
		s.returnUnused(loans, borrowed)
	}
}

// admit admits and records a request if the bucket and the borrowed tokens cover
// its cost.
func (s *simulation) admit(h *holder, cost, borrowed float64, loans []loan) bool {
	now := s.clock(h)
	reservation, err := h.limits.ReserveBorrowed(now, now, workspace, cost, borrowed)
	if err != nil {
		return false
	}
	used := cost
	if s.random.IntN(20) == 0 {
		used = math.Floor(cost * s.random.Float64() / 4)
	}
	s.admissions = append(s.admissions, admission{at: s.now, tokens: used})
	h.openRequests = append(h.openRequests, openRequest{
		reservation: reservation, loans: loans, used: used, ends: s.now.Add(time.Duration(s.random.IntN(2000)) * time.Millisecond),
	})
	return true
}

// overload sends every holder more requests than its tokens cover. Between
// overloads the buckets fill up to the burst.
func (s *simulation) overload(burst float64) {
	for _, h := range s.holders {
		for s.admit(h, math.Floor(burst/200)+1, 0, nil) {
			continue
		}
		s.request(h, math.Floor(burst*s.random.Float64()/30)+1)
	}
}

func (s *simulation) borrow(h *holder, missing float64) (float64, []loan) {
	borrowed := 0.0
	var loans []loan
	for _, peer := range s.holders {
		if peer == h || peer.partitioned || h.partitioned || borrowed >= missing {
			continue
		}
		s.nextID++
		lent := peer.limits.Lend(s.clock(peer), s.nextID, workspace, missing-borrowed+1)
		switch s.random.IntN(s.faultInterval) {
		case 0: // the reply with the loan is lost, and its tokens with it
		case 1: // the reply is duplicated: the loan is dropped and returned twice
			peer.limits.TakeBack(s.clock(peer), s.nextID, workspace, lent)
			peer.limits.TakeBack(s.clock(peer), s.nextID, workspace, lent)
		default:
			borrowed += lent
			loans = append(loans, loan{peer: peer, id: s.nextID, amount: lent})
		}
	}
	if borrowed >= missing {
		return borrowed, loans
	}
	s.returnUnused(loans, borrowed)
	return 0, nil
}

// returnUnused returns loans with their unused tokens. Some returns are lost or
// duplicated, and none reaches a partitioned peer.
func (s *simulation) returnUnused(loans []loan, unused float64) {
	for _, l := range loans {
		portion := min(unused, l.amount)
		unused -= portion
		fault := s.random.IntN(s.faultInterval)
		if fault == 0 || l.peer.partitioned {
			continue
		}
		l.peer.limits.TakeBack(s.clock(l.peer), l.id, workspace, portion)
		if fault == 1 {
			l.peer.limits.TakeBack(s.clock(l.peer), l.id, workspace, portion)
		}
	}
}

// settleFinished settles a holder's requests that have ended.
func (s *simulation) settleFinished(h *holder) {
	h.openRequests = slices.DeleteFunc(h.openRequests, func(r openRequest) bool {
		if s.now.Before(r.ends) {
			return false
		}
		h.limits.Settle(s.clock(h), r.reservation, r.used)
		s.returnUnused(r.loans, r.reservation.UnusedBorrowed(r.used))
		return true
	})
}

func (s *simulation) tick(step time.Duration) {
	s.now = s.now.Add(step)
	s.plan()
	for _, h := range s.holders {
		s.sync(h)
		s.settleFinished(h)
	}
}

// restart replaces a holder's process with one that has no buckets. Its open
// requests go on at the backend servers and count as admitted, but are never
// settled.
func (s *simulation) restart(h *holder) {
	h.limits = limiter.Limiter{}
	h.syncedIndex = 0
	h.reductions = nil
	h.openRequests = nil
	h.nextSync = s.now
	h.clockOffset = time.Duration(s.random.IntN(1000)) * time.Second
}

// checkWindows asserts that no window admits more than rate x window + burst
// tokens, with an allowance for clocks that are up to 1% fast.
func checkWindows(t assert.TestingT, admissions []admission, rate, burst float64) {
	const maxClockRate = 1.011
	sum := make([]float64, len(admissions)+1)
	for i, a := range admissions {
		sum[i+1] = sum[i] + a.tokens
	}
	// Of the windows that end at an admission, the worst one begins where the sum
	// minus the refill was lowest.
	lowest := math.Inf(1)
	for i, a := range admissions {
		seconds := a.at.Sub(admissions[0].at).Seconds()
		lowest = min(lowest, sum[i]-maxClockRate*rate*seconds)
		excess := sum[i+1] - maxClockRate*rate*seconds - lowest
		assert.Assert(t, excess <= burst+0.01, "a window admits %.1f tokens above the rate, burst %.1f", excess, burst)
	}
}

// TestNoWindowExceedsRateAndBurst simulates a fleet in which instances restart with
// empty buckets and are partitioned, leases expire, the leading keeper changes,
// loans and returns are lost or duplicated, and clocks drift. The requests that
// all instances admit together must stay within the rate and burst.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	expiries, borrows, admissions := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(50, 2000).Draw(t, "rate"))
		burst := float64(rapid.IntRange(500, 20_000).Draw(t, "burst"))
		regions := map[string]int{"a": rapid.IntRange(1, 3).Draw(t, "a"), "b": rapid.IntRange(1, 2).Draw(t, "b"), "c": 1}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rate, burst, regions)
		ticks := rapid.IntRange(200, 900).Draw(t, "ticks")
		for range ticks {
			s.tick(time.Duration(20+s.random.IntN(400)) * time.Millisecond)
			if s.random.IntN(30) == 0 {
				s.overload(burst)
			}
			h := s.holders[s.random.IntN(len(s.holders))]
			switch s.random.IntN(80) {
			case 0:
				h.partitioned = true
			case 1, 2:
				h.partitioned = false
			case 3:
				s.restart(h)
			case 4:
				s.planner = granter.NewPlanner(s.now) // another keeper leads
			}
		}
		checkWindows(t, s.admissions, s.rate, s.burst)
		expiries += s.expiries
		borrows += s.borrows
		admissions += len(s.admissions)
	})
	assert.Assert(t, expiries > 100, "only %d expired leases", expiries)
	assert.Assert(t, borrows > 100, "only %d requests with borrowed tokens", borrows)
	assert.Assert(t, admissions > 10_000, "only %d admitted requests", admissions)
}

// TestLoweredRateApplies lowers the rate and burst midway. From the moment at which
// every instance has the new tables, no window may exceed the new limits.
func TestLoweredRateApplies(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(seed, 1000, 8000, map[string]int{"a": 2, "b": 2})
		run := func(ticks int) {
			for range ticks {
				s.tick(100 * time.Millisecond)
				for _, h := range s.holders {
					s.request(h, 1+math.Floor(300*s.random.Float64()))
				}
			}
		}
		run(300)
		s.rate, s.burst = 200, 1000
		s.ledger.SetTotal(workspace, granter.FromTokens(s.rate, s.burst))
		for _, h := range s.holders {
			h.limits.SetWorkspaceLimit(s.clock(h), workspace, granter.FromTokens(s.rate, s.burst))
		}
		s.admissions = nil
		run(600)
		checkWindows(t, s.admissions, s.rate, s.burst)
	}
}

// TestRestartStartsEmpty checks that an instance in a crash loop does not create
// tokens.
func TestRestartStartsEmpty(t *testing.T) {
	s := newSimulation(1, 100, 10_000, map[string]int{"a": 1})
	for range 400 {
		s.tick(100 * time.Millisecond)
		s.request(s.holders[0], 500)
		s.restart(s.holders[0])
	}
	checkWindows(t, s.admissions, s.rate, s.burst)
}
