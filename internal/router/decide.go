package router

import (
	"math/rand/v2"
	"time"

	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Costs of relaying, as added delay. The queueing delay saved by a relay must
// exceed the cost of the link before a request leaves its failure domain or its
// region.
const (
	crossDomainCost = 50 * time.Millisecond
	crossRegionCost = time.Second
	// relayThreshold is the local queueing delay up to which a request is
	// always served locally.
	relayThreshold = 200 * time.Millisecond
)

// LoadView is the load of the local failure domain and of the other instances,
// as this instance knows it.
type LoadView struct {
	Region string
	// Local summarizes the pools with backend servers in this failure domain.
	Local []gossiper.PoolSummary
	// Peers are the other live instances.
	Peers []gossiper.Entry
}

// Placement is the outcome of a relay decision.
type Placement struct {
	// Local is true if the request is served in this failure domain.
	// Otherwise Peer is the instance to relay it to.
	Local bool
	Peer  gossiper.Entry
	// Remote is true if Peer is in another region.
	Remote bool
}

// Decider decides whether requests are served locally or relayed. It ramps up
// the share of requests that it relays to other regions, because the caches
// there are cold for this traffic. It is not safe for concurrent use.
type Decider struct {
	random          *rand.Rand
	crossRegionRamp Ramp
}

// NewDecider returns a decider. The seed makes its random choices reproducible.
func NewDecider(seed uint64) *Decider {
	return &Decider{random: rand.New(rand.NewPCG(seed, 0))}
}

// Decide returns where to serve a request that may run in any of the given
// pools. It never fails: without a better peer the placement is local, even if
// no pool is served locally.
func (d *Decider) Decide(now time.Time, load LoadView, pools []tabler.Pool) Placement {
	localDelay, served := shortestLocalDelay(load, pools)
	if served && localDelay <= relayThreshold {
		d.crossRegionRamp.Decay(now)
		return Placement{Local: true}
	}
	best, found := d.pickCheapestPeer(load, pools)
	if !found {
		return Placement{Local: true}
	}
	if !served {
		return best.placement
	}
	if localDelay-best.delay <= best.linkCost {
		return Placement{Local: true}
	}
	if best.placement.Remote && !d.crossRegionRamp.Allow(now) {
		return Placement{Local: true}
	}
	return best.placement
}

// shortestLocalDelay returns the shortest queueing delay of the pools in the
// local failure domain, and whether it serves any of them.
func shortestLocalDelay(load LoadView, pools []tabler.Pool) (time.Duration, bool) {
	var shortest time.Duration
	served := false
	for _, pool := range pools {
		for _, summary := range load.Local {
			if summary.Pool != pool.Name || summary.Servers == 0 {
				continue
			}
			delay := queueDelay(summary)
			if !served || delay < shortest {
				shortest = delay
			}
			served = true
		}
	}
	return shortest, served
}

// queueDelay returns the queueing delay of a pool. It is zero for a pool with
// free slots, because the reported delay may be of a queue that has since
// drained.
func queueDelay(summary gossiper.PoolSummary) time.Duration {
	if summary.FreeSlots > 0 {
		return 0
	}
	return summary.ExpectedWait
}

// relayCandidate is a peer that serves at least one of a request's pools.
type relayCandidate struct {
	placement Placement
	delay     time.Duration
	linkCost  time.Duration
	freeSlots int
}

// pickCheapestPeer picks at random among the peers with the lowest cost,
// weighted by their free slots, so that the instances do not all relay to the
// same peer at once. It returns false if no peer serves any of the pools.
func (d *Decider) pickCheapestPeer(load LoadView, pools []tabler.Pool) (relayCandidate, bool) {
	var best []relayCandidate
	for _, peer := range load.Peers {
		candidate, ok := newRelayCandidate(load, peer, pools)
		if !ok {
			continue
		}
		if len(best) > 0 && candidate.totalCost() > best[0].totalCost() {
			continue
		}
		if len(best) > 0 && candidate.totalCost() < best[0].totalCost() {
			best = best[:0]
		}
		best = append(best, candidate)
	}
	if len(best) == 0 {
		return relayCandidate{}, false
	}
	return d.drawByFreeSlots(best), true
}

// totalCost returns the queueing delay plus the link cost. It is rounded, so
// that peers with almost equal costs count as equal.
func (c relayCandidate) totalCost() time.Duration {
	return (c.delay + c.linkCost).Round(10 * time.Millisecond)
}

// newRelayCandidate returns a peer as a candidate, with the delay and free slots
// of its pool with the shortest queueing delay. It returns false for peers that
// are starting or stopping and for peers that serve none of the pools. A pool
// counts only in its own region.
func newRelayCandidate(load LoadView, peer gossiper.Entry, pools []tabler.Pool) (relayCandidate, bool) {
	if peer.State == gossiper.StateStopping || peer.State == gossiper.StateStarting {
		return relayCandidate{}, false
	}
	remote := peer.Region != load.Region
	candidate := relayCandidate{placement: Placement{Peer: peer, Remote: remote}, linkCost: crossDomainCost}
	if remote {
		candidate.linkCost = crossRegionCost
	}
	found := false
	for _, pool := range pools {
		summary, serves := peer.Pool(pool.Name)
		if !serves || summary.Servers == 0 || pool.Region != peer.Region {
			continue
		}
		delay := queueDelay(summary)
		if !found || delay < candidate.delay {
			candidate.delay = delay
			candidate.freeSlots = summary.FreeSlots
		}
		found = true
	}
	return candidate, found
}

// maxWeight bounds the weight of a candidate, so that the sum of all fits into an int.
const maxWeight = 1 << 20

// weight is the number of free slots plus 1, so that candidates without a free slot are
// picked too.
func (c relayCandidate) weight() int {
	return 1 + min(max(c.freeSlots, 0), maxWeight)
}

// drawByFreeSlots picks one candidate at random, weighted by free slots.
func (d *Decider) drawByFreeSlots(candidates []relayCandidate) relayCandidate {
	total := 0
	for _, c := range candidates {
		total += c.weight()
	}
	remaining := d.random.IntN(total)
	for _, c := range candidates {
		remaining -= c.weight()
		if remaining < 0 {
			return c
		}
	}
	return candidates[0]
}

// Ramp limits the share of the overflow that is relayed to other regions. The
// zero value is ready to use. It is not safe for concurrent use.
type Ramp struct {
	// shareAllowed is between 0 and 1.
	shareAllowed float64
	// accrued grows by shareAllowed with every request; each relay takes 1.
	accrued    float64
	lastUpdate time.Time
}

// The ramp starts at 5 % and reaches 100 % after about 20 s.
const (
	rampInitialShare   = 0.05
	rampSharePerSecond = 0.05
	// rampResetAfter is how long the ramp goes without an update before it
	// starts again from rampInitialShare.
	rampResetAfter = 30 * time.Second
)

// Allow reports whether the next request of the overflow may be relayed to
// another region, and raises the share with the time since the last update.
func (r *Ramp) Allow(now time.Time) bool {
	elapsed := now.Sub(r.lastUpdate)
	if r.lastUpdate.IsZero() || elapsed > rampResetAfter {
		r.shareAllowed = rampInitialShare
		elapsed = 0
	}
	r.shareAllowed = min(r.shareAllowed+rampSharePerSecond*elapsed.Seconds(), 1)
	r.lastUpdate = now
	r.accrued += r.shareAllowed
	if r.accrued < 1 {
		return false
	}
	r.accrued--
	return true
}

// Decay lowers the share with the time since the last update, down to
// rampInitialShare. It is called while there is no overflow.
func (r *Ramp) Decay(now time.Time) {
	elapsed := now.Sub(r.lastUpdate)
	if r.shareAllowed <= rampInitialShare || elapsed <= 0 {
		return
	}
	r.shareAllowed = max(r.shareAllowed-rampSharePerSecond*elapsed.Seconds(), rampInitialShare)
	r.lastUpdate = now
}
