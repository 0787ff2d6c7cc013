package placer

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/registrar"
)

// Probe is the result of a connection that was tried to a server.
type Probe struct {
	Server  registrar.Server
	Reached bool
}

// reach is what an instance knows of its own paths to the servers of its region. When all
// servers seem to fail at once the instance itself is cut off from them: no server is
// blamed, and requests are handed over to instances that are not.
type reach struct {
	// failed holds the names of the servers whose requests have failed since one was
	// answered or a probe reached any server.
	failed map[string]bool
	// cutOff means that no probe reaches a server.
	cutOff bool
	// probedAt is when servers were last probed to find out whether this instance is cut off.
	probedAt time.Time
	// probingAll means that the probes under way are of any servers, and not only of those that
	// could not be reached before.
	probingAll bool
	// mayHandOver means that another instance of the region is known that is not cut off.
	mayHandOver bool
}

const (
	// minFailedServers is how many servers must fail for the instance's own paths to be
	// suspected. The same number of probes must fail to cut it off.
	minFailedServers = 2
	// maxProbes is the most servers that are probed at a time.
	maxProbes = 8
	// minProbeInterval is the time between two probes of a server that cannot be reached. It
	// doubles up to maxProbeInterval.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// probeGrace is how long after its next probe is due a server that cannot be reached
	// stays ejected, so that no request has to try it.
	probeGrace = time.Second
	// maxUnreachedServers is how many servers a request may find unreachable before it is
	// handed over.
	maxUnreachedServers = 2
)

// CutOff reports whether this instance reaches no server of its region.
func (p *Placer) CutOff() bool {
	return p.reach.cutOff
}

// SetHandover sets whether another instance of this region is known that is not cut off.
func (p *Placer) SetHandover(available bool) {
	p.reach.mayHandOver = available
}

// recordReach records whether a request reached its server.
func (p *Placer) recordReach(s *server, outcome Outcome) {
	switch outcome {
	case OutcomeAnswered, OutcomeDeclined:
		delete(p.reach.failed, s.Name)
	case OutcomeUnreachable, OutcomeFailed:
		if p.reach.failed == nil {
			p.reach.failed = map[string]bool{}
		}
		p.reach.failed[s.Name] = true
	}
}

// ServersToProbe returns the servers to try a connection to now: some of all if this
// instance may be cut off, and those that could not be reached. The results must be passed
// to RecordProbes before the next call.
func (p *Placer) ServersToProbe(now time.Time) []registrar.Server {
	var servers []registrar.Server
	suspected := p.reach.cutOff || len(p.reach.failed) >= minFailedServers
	all := suspected && now.Sub(p.reach.probedAt) >= minProbeInterval
	for _, s := range p.serversByName { // in random order
		due := s.unreachable && s.ejected(now) && !now.Before(s.nextProbe)
		if len(servers) < maxProbes && p.isInUse(s) && (all || due) {
			servers = append(servers, s.Server)
		}
	}
	if p.reach.probingAll = all; all {
		p.reach.probedAt = now
	}
	return servers
}

// OtherServers returns some servers in use but the one with a name, at most as many as
// given.
func (p *Placer) OtherServers(name string, most int) []registrar.Server {
	var servers []registrar.Server
	for _, s := range p.serversByName { // in random order
		if len(servers) < most && s.Name != name && p.isInUse(s) {
			servers = append(servers, s.Server)
		}
	}
	return servers
}

// RecordProbes records which servers could be reached. A server that can is used again. If
// none can, this instance is cut off.
func (p *Placer) RecordProbes(now time.Time, probes []Probe) {
	if len(probes) == 0 {
		return
	}
	for _, probe := range probes {
		if s, listed := p.serversByName[probe.Server.Name]; listed && s.StartedAtMillis == probe.Server.StartedAtMillis {
			s.recordProbe(now, probe.Reached)
		}
	}
	if slices.ContainsFunc(probes, func(probe Probe) bool { return probe.Reached }) {
		p.reach.failed, p.reach.cutOff = nil, false
		return
	}
	if p.reach.probingAll && len(probes) >= minFailedServers && !p.reach.cutOff {
		p.reach.cutOff = true
		p.clearFailures(now)
	}
}

// recordProbe records whether a server could be reached.
func (s *server) recordProbe(now time.Time, reached bool) {
	if !reached {
		s.probeInterval = min(max(2*s.probeInterval, minProbeInterval), maxProbeInterval)
		s.nextProbe = now.Add(s.probeInterval)
		if until := s.nextProbe.Add(probeGrace); until.After(s.ejectedUntil) {
			s.ejectedUntil, s.unreachable, s.loadChanged = until, true, true
		}
		return
	}
	s.nextProbe, s.probeInterval = time.Time{}, 0
	if s.unreachable {
		s.unreachable, s.loadChanged = false, true
		s.ejectedUntil, s.recentEjections, s.consecutiveFailures = now, 0, 0
	}
}

// clearFailures takes back what servers were blamed for.
func (p *Placer) clearFailures(now time.Time) {
	for _, s := range p.serversByName {
		if now.Before(s.ejectedUntil) {
			s.ejectedUntil = now
		}
		s.consecutiveFailures, s.failureRate, s.recentEjections = 0, 0, 0
		s.unreachable, s.loadChanged = false, true
	}
}

// reaches reports whether a request may be sent to servers of this region from here.
func (p *Placer) reaches(request Request) bool {
	return !p.reach.cutOff && (request.UnreachedServers < maxUnreachedServers || !p.handsOver(request))
}

// handsOver reports whether a request may be handed over to another instance of this region.
func (p *Placer) handsOver(request Request) bool {
	return p.reach.mayHandOver && !request.LocalOnly && !slices.Contains(request.TriedRegions, p.Region)
}
