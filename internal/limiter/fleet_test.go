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

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const workspace = "w"

// spend is what a naive counter that sees all notes: when tokens were let
// through, and how many were really used.
type spend struct {
	at     time.Time
	amount float64
}

// holder is an instance with its own clock, which drifts.
type holder struct {
	instance granter.Instance
	limits   limiter.Limiter
	index    uint64
	consents []granter.Consent
	cut      bool
	drift    float64
	offset   time.Duration
	nextSync time.Time
	open     []openRequest
}

type openRequest struct {
	reservation limiter.Reservation
	loans       []loan
	until       time.Time
	cost        float64
}

// loan is what a peer gave.
type loan struct {
	peer   *holder
	id     uint64
	amount float64
}

// world is a ledger, a planner and holders, in virtual time.
type world struct {
	random *rand.Rand
	start  time.Time
	now    time.Time
	// faults is how rare lost and doubled transfers are: one each in so many.
	faults  int
	ledger  granter.Ledger
	planner *granter.Planner
	index   uint64
	rate    float64
	burst   float64
	holders []*holder
	spends  []spend
	nextID  uint64
	// lapses and transfers count what the test must have caused.
	lapses, transfers int
}

func newWorld(seed uint64, rate, burst float64, regions map[string]int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(100_000, 0), rate: rate, burst: burst,
		faults: 12,
	}
	w.now = w.start
	w.planner = granter.NewPlanner(w.now)
	w.ledger.SetWhole(workspace, granter.Tokens(rate, burst))
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		for i := range regions[region] {
			w.holders = append(w.holders, &holder{
				instance: granter.Instance{Name: fmt.Sprintf("%s-%d", region, i), Region: region, FailureDomain: region},
				drift:    1 + (w.random.Float64()-0.5)*0.02,
			})
		}
	}
	return w
}

// clock is a holder's own time: it drifts by up to a hundredth.
func (w *world) clock(h *holder) time.Time {
	return w.start.Add(h.offset + time.Duration(float64(w.now.Sub(w.start))*h.drift))
}

func (w *world) apply(c granter.Command) {
	w.index++
	w.ledger.Apply(w.index, c)
}

// plan is what the leading keeper does.
func (w *world) plan() {
	for _, name := range w.planner.Lapsed(w.now, &w.ledger) {
		w.apply(granter.Command{Lapse: &granter.Lapse{Instance: name}})
		w.planner.Reclaimed(name)
		w.lapses++
	}
	if plan := w.planner.Plan(w.now, &w.ledger, workspace, ""); plan != nil {
		w.apply(granter.Command{Plan: plan})
	}
}

// sync is what a holder does; the answer may be lost.
func (w *world) sync(h *holder) {
	if h.cut || w.now.Before(h.nextSync) {
		return
	}
	h.nextSync = w.now.Add(granter.SyncInterval)
	asked := w.clock(h)
	if len(h.consents) > 0 {
		w.apply(granter.Command{Lower: &granter.Lower{Instance: h.instance.Name, Consents: h.consents}})
	}
	for name, rate := range h.limits.Demand(asked) {
		w.planner.Demand(h.instance.Name, name, rate)
	}
	renewed := w.planner.Renew(w.now, h.instance)
	grants := w.ledger.Since(h.instance.Name, h.index)
	if w.random.IntN(10) == 0 {
		h.nextSync = w.now.Add(time.Second)
		return // the answer is lost
	}
	now := w.clock(h)
	h.index = w.index
	h.consents = lender.Consents(grants)
	for _, grant := range grants {
		h.limits.Grant(now, grant)
		h.limits.Whole(now, workspace, granter.Tokens(w.rate, w.burst))
	}
	if len(grants) > 0 {
		h.nextSync = w.now.Add(500 * time.Millisecond)
	}
	if renewed {
		h.limits.Renew(now, asked)
	}
}

