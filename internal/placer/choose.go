package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/definer"
)

// What a choice among servers that are all in time costs beside the wait. A
// token that is read again though another server keeps it is worth more time
// than one that is copied, and both more than one that is there.
const (
	readPrice = 70 * time.Microsecond
	copyPrice = 15 * time.Microsecond
	// copyLeast is the fewest tokens that are worth a copy.
	copyLeast = 256
	// copyTime is what a copy takes beside the reading.
	copyTime = 12 * time.Millisecond
	// harmShare of the delay that reading a prompt means for each running answer
	// counts, and slowShare of the time that the own answer takes.
	harmShare = 0.06
	slowShare = 0.06
	// A quiet server with more than quietRunning requests takes only answers that
	// are expected to have longAnswer tokens or more. There is one from quietLeast
	// servers on. With more than quietReading requests it reads no prompt of more than
	// quietPrompt tokens beside them.
	quietRunning = 28
	quietReading = 8
	quietPrompt  = 1500
	longAnswer   = 450
	quietLeast   = 3
)

// surroundings are what all candidates for a request are compared by.
type surroundings struct {
	// keeper is known to keep the most of the prompt, and kept is how much.
	keeper *server
	kept   int64
	// home should read the shared parts if nobody is known to keep them.
	home   *server
	shared int64
	// quiet is the server that keeps room for long answers.
	quiet *server
	// enough is the wait below which all count alike.
	enough time.Duration
}

func (p *Placer) surroundings(now time.Time, request Request) surroundings {
	around := surroundings{
		quiet:  p.quiet(now, request.Service),
		enough: time.Duration(float64(request.Objective.Sub(now)) * stayShare),
	}
	around.keeper, around.kept = p.longest(now, request)
	around.home, around.shared = p.home(now, request, around.kept)
	return around
}

// bestLocal returns the server of this region that would serve a request best:
// in time, and then at the lowest price.
func (p *Placer) bestLocal(now time.Time, request Request) candidate {
	var best, reserve candidate
	if request.Bound && !slices.Contains(request.Homes, p.Region) {
		return best
	}
	around := p.surroundings(now, request)
	count := 0
	for _, s := range p.servers {
		if !p.mayTake(now, s, request) {
			continue
		}
		count++
		next := p.consider(now, s, request, around)
		if s == around.quiet && !request.Started && s.keepsQuiet(request.Work, request.Work.Prompt-next.cached) {
			reserve = next // taken if there is no other
			continue
		}
		if best.server == nil || next.before(best, around.enough) {
			best = next
		}
	}
	if best.server == nil {
		best = reserve
	}
	best.servers = count
	return best
}

// mayTake reports whether a server may get a request now.
func (p *Placer) mayTake(now time.Time, s *server, request Request) bool {
	if s.Service != request.Service.Name || slices.Contains(request.Tried, s.Name) || !p.usable(now, s) {
		return false
	}
	return !s.cold(now) || p.mayWarm(now, s, request.Service)
}

// before reports whether a candidate is better than another. Waits below what
// is enough count alike.
func (c candidate) before(other candidate, enough time.Duration) bool {
	a, b := max(c.wait, enough)+c.price, max(other.wait, enough)+other.price
	if a != b {
		return a < b
	}
	if c.wait != other.wait {
		return c.wait < other.wait
	}
	return c.server.hash < other.server.hash
}

// consider predicts how one server would serve a request, with a copy of what
// the keeper has of its prompt if that helps.
func (p *Placer) consider(now time.Time, s *server, request Request, around surroundings) candidate {
	engine := request.Service.Engine
	next := candidate{server: s, cached: s.cache.longest(request.Work.Parts)}
	if around.home != nil && s != around.home {
		next.price = time.Duration(around.shared) * copyPrice
	}
	switch missing := around.kept - next.cached; {
	case around.keeper == nil || missing < copyLeast:
	case engine != nil && engine.Moves:
		next.cached, next.source = around.kept, around.keeper
		next.price += time.Duration(missing) * copyPrice
		next.wait = copyTime
	default:
		next.price += time.Duration(missing) * readPrice
	}
	next.own = time.Duration(float64(readTime(request.Work.Prompt-next.cached, s.total().Running)) * s.speed)
	next.wait += s.wait(now, request.Work.Prompt-next.cached)
	if engine == nil {
		next.end = next.wait
		return next
	}
	next.price += s.harm(request.Work.Prompt-next.cached) + time.Duration(slowShare*float64(s.runTime(now, request.Work)))
	if held := float64(s.total().Memory + request.Work.memory()); held > memoryShare*float64(engine.Memory) {
		next.wait += fullMemoryWait
	}
	next.end = next.wait + s.runTime(now, request.Work)
	if late := next.end - request.Deadline.Sub(now); late > 0 {
		next.wait += late
	}
	return next
}

