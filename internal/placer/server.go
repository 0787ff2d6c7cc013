package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// server is a backend server of this region with what is known of its work.
type server struct {
	registrar.Server
	// crowded servers get requests from many instances.
	crowded bool
	// engine servers read prompts; the others are plain services.
	engine    bool
	hash      uint64
	coldUntil time.Time
	own       Load
	others    Load
	// sent is when this instance last sent it a request, and seen when it was
	// last considered.
	sent time.Time
	seen time.Time
	// pace is the rate at which this instance sends it prompts to read.
	pace meter
	// speed is the observed time to a first event over the predicted one.
	speed float64
	cache cache

	// failures in a row, the share of failures lately, and until when the
	// server is set aside for them.
	failures     int
	failed       float64
	ejectedUntil time.Time
}

// What an engine is assumed to do in a given time until it has been seen at
// work. The figures are those of one engine of the installations' data sheets;
// the observed speed corrects them.
const (
	// stepTime is one decoding step of an empty batch, and slotTime what each
	// running request adds to it.
	stepTime = 4340 * time.Microsecond
	slotTime = 151 * time.Microsecond
	// chunkTokens are read between two steps; readTokens are read in a
	// millisecond.
	chunkTokens = 2048
	readTokens  = 36.7
	// firstTime is what a first event takes apart from reading the prompt.
	firstTime = 22 * time.Millisecond
	// runTime is how long a slot is taken on average; it tells how soon one
	// of a full batch comes free.
	runTime = 3 * time.Second
	// memoryShare of an engine's memory may be taken by running requests: when it
	// runs out, the engine drops some of them and reads them again.
	memoryShare = 0.8
	// fullMemoryWait is what a prediction adds when the memory is taken.
	fullMemoryWait = time.Second
	// typicalPrompt is what is read of a prompt on average, in tokens, and mostBusy
	// bounds the share of time for which a queue is predicted. From manyPlacing
	// instances on, a region is a crowd.
	typicalPrompt = 3000
	mostBusy      = 0.95
	manyPlacing   = 8
	// plainTime is one request of a plain service.
	plainTime = 15 * time.Millisecond
)

// Times and bounds of ejection.
const (
	ejectAfter    = 3
	ejectTime     = time.Second
	longestEject  = 8 * time.Second
	failureWeight = 0.15
	// ejectShare of failures sets a server aside although some answers come.
	ejectShare = 0.3
	// mostEjected is the part of a service's servers that may be set aside.
	mostEjected = 0.5
	// speedWeight is the weight of one observation of a server's speed.
	speedWeight = 0.1
)

// readTime predicts how long it takes to read a prompt beside a batch.
func readTime(tokens int64, running int32) time.Duration {
	if tokens <= 0 {
		return 0
	}
	step := stepTime + time.Duration(running)*slotTime
	perToken := 1/readTokens + step.Seconds()*1000/chunkTokens
	return time.Duration(float64(tokens) * perToken * float64(time.Millisecond))
}

func (s *server) total() Load {
	total := s.own
	total.add(s.others)
	return total
}

// wait predicts the time to the first event of a request that still has some
// tokens to be read.
func (s *server) wait(now time.Time, unread int64) time.Duration {
	total := s.total()
	if !s.engine {
		rounds := float64(total.Running+1) / float64(max(s.Slots, 1))
		return time.Duration(max(rounds, 1) * float64(plainTime) * s.speed)
	}
	wait := firstTime + readTime(max(total.Prefill, s.expectedQueue(now))+unread, total.Running)
	if over := int(total.Running) + 1 - s.Slots; over > 0 && s.Slots > 0 {
		wait += time.Duration(over) * runTime / time.Duration(s.Slots)
	}
	return time.Duration(float64(wait) * s.speed)
}