// request is a caller's request at a holder, with tokens from peers when the
// holder's own are short. Transfers are lost or doubled now and then.
func (w *world) request(h *holder, cost float64) {
	asked := w.clock(h)
	if w.reserve(h, cost, 0, nil) {
		return
	}
	_, missing, _ := h.limits.Reserve(asked, workspace, cost)
	borrowed, loans := w.borrow(h, missing)
	if borrowed < missing {
		return
	}
	w.transfers++
	if !w.reserve(h, cost, borrowed, loans) {
		w.giveBack(loans, borrowed)
	}
}

// reserve lets one request through, if the bucket and what was borrowed will
// bear it, and notes what the naive counter sees.
func (w *world) reserve(h *holder, cost, borrowed float64, loans []loan) bool {
	now := w.clock(h)
	reservation, err := h.limits.ReserveWith(now, now, workspace, cost, borrowed)
	if err != nil {
		return false
	}
	used := cost
	if w.random.IntN(20) == 0 {
		used = math.Floor(cost * w.random.Float64() / 4)
	}
	w.spends = append(w.spends, spend{at: w.now, amount: used})
	h.open = append(h.open, openRequest{
		reservation: reservation, loans: loans, cost: used, until: w.now.Add(time.Duration(w.random.IntN(2000)) * time.Millisecond),
	})
	return true
}

// storm is every holder being asked for more than it has. In calm times
// between, buckets fill up to the burst.
func (w *world) storm(burst float64) {
	for _, h := range w.holders {
		for w.reserve(h, math.Floor(burst/200)+1, 0, nil) {
			continue
		}
		w.request(h, math.Floor(burst*w.random.Float64()/30)+1)
	}
}

func (w *world) borrow(h *holder, missing float64) (float64, []loan) {
	borrowed := 0.0
	var loans []loan
	for _, peer := range w.holders {
		if peer == h || peer.cut || h.cut || borrowed >= missing {
			continue
		}
		w.nextID++
		given := peer.limits.Give(w.clock(peer), w.nextID, workspace, missing-borrowed+1)
		switch w.random.IntN(w.faults) {
		case 0: // the answer is lost: tokens are lost
		case 1: // it is doubled: the copy is dropped, the return comes twice
			peer.limits.Return(w.clock(peer), w.nextID, workspace, given)
			peer.limits.Return(w.clock(peer), w.nextID, workspace, given)
		default:
			borrowed += given
			loans = append(loans, loan{peer: peer, id: w.nextID, amount: given})
		}
	}
	if borrowed >= missing {
		return borrowed, loans
	}
	w.giveBack(loans, borrowed)
	return 0, nil
}

// giveBack returns what was not used of loans; returns are lost or doubled
// now and then, and a peer that is cut off gets none.
func (w *world) giveBack(loans []loan, unused float64) {
	for _, l := range loans {
		part := min(unused, l.amount)
		unused -= part
		fault := w.random.IntN(w.faults)
		if fault == 0 || l.peer.cut {
			continue
		}
		l.peer.limits.Return(w.clock(l.peer), l.id, workspace, part)
		if fault == 1 {
			l.peer.limits.Return(w.clock(l.peer), l.id, workspace, part)
		}
	}
}

func (w *world) settle(h *holder) {
	h.open = slices.DeleteFunc(h.open, func(r openRequest) bool {
		if w.now.Before(r.until) {
			return false
		}
		h.limits.Settle(w.clock(h), r.reservation, r.cost)
		w.giveBack(r.loans, r.reservation.Unused(r.cost))
		return true
	})
}

func (w *world) tick(step time.Duration) {
	w.now = w.now.Add(step)
	w.plan()
	for _, h := range w.holders {
		w.sync(h)
		w.settle(h)
	}
}