// harm prices the delay that reading a prompt means for the running answers.
func (s *server) harm(unread int64) time.Duration {
	return time.Duration(harmShare * float64(s.total().Running) * float64(readTime(unread, 0)))
}

// quiet returns the server of a service on which prompts are read least, so that
// long answers can end in time beside a load that the others bear. There is none
// where servers are few.
func (p *Placer) quiet(now time.Time, service *definer.Service) *server {
	var best *server
	count := 0
	for _, s := range p.servers {
		if s.Service != service.Name || !p.usable(now, s) || s.cold(now) {
			continue
		}
		count++
		if best == nil || s.hash > best.hash {
			best = s
		}
	}
	if service.Engine == nil || count < quietLeast {
		return nil
	}
	return best
}

// keepsQuiet reports whether a quiet server keeps the room that it has left for
// long answers.
func (s *server) keepsQuiet(work Work, unread int64) bool {
	running := s.total().Running
	if unread > quietPrompt && running > quietReading {
		return true
	}
	return work.expected() < longAnswer && running > quietRunning
}

// runTime predicts how long the output of a request takes beside the batch and
// the prompts that keep coming.
func (s *server) runTime(now time.Time, work Work) time.Duration {
	step := stepTime + time.Duration(s.total().Running+1)*slotTime
	reading := s.readShare(now)
	free := 1 - min(reading, mostReading)
	return time.Duration(float64(work.expected()) * float64(step) / free * s.speed)
}

// readShare is the part of a server's time that the prompts of all instances take.
func (s *server) readShare(now time.Time) float64 {
	return (s.pace.rate(now) + float64(s.others.Pace)) / (readTokens * 1000)
}

// mostReading bounds the part of an engine's time that is taken as spent on
// prompts; decoding always gets a part.
const mostReading = 0.85

// home returns the server that should read the shared parts of a prompt that no
// server is known to keep, and their size: the one that rendezvous hashing gives
// the last of them.
func (p *Placer) home(now time.Time, request Request, kept int64) (*server, int64) {
	shared := sharedTokens(request.Work.Parts)
	if kept >= shared {
		return nil, 0
	}
	return p.affine(now, request), shared
}

// longest returns the server that this instance has sent the most of a prompt
// lately, and how much.
func (p *Placer) longest(now time.Time, request Request) (best *server, kept int64) {
	for _, s := range p.servers {
		if s.Service != request.Service.Name || !p.usable(now, s) {
			continue
		}
		own := s.cache.longest(request.Work.Parts)
		if own > kept || own > 0 && own == kept && s.hash < best.hash {
			best, kept = s, own
		}
	}
	return best, kept
}

// mayWarm reports whether a cold server may get a request from this instance.
// One instance of its failure domain owns each cold server, so that the rate
// that it bears holds over all of them.
func (p *Placer) mayWarm(now time.Time, s *server, service *definer.Service) bool {
	if service.WarmupRate <= 0 {
		return true
	}
	if s.FailureDomain != p.FailureDomain {
		return false
	}
	pause := time.Duration(float64(time.Second) / service.WarmupRate)
	return p.owner(now, s) == p.Self && now.Sub(s.sent) >= pause
}

// owner returns the live instance of this failure domain that a server belongs
// to.
func (p *Placer) owner(now time.Time, s *server) string {
	best := p.Self
	highest := mix(xxhash.Sum64String(p.Self) ^ s.hash)
	for name, other := range p.peers {
		if now.Sub(other.heard) > peerFreshness || !other.near {
			continue
		}
		if rank := mix(xxhash.Sum64String(name) ^ s.hash); rank > highest {
			best, highest = name, rank
		}
	}
	return best
}

// affine returns the server that rendezvous hashing gives the last shared part
// of a prompt, so that all instances of the region send it to the same place.
func (p *Placer) affine(now time.Time, request Request) *server {
	parts := request.Work.Parts
	if len(parts) < 2 {
		return nil
	}
	key := parts[len(parts)-2].ID
	var best *server
	var highest uint64
	for _, s := range p.servers {
		if s.Service != request.Service.Name || !p.usable(now, s) {
			continue
		}
		if rank := mix(s.hash ^ key); best == nil || rank > highest {
			best, highest = s, rank
		}
	}
	return best
}

// mix spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// sharedTokens returns the tokens of all parts but the last.
func sharedTokens(parts []Part) int64 {
	total := int64(0)
	for i := range len(parts) - 1 {
		total += parts[i].Tokens
	}
	return total
}
