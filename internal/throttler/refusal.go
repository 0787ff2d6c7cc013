package throttler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of what happens to callers that this instance's shares cannot take.
const (
	// handoversPerRequest is how many calls all instances together hand over for each
	// request that the servers take. The calls do not come where the shares are.
	handoversPerRequest = 4
	// maxReturn and minReturn bound the time after which a caller is asked to come back.
	maxReturn = 10 * time.Second
	minReturn = 100 * time.Millisecond
)

// refusals decides about calls that this instance's shares cannot take. The zero
// value has handed over and refused none.
type refusals struct {
	// handovers holds the calls that may be handed over now, by the name of the servers
	// that take them.
	handovers map[string]*share
	handed    uint64
	// returns holds, by the same names, when the last refused caller was asked to come back, and
	// lateReturns counts those that were asked for later than that.
	returns     map[string]time.Time
	lateReturns int
}

// Handover returns the name of an instance that may have a share left of the limits of
// a service's servers, or false if no call should be handed over now. The instances
// together hand over little more than the servers take.
func (t *Throttler) Handover(now time.Time, service string, servers []Server) (holder string, ok bool) {
	var holders []string
	for _, server := range servers {
		if known, exists := t.limits[server]; exists && known.Limited {
			for _, name := range known.holders {
				if name != t.Self {
					holders = append(holders, name)
				}
			}
		}
	}
	if len(holders) == 0 {
		return "", false
	}
	if !t.MayHandOver(now, service, t.instanceRate(servers)) {
		return "", false
	}
	// Instances begin at different holders, or all would ask the same ones.
	t.refusals.handed++
	return holders[mixBits(xxhash.Sum64String(t.Self)+t.refusals.handed)%uint64(len(holders))], true
}

// MayHandOver reports whether a call may be handed over now to servers that take
// requests at some rate, of which this instance's even share is given, and counts it.
// The name identifies these servers.
func (t *Throttler) MayHandOver(now time.Time, name string, instanceRate float64) bool {
	if t.refusals.handovers == nil {
		t.refusals.handovers = map[string]*share{}
	}
	budget, exists := t.refusals.handovers[name]
	if !exists {
		budget = &share{tokens: 1, lastRefill: now}
		t.refusals.handovers[name] = budget
	}
	budget.rate = handoversPerRequest * instanceRate
	budget.refill(now)
	if !budget.allows(true) {
		return false
	}
	budget.take(true)
	return true
}

// instanceRate returns an even share of the limits of some servers, in requests a
// second.
func (t *Throttler) instanceRate(servers []Server) float64 {
	rate := 0.0
	for _, server := range servers {
		if known, exists := t.limits[server]; exists && known.Limited {
			rate += max(known.Rate, MinRate)
		}
	}
	return t.EvenShare(rate)
}

// EvenShare returns an even share of a rate among the instances of the region that
// this one hears.
func (t *Throttler) EvenShare(rate float64) float64 {
	return rate / float64(max(t.members.heard, 1))
}

// ReturnAfter returns when a caller should come back that no server of a service can
// take now, because of the limits of the given servers. Callers that are refused one
// after the other are spread over the time in which the servers can take them.
func (t *Throttler) ReturnAfter(now time.Time, service string, servers []Server) time.Duration {
	return t.ReturnAtRate(now, service, t.instanceRate(servers))
}

// ReturnAtRate returns when a caller should come back whom servers can take that are
// identified by a name, if this instance's even share of the rate at which they take
// requests is given.
func (t *Throttler) ReturnAtRate(now time.Time, name string, rate float64) time.Duration {
	if rate <= 0 {
		return maxReturn
	}
	if t.refusals.returns == nil {
		t.refusals.returns = map[string]time.Time{}
	}
	next := now
	if last := t.refusals.returns[name]; last.After(now) {
		next = last
	}
	next = next.Add(time.Duration(float64(time.Second) / rate))
	if wait := next.Sub(now); wait <= maxReturn {
		t.refusals.returns[name] = next
		return max(wait, minReturn)
	}
	// More callers are on their way back than the servers can take until then. They are
	// spread evenly, so that they do not come back at the same time.
	t.refusals.lateReturns++
	_, spread := math.Modf(float64(t.refusals.lateReturns) * math.Phi)
	return maxReturn/2 + time.Duration(spread*float64(maxReturn/2))
}