// expectedQueue returns the tokens that a new prompt finds before it on average,
// by the rate at which prompts come from all instances of a crowd. What they have
// waiting changes faster than they tell.
func (s *server) expectedQueue(now time.Time) int64 {
	if !s.crowded {
		return 0
	}
	busy := min((s.pace.rate(now)+s.others.Pace)/(readTokens*1000), mostBusy)
	return int64(busy / (1 - busy) * typicalPrompt / 2)
}

func (s *server) cold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

// noteSpeed averages how the observed time to a first event compares with the
// prediction. Very short predictions say little.
func (s *server) noteSpeed(observed, predicted time.Duration) {
	const shortest = 20 * time.Millisecond
	if predicted < shortest {
		return
	}
	ratio := observed.Seconds() / predicted.Seconds() * s.speed
	s.speed += speedWeight * (min(max(ratio, 0.5), 4) - s.speed)
	s.speed = min(max(s.speed, 0.7), 3)
}

// note records how a request ended, and sets a failing server aside if others
// can take its work.
func (s *server) note(now time.Time, outcome Outcome, mayEject bool) {
	switch outcome {
	case Dropped, Declined:
		return
	case Answered:
		s.failures = 0
		s.failed -= failureWeight * s.failed
		return
	}
	s.failures++
	s.failed += failureWeight * (1 - s.failed)
	often := s.failed > ejectShare && s.failures > 0
	if (s.failures < ejectAfter && !often && outcome != Unreached) || !mayEject {
		return
	}
	doublings := min(max(s.failures-ejectAfter, 0), 3)
	s.ejectedUntil = now.Add(min(ejectTime<<doublings, longestEject))
	s.failed /= 2
}

// Learn replaces what is known of the servers of this region.
func (p *Placer) Learn(now time.Time, view *definer.View, servers []registrar.Server) {
	if p.servers == nil {
		p.servers = map[string]*server{}
	}
	seen := map[string]bool{}
	for _, said := range servers {
		seen[said.Name] = true
		p.learn(now, view, said)
	}
	maps.DeleteFunc(p.servers, func(name string, s *server) bool {
		return !seen[name] && s.own.Running == 0
	})
	for name, s := range p.servers {
		if !seen[name] {
			s.State = registrar.StateGone
		}
	}
	p.sumOthers()
}

func (p *Placer) learn(now time.Time, view *definer.View, said registrar.Server) {
	known, exists := p.servers[said.Name]
	if !exists || known.Born != said.Born {
		before := known
		known = &server{hash: xxhash.Sum64String(said.Name), speed: 1}
		if before != nil {
			known.own = before.own
		}
		p.servers[said.Name] = known
	}
	if until := now.Add(said.Warmup - said.Age); said.Warmup > 0 && until.After(known.coldUntil) {
		known.coldUntil = until
	}
	known.Server = said
	known.crowded = p.Crowd >= manyPlacing
	if service, defined := view.Service(said.Service); defined {
		known.engine = service.Engine != nil
		if reopened := p.reopened[said.FailureDomain]; !reopened.IsZero() {
			if until := reopened.Add(service.Warmup); until.After(known.coldUntil) {
				known.coldUntil = until
			}
		}
	}
}

// Close replaces the failure domains whose servers get nothing. Servers of a
// domain that is opened again count as cold, as after a start.
func (p *Placer) Close(now time.Time, domains []string) {
	next := map[string]bool{}
	for _, domain := range domains {
		next[domain] = true
	}
	for domain := range p.closed {
		if !next[domain] {
			if p.reopened == nil {
				p.reopened = map[string]time.Time{}
			}
			p.reopened[domain] = now
		}
	}
	p.closed = next
}

// usable reports whether a server may get work now.
func (p *Placer) usable(now time.Time, s *server) bool {
	return s.State == registrar.StateReady && !s.Silent && !p.closed[s.FailureDomain] && !now.Before(s.ejectedUntil)
}

