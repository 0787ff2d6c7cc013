package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// overload is a time in which requests of a kind are refused again and again.
type overload struct {
	since, lastRefusal time.Time
}

const (
	// overloadPause is how long no request of a kind is refused before its overload
	// counts as over.
	overloadPause = 500 * time.Millisecond
	// maxOverloadRetryAfter bounds the RetryAfter that a lasting overload gives.
	maxOverloadRetryAfter = 5 * time.Second
	// waitingShare is the share of the time to its objective for which a request may
	// wait for a placement. Whoever is refused after that has the rest to try elsewhere.
	waitingShare = 0.5
)

// refuseOverloaded refuses a request that would miss its objective by an excess. Where
// kinds of requests compete, RetryAfter follows the time for which the overload has
// lasted, since it can be expected to last about as long again: a caller that comes back
// in the middle of it is only refused twice. It is spread by half, so that callers that
// were refused in one moment do not come back in one.
func (p *Placer) refuseOverloaded(now time.Time, request Request, best candidate, excess time.Duration) Decision {
	decision := Decision{RefusalReason: ReasonOverloaded, PredictedWait: best.wait, PredictedDuration: best.completion, PredictedTokenTime: best.tokenTime, RetryAfter: excess}
	if !p.sharesOverflow(now, request) {
		return decision
	}
	if _, held := p.headroomBound(now, request); held && !request.LocalOnly {
		decision.WaitUntil = now.Add(time.Duration(float64(request.Objective.Sub(now)) * waitingShare))
	}
	key := kindOf(request)
	current := p.refusals[key]
	if now.Sub(current.lastRefusal) > overloadPause {
		current.since = now
	}
	current.lastRefusal = now
	if p.refusals == nil {
		p.refusals = map[kindKey]overload{}
	}
	p.refusals[key] = current
	lasted := min(now.Sub(current.since), maxOverloadRetryAfter)
	decision.RetryAfter = time.Duration(float64(max(excess, lasted)) * p.spread(request.ID))
	return decision
}

// spread returns a factor between 0.75 and 1.25 that differs between requests and
// instances.
func (p *Placer) spread(id uint64) float64 {
	const fractionBits = 53
	fraction := float64(mixBits(xxhash.Sum64String(p.InstanceName)^id)>>(64-fractionBits)) / (1 << fractionBits)
	return 0.75 + fraction/2
}
