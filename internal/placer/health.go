package placer

import (
	"math"
	"time"
)

// health is the failure record of a server: it is ejected, that is given no
// requests for some time, when it fails too often.
type health struct {
	consecutiveFailures int
	// failureRate is the moving average of the share of requests that failed, from
	// 0 to 1.
	failureRate float64
	// recentEjections counts the ejections since the last ejectionResetTime without
	// one. It sets the length of the next ejection.
	recentEjections int
	ejectedUntil    time.Time
	// unreachable means that the last request could not be sent.
	unreachable bool
	// nextProbe is when a server that cannot be reached is probed again, and probeInterval
	// the time between the last two probes.
	nextProbe     time.Time
	probeInterval time.Duration
	// ejectedByPeers means that several instances of this failure domain have ejected
	// the server.
	ejectedByPeers bool
}

// Times and limits of ejections.
const (
	// ejectionFailures is how many consecutive failures eject a server:
	// for baseEjectionTime at first, for twice as long each further time, up to
	// maxEjectionDoublings doublings and maxEjectionTime.
	ejectionFailures     = 3
	baseEjectionTime     = time.Second
	maxEjectionTime      = 8 * time.Second
	maxEjectionDoublings = 3
	// failureRateWeight is the weight of one outcome in the failure rate.
	failureRateWeight = 0.07
	// ejectionRate is the failure rate above which a server is ejected although it
	// also answers, if it is above ejectionRateFactor times the rate of the other
	// servers of its service plus ejectionRateMargin, too.
	ejectionRate       = 0.3
	ejectionRateFactor = 2
	ejectionRateMargin = 0.1
	// failureRunChance is the probability below which a run of failures is not taken
	// for chance at a server that fails as often as the others. maxOthersRate bounds
	// the failure rate of the others in that calculation.
	failureRunChance = 0.001
	maxOthersRate    = 0.9
	// ejectionResetTime is the time after an ejection from which on the next one has
	// the base length again.
	ejectionResetTime = 10 * time.Second
	// peerEjectionQuorum is how many instances of this failure domain must have
	// ejected a server before this one stops using it without having seen it fail.
	peerEjectionQuorum = 2
	// maxEjectedShare is the share of the servers of a service that may be ejected
	// at a time.
	maxEjectedShare = 0.5
)

// recordOutcome records how a request ended, and ejects a failing server if
// mayEject is set. othersRate is the mean failure rate of the other servers of
// the service. A server that cannot be connected to, or that another instance of
// this failure domain has ejected, is ejected at its first failure.
func (s *server) recordOutcome(now time.Time, outcome Outcome, mayEject bool, othersRate float64) {
	s.unreachable = outcome == OutcomeUnreachable
	switch outcome {
	case OutcomeAbandoned, OutcomeDeclined:
		return
	case OutcomeAnswered:
		s.consecutiveFailures = 0
		s.failureRate -= failureRateWeight * s.failureRate
		return
	}
	s.consecutiveFailures++
	s.failureRate += failureRateWeight * (1 - s.failureRate)
	frequent := s.failureRate > max(ejectionRate, ejectionRateFactor*othersRate+ejectionRateMargin)
	ejectedByPeer := s.peerLoad.EjectedBy > 0
	if (s.consecutiveFailures < failureRunThreshold(othersRate) && !frequent && !ejectedByPeer && outcome != OutcomeUnreachable) || !mayEject {
		return
	}
	if now.Sub(s.ejectedUntil) > ejectionResetTime {
		s.recentEjections = 0
	}
	s.ejectedUntil = now.Add(min(baseEjectionTime<<min(s.recentEjections, maxEjectionDoublings), maxEjectionTime))
	s.recentEjections++
	s.failureRate /= 2
	s.loadChanged = true
}

// failureRunThreshold returns how many consecutive failures show that a server is
// worse than the others of its service, given their mean failure rate.
func failureRunThreshold(othersRate float64) int {
	if othersRate <= 0 {
		return ejectionFailures
	}
	return max(ejectionFailures, int(math.Ceil(math.Log(failureRunChance)/math.Log(min(othersRate, maxOthersRate)))))
}

// applyPeerEjections ejects the servers that several instances of this failure
// domain have ejected, unless too few servers of the service would be left.
func (p *Placer) applyPeerEjections(now time.Time) {
	ready, ejected := map[string]int{}, map[string]int{}
	for _, s := range p.serversByName {
		s.ejectedByPeers = s.peerLoad.EjectedBy >= peerEjectionQuorum
		if !p.isInUse(s) || p.isLimited(s) {
			continue
		}
		ready[s.Service]++
		if s.ejected(now) {
			ejected[s.Service]++
		}
	}
	for _, s := range p.serversByName {
		if float64(ejected[s.Service]) > maxEjectedShare*float64(ready[s.Service]) {
			s.ejectedByPeers = false
		}
	}
}

// ejected reports whether a server is ejected, by this instance or by its peers.
func (s *server) ejected(now time.Time) bool {
	return s.ejectedByPeers || now.Before(s.ejectedUntil)
}

// othersFailureRate returns the mean failure rate of the other servers of a
// server's service.
func (p *Placer) othersFailureRate(of *server) float64 {
	sum, count := 0.0, 0
	for _, s := range p.serversByName {
		if s != of && s.Service == of.Service {
			sum += s.failureRate
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// readmitFailing ends the ejection of a server that fails some requests, so that one of the
// same service can be ejected that takes none. It reports whether there was one.
func (p *Placer) readmitFailing(now time.Time, service string) bool {
	var best *server
	for _, s := range p.serversByName {
		if s.Service != service || !p.isInUse(s) || s.unreachable || !now.Before(s.ejectedUntil) {
			continue
		}
		if best == nil || s.failureRate < best.failureRate || s.failureRate == best.failureRate && s.nameHash < best.nameHash {
			best = s
		}
	}
	if best == nil {
		return false
	}
	best.ejectedUntil, best.loadChanged = now, true
	return true
}

// readmitLast ends the ejection of one server of each service whose servers that are left are
// all ejected: the others have left since, or their failure domain has been closed.
func (p *Placer) readmitLast(now time.Time) {
	hasOther := map[string]bool{}
	for _, s := range p.serversByName {
		if p.isInUse(s) {
			hasOther[s.Service] = hasOther[s.Service] || !s.ejected(now)
		}
	}
	for service, has := range hasOther {
		if !has {
			p.readmitFailing(now, service)
		}
	}
}

// hasOtherInUse reports whether another server of the service is in use.
func (p *Placer) hasOtherInUse(now time.Time, than *server) bool {
	for _, s := range p.serversByName {
		if s != than && s.Service == than.Service && p.isInUse(s) && !s.ejected(now) {
			return true
		}
	}
	return false
}

// mayEject reports whether enough servers of the service are left if a failing one
// is ejected. Those that have named limits cannot take its load.
func (p *Placer) mayEject(now time.Time, failing *server) bool {
	ready, ejected := 0, 1
	for _, s := range p.serversByName {
		if s.Service != failing.Service || !p.isInUse(s) || s != failing && p.isLimited(s) {
			continue
		}
		ready++
		if s != failing && s.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(ready)
}
