package placer

import "time"

// Summary is what other regions learn of a service here.
type Summary struct {
	// Servers is how many servers are usable.
	Servers int `cbor:"s"`
	// Wait is the shortest predicted time to a first event, without the
	// reading of the request's own prompt.
	Wait time.Duration `cbor:"w"`
	// Token is the shortest predicted time for one token of an answer.
	Token time.Duration `cbor:"t,omitempty"`
}

// HearRegion takes in what another region says of its services.
func (p *Placer) HearRegion(now time.Time, region string, services map[string]Summary) {
	if p.regions == nil {
		p.regions = map[string]map[string]remote{}
	}
	known := map[string]remote{}
	for name, summary := range services {
		known[name] = remote{Summary: summary, heard: now}
	}
	p.regions[region] = known
}

// Regions tells for every service of another region that was heard lately how
// many servers it has there. Keys are the region and the service.
func (p *Placer) Regions(now time.Time) map[[2]string]int {
	heard := map[[2]string]int{}
	for region, services := range p.regions {
		for service, known := range services {
			if now.Sub(known.heard) <= remoteFreshness {
				heard[[2]string{region, service}] = known.Servers
			}
		}
	}
	return heard
}

// bestRemote returns the other region that would serve a request soonest.
func (p *Placer) bestRemote(now time.Time, request Request) (best candidate, found bool) {
	if request.Local {
		return candidate{}, false
	}
	for region, services := range p.regions {
		known, serves := services[request.Service.Name]
		if !serves || known.Servers == 0 || now.Sub(known.heard) > remoteFreshness || !request.allows(region) {
			continue
		}
		own := readTime(request.Work.Prompt-sharedTokens(request.Work.Parts), 1)
		wait := known.Wait + regionTrip + own
		end := wait + time.Duration(request.Work.expected())*known.Token
		if late := end - request.Deadline.Sub(now); late > 0 {
			wait += late
		}
		if !found || wait < best.wait || wait == best.wait && region < best.region {
			best, found = candidate{region: region, wait: wait, own: own, end: end}, true
		}
	}
	return best, found
}

// regionTrip is the round trip to another region with the passing on of a
// request there.
const regionTrip = 130 * time.Millisecond

func (r Request) allows(region string) bool {
	for _, tried := range r.TriedRegions {
		if tried == region {
			return false
		}
	}
	if !r.Bound {
		return true
	}
	for _, home := range r.Homes {
		if home == region {
			return true
		}
	}
	return false
}

// Summaries returns what other regions may know of the services here.
func (p *Placer) Summaries(now time.Time) map[string]Summary {
	summaries := map[string]Summary{}
	for _, s := range p.servers {
		if !p.usable(now, s) || s.cold(now) {
			continue
		}
		wait := s.wait(now, 0)
		known, seen := summaries[s.Service]
		if !seen || wait < known.Wait {
			known.Wait = wait
		}
		if s.engine {
			if token := s.runTime(now, Work{Output: 1}); !seen || token < known.Token {
				known.Token = token
			}
		}
		known.Servers++
		summaries[s.Service] = known
	}
	return summaries
}