// restart is a new process with empty buckets: its open requests go on at
// the backend servers and count, but are never settled.
func (w *world) restart(h *holder) {
	h.limits = limiter.Limiter{}
	h.index = 0
	h.consents = nil
	h.open = nil
	h.nextSync = w.now
	h.offset = time.Duration(w.random.IntN(1000)) * time.Second
}

// checkWindows asserts rate x window + burst over every window, allowing for
// clocks that run fast by up to a hundredth.
func checkWindows(t assert.TestingT, spends []spend, rate, burst float64) {
	const fast = 1.011
	sum := make([]float64, len(spends)+1)
	for i, s := range spends {
		sum[i+1] = sum[i] + s.amount
	}
	// The worst window ends at each spend and begins where the sum less the
	// refill was least.
	least := math.Inf(1)
	for i, s := range spends {
		seconds := s.at.Sub(spends[0].at).Seconds()
		least = min(least, sum[i]-fast*rate*seconds)
		over := sum[i+1] - fast*rate*seconds - least
		assert.Assert(t, over <= burst+0.01, "a window lets %.1f through over the rate, burst %.1f", over, burst)
	}
}

// TestNoWindowExceedsRateAndBurst runs instances that join, leave, restart
// empty and are cut off, leases that lapse, transfers lost or doubled, clocks
// that drift, and tables that lower the rate midway, and compares what is let
// through with a naive counter that sees all.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	lapses, borrowed, spends := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(50, 2000).Draw(t, "rate"))
		burst := float64(rapid.IntRange(500, 20_000).Draw(t, "burst"))
		regions := map[string]int{"a": rapid.IntRange(1, 3).Draw(t, "a"), "b": rapid.IntRange(1, 2).Draw(t, "b"), "c": 1}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rate, burst, regions)
		ticks := rapid.IntRange(200, 900).Draw(t, "ticks")
		for range ticks {
			w.tick(time.Duration(20+w.random.IntN(400)) * time.Millisecond)
			if w.random.IntN(30) == 0 {
				w.storm(burst)
			}
			h := w.holders[w.random.IntN(len(w.holders))]
			switch w.random.IntN(80) {
			case 0:
				h.cut = true
			case 1, 2:
				h.cut = false
			case 3:
				w.restart(h)
			case 4:
				w.planner = granter.NewPlanner(w.now) // another keeper leads
			}
		}
		checkWindows(t, w.spends, w.rate, w.burst)
		lapses += w.lapses
		borrowed += w.transfers
		spends += len(w.spends)
	})
	assert.Assert(t, lapses > 100, "only %d lapses", lapses)
	assert.Assert(t, borrowed > 100, "only %d transfers", borrowed)
	assert.Assert(t, spends > 10_000, "only %d requests let through", spends)
}

// TestLoweredRateBinds lowers the rate midway. From when every instance has
// the new tables, the new rate binds in every window.
func TestLoweredRateBinds(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, 1000, 8000, map[string]int{"a": 2, "b": 2})
		run := func(ticks int) {
			for range ticks {
				w.tick(100 * time.Millisecond)
				for _, h := range w.holders {
					w.request(h, 1+math.Floor(300*w.random.Float64()))
				}
			}
		}
		run(300)
		w.rate, w.burst = 200, 1000
		w.ledger.SetWhole(workspace, granter.Tokens(w.rate, w.burst))
		for _, h := range w.holders {
			h.limits.Whole(w.clock(h), workspace, granter.Tokens(w.rate, w.burst))
		}
		w.spends = nil
		run(600)
		checkWindows(t, w.spends, w.rate, w.burst)
	}
}

// TestRestartBeginsEmpty keeps a crash loop from making tokens.
func TestRestartBeginsEmpty(t *testing.T) {
	w := newWorld(1, 100, 10_000, map[string]int{"a": 1})
	for range 400 {
		w.tick(100 * time.Millisecond)
		w.request(w.holders[0], 500)
		w.restart(w.holders[0])
	}
	checkWindows(t, w.spends, w.rate, w.burst)
}
