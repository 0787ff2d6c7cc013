package placer

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/throttler"
)

// ServiceSummary is what a region reports of one of its services to other regions.
type ServiceSummary struct {
	// Servers is how many servers are usable, warm and without a limit.
	Servers int `cbor:"s"`
	// LimitedRate is how many requests a second the usable servers take together that
	// have named limits.
	LimitedRate float64 `cbor:"l,omitempty"`
	// MinWait is the shortest predicted time to the first event of an answer, apart
	// from the prefill of the request's own prompt.
	MinWait time.Duration `cbor:"w"`
	// MinTokenTime is the shortest predicted time for one token of the output. It is
	// 0 for services without engines.
	MinTokenTime time.Duration `cbor:"t,omitempty"`
	// Versions is how many servers are usable and warm, by their software version; nil
	// from an earlier release.
	Versions map[string]int `cbor:"v,omitempty"`
}

// hasVersion reports whether a server can go on with what the request goes on with.
func (s ServiceSummary) hasVersion(request Request) bool {
	return request.Version == "" || s.Versions[request.Version] > 0
}

// SetRegionServices replaces the summaries of another region's services, by
// service name.
func (p *Placer) SetRegionServices(now time.Time, region string, services map[string]ServiceSummary) {
	if p.remoteServices == nil {
		p.remoteServices = map[string]map[string]remoteService{}
	}
	received := map[string]remoteService{}
	for name, summary := range services {
		received[name] = remoteService{ServiceSummary: summary, receivedAt: now}
	}
	p.remoteServices[region] = received
}

// RemoteServers returns the number of usable servers of every service of another
// region that was heard recently. The keys are pairs of region and service names.
func (p *Placer) RemoteServers(now time.Time) map[[2]string]int {
	servers := map[[2]string]int{}
	for region, services := range p.remoteServices {
		for service, summary := range services {
			if now.Sub(summary.receivedAt) <= summaryTTL {
				servers[[2]string{region, service}] = summary.Servers
			}
		}
	}
	return servers
}

// bestRemote returns the other region with the shortest predicted wait for a
// request. It assumes that the shared parts of the prompt are cached there.
func (p *Placer) bestRemote(now time.Time, request Request) (best candidate, found bool) {
	if request.LocalOnly {
		return candidate{}, false
	}
	for region, services := range p.remoteServices {
		remote, serves := services[request.Service.Name]
		if !serves || remote.Servers == 0 || now.Sub(remote.receivedAt) > summaryTTL || !request.allowsRegion(region) || !remote.hasVersion(request) || !p.mayOverflow(now, request, region) {
			continue
		}
		ownPrefill := p.speeds[request.Service.Name].prefillTime(request.Work.Prompt-sharedTokens(request.Work.Parts), 1)
		wait := remote.MinWait + regionRoundTrip + ownPrefill
		completion := wait + time.Duration(request.Work.expectedOutput())*remote.MinTokenTime
		overrun := max(completion-request.Deadline.Sub(now), 0)
		wait += overrun
		if !found || wait < best.wait || wait == best.wait && region < best.region {
			best, found = candidate{region: region, wait: wait, ownPrefill: ownPrefill, completion: completion, tokenTime: remote.MinTokenTime, overrun: overrun, distance: regionRoundTrip}, true
		}
	}
	return best, found
}

// regionRoundTrip is the time that relaying a request through an instance of
// another region adds, network round trip included.
const regionRoundTrip = 130 * time.Millisecond

// allowsRegion reports whether a request may be relayed to another region.
func (r Request) allowsRegion(region string) bool {
	return !slices.Contains(r.TriedRegions, region) && r.mayRunIn(region)
}

// HasOtherVersion reports whether a server of a service is known here, usable or not, that
// has another software version than the given one.
func (p *Placer) HasOtherVersion(service, version string) bool {
	for _, s := range p.serversByName {
		if s.Service == service && s.Version != version {
			return true
		}
	}
	return false
}

// Summaries returns the summaries of this region's services, by service name, as
// they are reported to other regions. Services without a usable, warm server are
// left out, as are all while this instance is cut off.
func (p *Placer) Summaries(now time.Time) map[string]ServiceSummary {
	summaries := map[string]ServiceSummary{}
	if p.reach.cutOff {
		return summaries
	}
	for _, s := range p.serversByName {
		if !p.usable(now, s) || s.cold(now) || p.lacksRoom(now, s) {
			continue
		}
		summary := summaries[s.Service]
		if summary.Versions == nil {
			summary.Versions = map[string]int{}
		}
		summary.Versions[s.Version]++
		if limit, limited := p.limits.Limit(s.start().throttled()); limited {
			summary.LimitedRate += max(limit, throttler.MinRate)
			summaries[s.Service] = summary
			continue
		}
		wait := s.firstEventWait(now, 0)
		exists := summary.Servers > 0
		if !exists || wait < summary.MinWait {
			summary.MinWait = wait
		}
		if s.isEngine {
			if tokenTime := s.outputTime(now, Work{Output: 1}); !exists || tokenTime < summary.MinTokenTime {
				summary.MinTokenTime = tokenTime
			}
		}
		summary.Servers++
		summaries[s.Service] = summary
	}
	return summaries
}
