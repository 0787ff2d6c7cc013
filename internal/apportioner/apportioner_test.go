package apportioner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	rate  = 1000.0
	burst = 1000.0
)

var start = time.Unix(1_000_000, 0)

// fleet is a number of instances that exchange beacons unless they are cut.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	instances []*Apportioner
	// side tells which instances reach each other.
	side []int
	born []int64
	// passed is what ran, by time, and offered how many requests came.
	passed  []spending
	offered int
}

type spending struct {
	at     time.Time
	amount float64
}

func newFleet(seed uint64) *fleet {
	const size = 7
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), now: start, side: make([]int, size), born: make([]int64, size)}
	for range size {
		a := &Apportioner{}
		a.Set(f.now, map[string]Quota{"w": {Rate: rate, Burst: burst}})
		f.instances = append(f.instances, a)
	}
	f.beacons()
	f.now = f.now.Add(2 * time.Second)
	f.beacons()
	return f
}

func (f *fleet) beacons() {
	for i, from := range f.instances {
		for j, to := range f.instances {
			if i != j && f.side[i] == f.side[j] && f.random.IntN(20) > 0 {
				to.Hear(f.now, Word{Name: fmt.Sprint(i), Incarnation: f.born[i], Spent: from.Spent(), Levels: from.Levels()})
			}
		}
	}
}

// offer lets requests arrive at random instances for a time.
func (f *fleet) offer(length time.Duration, perSecond float64) {
	const (
		step = 10 * time.Millisecond
		cost = 20
	)
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		if f.now.UnixMilli()%100 == 0 {
			f.beacons()
		}
		for due := perSecond * step.Seconds(); due > 0; due-- {
			if due < 1 && f.random.Float64() > due {
				break
			}
			f.offered++
			if _, ok := f.instances[f.random.IntN(len(f.instances))].Take(f.now, "w", cost); ok {
				f.passed = append(f.passed, spending{at: f.now, amount: cost})
			}
		}
	}
}

// most returns the most that passed in any window.
func (f *fleet) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.passed {
		sum += s.amount
		for s.at.Sub(f.passed[first].at) > window {
			sum -= f.passed[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// The bound that the users state: a tenth over rate times window plus burst.
const (
	window    = 8 * time.Second
	overshoot = 1.1
)

func allowed() float64 {
	return (rate*window.Seconds() + burst) * overshoot
}

func TestSevenfoldLoadStaysWithinTheQuota(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed)
		f.offer(20*time.Second, 7*rate/20)
		most := f.most()
		assert.Assert(t, most <= allowed(), "seed %d: %.0f of %.0f", seed, most, allowed())
		assert.Assert(t, most >= 0.9*rate*window.Seconds(), "seed %d: only %.0f passed", seed, most)
	}
}

func TestLoadBelowTheQuotaIsNotRefused(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed)
		f.offer(20*time.Second, 0.8*rate/20)
		total := 0.0
		for _, s := range f.passed {
			total += s.amount
		}
		assert.Assert(t, total > 0.99*0.8*rate*20*0.95, "seed %d: %.0f passed", seed, total)
	}
}

// TestPartsOfAPartitionKeepToTheWhole cuts the fleet in two and in three while
// the workspace asks for many times its rate.
func TestPartsOfAPartitionKeepToTheWhole(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed)
		f.offer(5*time.Second, 7*rate/20)
		for i := range f.side {
			f.side[i] = i % (2 + int(seed%2))
		}
		f.offer(12*time.Second, 7*rate/20)
		for i := range f.side {
			f.side[i] = 0
		}
		f.offer(8*time.Second, 7*rate/20)
		most := f.most()
		// Until an instance counts as silent its spending is not covered.
		unseen := freshness.Seconds() * rate
		assert.Assert(t, most <= allowed()+unseen, "seed %d: %.0f of %.0f", seed, most, allowed()+unseen)
	}
}

// TestRestartedInstancesTakeOverWhatOthersKnow restarts one instance after
// another under sevenfold load: none may spend what the others have spent.
func TestRestartedInstancesTakeOverWhatOthersKnow(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed)
		for i := range f.instances {
			f.offer(time.Second, 7*rate/20)
			f.born[i]++
			f.instances[i] = &Apportioner{}
			f.instances[i].Set(f.now, map[string]Quota{"w": {Rate: rate, Burst: burst}})
			f.beacons()
		}
		f.offer(8*time.Second, 7*rate/20)
		most := f.most()
		assert.Assert(t, most <= allowed(), "seed %d: %.0f of %.0f", seed, most, allowed())
	}
}

// TestRestartedFleetServesAtOnce restarts all instances at the same moment.
func TestRestartedFleetServesAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed)
		f.offer(10*time.Second, 7*rate/20)
		for i := range f.instances {
			f.born[i]++
			f.instances[i] = &Apportioner{}
			f.instances[i].Set(f.now, map[string]Quota{"w": {Rate: rate, Burst: burst}})
		}
		f.beacons()
		passed, offered := len(f.passed), f.offered
		f.offer(time.Second, 0.8*rate/20)
		passed, offered = len(f.passed)-passed, f.offered-offered
		assert.Assert(t, passed >= offered*9/10, "seed %d: only %d of %d passed", seed, passed, offered)
		f.offer(10*time.Second, 7*rate/20)
		// Once, the users' slack covers what nobody could know.
		most := f.most()
		assert.Assert(t, most <= allowed()+startShare*burst, "seed %d: %.0f", seed, most)
	}
}

func TestRefundAndWait(t *testing.T) {
	var a Apportioner
	a.Set(start, map[string]Quota{"w": {Rate: rate, Burst: burst}})
	now := start.Add(time.Second)
	_, ok := a.Take(now, "w", burst)
	assert.Assert(t, ok)
	wait, ok := a.Take(now, "w", 500)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 500*time.Millisecond)
	a.Refund("w", 500)
	_, ok = a.Take(now, "w", 500)
	assert.Assert(t, ok)
	_, ok = a.Take(now, "unbounded", 1e9)
	assert.Assert(t, ok)
}

func TestCostAboveTheBurstPassesWhenFull(t *testing.T) {
	var a Apportioner
	a.Set(start, map[string]Quota{"w": {Rate: rate, Burst: burst}})
	now := start.Add(time.Second)
	_, ok := a.Take(now, "w", 3*burst)
	assert.Assert(t, ok)
	_, ok = a.Take(now.Add(1900*time.Millisecond), "w", 1)
	assert.Assert(t, !ok, "the debt was forgotten")
	_, ok = a.Take(now.Add(2100*time.Millisecond), "w", 1)
	assert.Assert(t, ok)
}
