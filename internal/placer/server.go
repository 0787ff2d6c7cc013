package placer

import (
	"maps"
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

	health
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

// speedWeight is the weight of one observation of a server's speed.
const speedWeight = 0.1

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