// Conditions tells of every server of this region whether it gets work, and why
// not: ready, cold, ejected, closed, silent, leaving or gone.
func (p *Placer) Conditions(now time.Time) map[string]string {
	conditions := make(map[string]string, len(p.servers))
	for name, s := range p.servers {
		switch {
		case s.State != registrar.StateReady:
			conditions[name] = s.State.String()
		case s.Silent:
			conditions[name] = "silent"
		case p.closed[s.FailureDomain]:
			conditions[name] = "closed"
		case now.Before(s.ejectedUntil):
			conditions[name] = "ejected"
		case s.cold(now):
			conditions[name] = "cold"
		default:
			conditions[name] = "ready"
		}
	}
	return conditions
}

func (p *Placer) mayEject(now time.Time, failing *server) bool {
	all, out := 0, 1
	for _, s := range p.servers {
		if s.Service != failing.Service || s.State != registrar.StateReady || s.Silent {
			continue
		}
		all++
		if s != failing && now.Before(s.ejectedUntil) {
			out++
		}
	}
	return float64(out) <= mostEjected*float64(all)
}

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
	// servers on.
	quietRunning = 28
	longAnswer   = 450
	quietLeast   = 3
)

// bestLocal returns the server of this region that would serve a request best:
// in time, and then at the lowest price.
func (p *Placer) bestLocal(now time.Time, request Request) candidate {
	var best candidate
	if request.Bound && !slices.Contains(request.Homes, p.Region) {
		return best
	}
	keeper, kept := p.keeper(now, request)
	quiet := p.quiet(now, request.Service)
	enough := time.Duration(float64(request.Objective.Sub(now)) * stayShare)
	for _, s := range p.servers {
		if s.Service != request.Service.Name || slices.Contains(request.Tried, s.Name) || !p.usable(now, s) {
			continue
		}
		if s.cold(now) && !p.mayWarm(now, s, request.Service) {
			continue
		}
		s.seen = now
		next := p.consider(now, s, request, keeper, kept)
		if s == quiet && s.keepsQuiet(request.Work) {
			continue
		}
		next.servers = best.servers + 1
		if best.server == nil || next.before(best, enough) {
			best = next
		}
		best.servers = next.servers
	}
	return best
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
func (p *Placer) consider(now time.Time, s *server, request Request, keeper *server, kept int64) candidate {
	own := s.cache.longest(request.Work.Parts)
	engine := request.Service.Engine
	next := candidate{server: s}
	if s == keeper {
		if other, known := p.longest(now, request); engine != nil && engine.Moves && known-own >= copyLeast {
			next.source = other // what the keeper should have may never have been read there
		}
		own = max(own, kept)
	}
	next.cached = own
	if missing := kept - own; keeper != nil && missing >= copyLeast {
		if engine != nil && engine.Moves {
			next.cached, next.source = kept, keeper
			next.price = time.Duration(missing) * copyPrice
			next.wait = copyTime
		} else {
			next.price = time.Duration(missing) * readPrice
		}
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
func (s *server) keepsQuiet(work Work) bool {
	return work.expected() < longAnswer && s.total().Running > quietRunning
}

// runTime predicts how long the output of a request takes beside the batch and
// the prompts that keep coming.
func (s *server) runTime(now time.Time, work Work) time.Duration {
	step := stepTime + time.Duration(s.total().Running+1)*slotTime
	reading := (s.pace.rate(now) + s.others.Pace) / (readTokens * 1000)
	free := 1 - min(reading, mostReading)
	return time.Duration(float64(work.expected()) * float64(step) / free * s.speed)
}

// mostReading bounds the part of an engine's time that is taken as spent on
// prompts; decoding always gets a part.
const mostReading = 0.85

// keeper returns the server that is expected to keep the most of a prompt, and
// how much: one that this instance sent it to lately, or the one that rendezvous
// hashing gives its last shared part.
func (p *Placer) keeper(now time.Time, request Request) (best *server, kept int64) {
	parts := request.Work.Parts
	if len(parts) < 2 {
		return nil, 0
	}
	best, kept = p.longest(now, request)
	if shared := sharedTokens(parts); kept < shared {
		if home := p.affine(now, request); home != nil {
			return home, shared
		}
	}
	return best, kept
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
