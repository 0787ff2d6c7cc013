package placer

import (
	"maps"
	"math"
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
	// changed means that own has changed since others were told of everything.
	changed bool
	// sent is when this instance last sent it a request.
	sent time.Time
	// pace is the rate at which this instance sends it prompts to read.
	pace meter
	// speed is the observed time to a first event over the predicted one.
	speed float64
	cache cache
	// room is how much it is expected to keep of earlier prompts, in tokens.
	room int64

	// failures in a row, the share of failures lately, and until when the
	// server is set aside for them, for how many times lately.
	failures     int
	failed       float64
	ejections    int
	ejectedUntil time.Time
	// shunned means that several neighbours have set it aside.
	shunned bool
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
	mostDoublings = 3
	failureWeight = 0.07
	// ejectShare of failures sets a server aside although some answers come, if
	// that is far more than others of its service have.
	ejectShare  = 0.3
	ejectFactor = 2
	ejectMargin = 0.1
	// rowChance is how likely a row of failures may be at a server like all others,
	// and mostUsual bounds the share of failures that is taken as usual.
	rowChance = 0.001
	mostUsual = 0.9
	// ejectMemory is after how long without an ejection the next one is short
	// again.
	ejectMemory = 10 * time.Second
	// shunVotes is how many neighbours must have set a server aside for an instance
	// that has not seen it fail itself.
	shunVotes = 2
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
	busy := min(s.readShare(now), mostBusy)
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
// can take its work. Usual is the share of failures of those others.
func (s *server) note(now time.Time, outcome Outcome, mayEject bool, usual float64) {
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
	often := s.failed > max(ejectShare, ejectFactor*usual+ejectMargin)
	confirmed := s.others.Ejected > 0
	if (s.failures < tellingRow(usual) && !often && !confirmed && outcome != Unreached) || !mayEject {
		return
	}
	if now.Sub(s.ejectedUntil) > ejectMemory {
		s.ejections = 0
	}
	s.ejectedUntil = now.Add(min(ejectTime<<min(s.ejections, mostDoublings), longestEject))
	s.ejections++
	s.failed /= 2
	s.changed = true
}

// tellingRow is how many failures in a row say that a server is worse than others
// of which a share fails as well.
func tellingRow(usual float64) int {
	if usual <= 0 {
		return ejectAfter
	}
	return max(ejectAfter, int(math.Ceil(math.Log(rowChance)/math.Log(min(usual, mostUsual)))))
}

// shun sets the servers aside that several neighbours have set aside, if others
// can take their work.
func (p *Placer) shun(now time.Time) {
	ready, out := map[string]int{}, map[string]int{}
	for _, s := range p.servers {
		s.shunned = s.others.Ejected >= shunVotes
		if s.State != registrar.StateReady || s.Silent {
			continue
		}
		ready[s.Service]++
		if s.out(now) {
			out[s.Service]++
		}
	}
	for _, s := range p.servers {
		if float64(out[s.Service]) > mostEjected*float64(ready[s.Service]) {
			s.shunned = false
		}
	}
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
	p.sumOthers(now)
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
		known.room = cacheTokens(service)
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
	return s.State == registrar.StateReady && !s.Silent && !p.closed[s.FailureDomain] && !s.out(now)
}

// out reports whether a server is set aside for its failures.
func (s *server) out(now time.Time) bool {
	return s.shunned || now.Before(s.ejectedUntil)
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
		case s.out(now):
			conditions[name] = "ejected"
		case s.cold(now):
			conditions[name] = "cold"
		default:
			conditions[name] = "ready"
		}
	}
	return conditions
}

// usualFailures is the mean share of failures of the other servers of a service.
func (p *Placer) usualFailures(of *server) float64 {
	sum, count := 0.0, 0
	for _, s := range p.servers {
		if s != of && s.Service == of.Service {
			sum += s.failed
			count++
		}
	}
	return sum / float64(max(count, 1))
}

func (p *Placer) mayEject(now time.Time, failing *server) bool {
	all, out := 0, 1
	for _, s := range p.servers {
		if s.Service != failing.Service || s.State != registrar.StateReady || s.Silent {
			continue
		}
		all++
		if s != failing && s.out(now) {
			out++
		}
	}
	return float64(out) <= mostEjected*float64(all)
}
