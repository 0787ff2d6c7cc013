package placer

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/throttler"
)

// ReasonServerLimit means that all servers that could serve the request have named
// limits, and that no share of them is left.
const ReasonServerLimit Reason = "server-limit"

// ServerLimit is the limit of a server and this instance's share of it, in requests a
// second.
type ServerLimit struct {
	Limit float64
	Share float64
}

// recordLimit records what the server of a placement said of its limit.
func (p *Placer) recordLimit(now time.Time, placed *placement, said Notice) {
	if !said.Limited && !said.Unlimited {
		return
	}
	seen := throttler.Observation{Rate: said.Limit, Limited: said.Limited, SentAt: placed.placedAt, ArrivedAt: now}
	if p.limits.Observe(now, placed.start.throttled(), seen) {
		p.limitSeenAt = now
	}
}

// SetRegionMembers takes over the instances of this region that share the limits of
// servers: the time since each was last heard, by name, and how many are known. Settled
// is false while this instance may not know all of them yet.
func (p *Placer) SetRegionMembers(now time.Time, silence map[string]time.Duration, known int, settled bool) {
	p.limits.Self = p.InstanceName
	p.limits.SetMembers(now, silence, known, settled)
}

// RecordLimits takes over what another instance knows of the limits of servers.
func (p *Placer) RecordLimits(now time.Time, reports []throttler.Report) {
	p.limits.Record(now, reports)
}

// Limits returns what this instance knows of the limits of servers that have changed
// within the given time; 0 means all.
func (p *Placer) Limits(now time.Time, changedWithin time.Duration) []throttler.Report {
	since := time.Time{}
	if changedWithin > 0 {
		since = now.Add(-changedWithin)
	}
	return p.limits.Reports(now, since)
}

// LimitSeenWithin reports whether a server has told this instance of another limit
// than before within the given time.
func (p *Placer) LimitSeenWithin(now time.Time, duration time.Duration) bool {
	return now.Sub(p.limitSeenAt) <= duration
}

// ServerLimits returns the limits of the servers that have one, by server name.
func (p *Placer) ServerLimits() map[string]ServerLimit {
	limits := map[string]ServerLimit{}
	for name, s := range p.serversByName {
		if rate, limited := p.limits.Limit(s.start().throttled()); limited {
			limits[name] = ServerLimit{Limit: rate, Share: p.limits.Rate(s.start().throttled())}
		}
	}
	return limits
}

// isLimited reports whether a server has named a limit.
func (p *Placer) isLimited(s *server) bool {
	_, limited := p.limits.Limit(s.start().throttled())
	return limited
}

// isUrgent reports whether a request may use the whole share of a limit.
func (r Request) isUrgent() bool {
	return r.Urgency == 0 || r.goesOn()
}

// limitedServers returns the servers that could serve a request but for their limits.
func (p *Placer) limitedServers(now time.Time, request Request) []throttler.Server {
	var limited []throttler.Server
	for _, s := range p.serversByName {
		if s.Service == request.Service.Name && p.usable(now, s) && p.isLimited(s) && request.allowsVersion(s.Version) {
			limited = append(limited, s.start().throttled())
		}
	}
	return limited
}

// placeByLimits places a request that only servers with limits can serve, here or in
// another region: an instance that may have a share left gets it, at little more than
// the rate that the servers take. It returns false if there are no such servers.
func (p *Placer) placeByLimits(now time.Time, request Request) (decision Decision, limited bool) {
	service := request.Service.Name
	refusal := Decision{RefusalReason: ReasonServerLimit}
	if request.mayRunIn(p.Region) && !p.reach.cutOff {
		if servers := p.limitedServers(now, request); len(servers) > 0 {
			if !request.LocalOnly && !slices.Contains(request.TriedRegions, p.Region) {
				if holder, ok := p.limits.Handover(now, service, servers); ok {
					return Decision{Region: p.Region, Instance: holder}, true
				}
			}
			refusal.RetryAfter, limited = p.limits.ReturnAfter(now, service, servers), true
		}
	}
	region, rate := p.limitedRegion(now, request)
	if region == "" {
		return refusal, limited
	}
	name, rate := region+"/"+service, p.limits.EvenShare(rate)
	if !slices.Contains(request.TriedRegions, region) && p.limits.MayHandOver(now, name, rate) {
		return Decision{Region: region}, true
	}
	if !limited {
		refusal.RetryAfter = p.limits.ReturnAtRate(now, name, rate)
	}
	return refusal, true
}

// limitedRegion returns the other region whose limited servers take the most requests
// of a service, with their rate together, or an empty name if there is none.
func (p *Placer) limitedRegion(now time.Time, request Request) (best string, rate float64) {
	if request.LocalOnly {
		return "", 0
	}
	for region, services := range p.remoteServices {
		remote := services[request.Service.Name]
		if remote.LimitedRate <= 0 || now.Sub(remote.receivedAt) > summaryTTL || !request.mayRunIn(region) || !remote.hasVersion(request) {
			continue
		}
		if remote.LimitedRate > rate || remote.LimitedRate == rate && region < best {
			best, rate = region, remote.LimitedRate
		}
	}
	return best, rate
}

func (s serverStart) throttled() throttler.Server {
	return throttler.Server{Name: s.name, StartedAtMillis: s.atMillis}
}
