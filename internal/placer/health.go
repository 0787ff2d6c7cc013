package placer

import (
	"math"
	"time"

	"github.com/boragehead/boragehead/internal/registrar"
)

// health is what has been seen of a server's failures.
type health struct {
	// failures in a row, the share of failures lately, and until when the
	// server is set aside for them, for how many times lately.
	failures     int
	failed       float64
	ejections    int
	ejectedUntil time.Time
	// shunned means that several neighbours have set it aside.
	shunned bool
}

// Times and bounds of ejection.
const (
	// ejectAfter failures in a row set a server aside, for ejectTime at first,
	// twice as long each time, and longestEject at most.
	ejectAfter    = 3
	ejectTime     = time.Second
	longestEject  = 8 * time.Second
	mostDoublings = 3
	// failureWeight is the weight of one answer in the share of failures.
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
)

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

// out reports whether a server is set aside for its failures.
func (s *server) out(now time.Time) bool {
	return s.shunned || now.Before(s.ejectedUntil)
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
