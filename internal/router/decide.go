package router

import (
	"math/rand/v2"
	"time"

	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Weights of relaying. The gain in waiting time must exceed the price of the link
// before a request leaves its failure domain or its region.
const (
	domainPrice = 50 * time.Millisecond
	regionPrice = time.Second
	// localPatience is the wait at which leaving is considered at all.
	localPatience = 200 * time.Millisecond
)

// Situation is what a decision depends on.
type Situation struct {
	Region string
	// Local are the pools that this failure domain serves now.
	Local []gossiper.PoolSummary
	// Peers are the other live instances.
	Peers []gossiper.Entry
}

// Place is where a request is served.
type Place struct {
	// Local means here. Otherwise Peer is the instance to relay to.
	Local bool
	Peer  gossiper.Entry
	// Remote means that the peer is in another region.
	Remote bool
}

// Decider chooses places. It ramps what leaves the region, because a region
// that takes over meets cold caches.
type Decider struct {
	random *rand.Rand
	ramp   Ramp
}

// NewDecider returns a decider whose draws come from a seed.
func NewDecider(seed uint64) *Decider {
	return &Decider{random: rand.New(rand.NewPCG(seed, 0))}
}

// Decide chooses the place for a request that may run in the given pools.
func (d *Decider) Decide(now time.Time, s Situation, pools []tabler.Pool) Place {
	local, served := localDelay(s, pools)
	if served && local <= localPatience {
		d.ramp.Calm(now)
		return Place{Local: true}
	}
	best, found := d.bestPeer(s, pools)
	if !found {
		return Place{Local: true}
	}
	if !served {
		return best.place
	}
	if local-best.delay <= best.price {
		return Place{Local: true}
	}
	if best.place.Remote && !d.ramp.Allow(now) {
		return Place{Local: true}
	}
	return best.place
}

// localDelay returns the shortest wait in this failure domain, and whether it
// serves any of the pools.
func localDelay(s Situation, pools []tabler.Pool) (time.Duration, bool) {
	var shortest time.Duration
	served := false
	for _, pool := range pools {
		for _, summary := range s.Local {
			if summary.Pool != pool.Name || summary.Servers == 0 {
				continue
			}
			delay := delayOf(summary)
			if !served || delay < shortest {
				shortest = delay
			}
			served = true
		}
	}
	return shortest, served
}

// delayOf returns the wait that a pool's queue means; a pool with room has
// none, however long its queue was a moment ago.
func delayOf(summary gossiper.PoolSummary) time.Duration {
	if summary.Free > 0 {
		return 0
	}
	return summary.Delay
}

// option is a peer that could serve a request.
type option struct {
	place Place
	delay time.Duration
	price time.Duration
	free  int
}

// bestPeer draws among the cheapest peers by their room, so that not all
// instances send to the same one at once.
func (d *Decider) bestPeer(s Situation, pools []tabler.Pool) (option, bool) {
	var best []option
	for _, peer := range s.Peers {
		candidate, ok := optionOf(s, peer, pools)
		if !ok {
			continue
		}
		if len(best) > 0 && candidate.total() > best[0].total() {
			continue
		}
		if len(best) > 0 && candidate.total() < best[0].total() {
			best = best[:0]
		}
		best = append(best, candidate)
	}
	if len(best) == 0 {
		return option{}, false
	}
	return d.draw(best), true
}

func (o option) total() time.Duration {
	return (o.delay + o.price).Round(10 * time.Millisecond)
}

func optionOf(s Situation, peer gossiper.Entry, pools []tabler.Pool) (option, bool) {
	if peer.State == gossiper.StateStopping || peer.State == gossiper.StateStarting {
		return option{}, false
	}
	remote := peer.Region != s.Region
	candidate := option{place: Place{Peer: peer, Remote: remote}, price: domainPrice}
	if remote {
		candidate.price = regionPrice
	}
	found := false
	for _, pool := range pools {
		summary, serves := peer.Pool(pool.Name)
		if !serves || summary.Servers == 0 || pool.Region != peer.Region {
			continue
		}
		delay := delayOf(summary)
		if !found || delay < candidate.delay {
			candidate.delay = delay
			candidate.free = summary.Free
		}
		found = true
	}
	return candidate, found
}

func (d *Decider) draw(options []option) option {
	total := 0
	for _, o := range options {
		total += o.free + 1
	}
	at := d.random.IntN(total)
	for _, o := range options {
		at -= o.free + 1
		if at < 0 {
			return o
		}
	}
	return options[0]
}

// Ramp limits which share of the overflow leaves the region.
type Ramp struct {
	share  float64
	credit float64
	last   time.Time
}

// The ramp starts at a twentieth and is whole after about twenty seconds.
const (
	rampStart  = 0.05
	rampPerSec = 0.05
	// rampRest is the calm after which a ramp starts anew.
	rampRest = 30 * time.Second
)

// Allow reports whether this request may leave.
func (r *Ramp) Allow(now time.Time) bool {
	elapsed := now.Sub(r.last)
	if r.last.IsZero() || elapsed > rampRest {
		r.share = rampStart
		elapsed = 0
	}
	r.share = min(r.share+rampPerSec*elapsed.Seconds(), 1)
	r.last = now
	r.credit += r.share
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// Calm lets the ramp fall while nothing needs to leave.
func (r *Ramp) Calm(now time.Time) {
	elapsed := now.Sub(r.last)
	if r.share <= rampStart || elapsed <= 0 {
		return
	}
	r.share = max(r.share-rampPerSec*elapsed.Seconds(), rampStart)
	r.last = now
}
