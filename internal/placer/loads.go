package placer

import (
	"maps"
	"time"
)

// Load is the work that one instance, or several together, have placed on a server.
type Load struct {
	Running int32 `cbor:"r"`
	// PrefillTokens is how many tokens are still to be prefilled.
	PrefillTokens int64 `cbor:"p"`
	// MemoryTokens is how much engine memory running requests hold, in tokens.
	MemoryTokens int64 `cbor:"m"`
	// PrefillRate is the recent rate of tokens sent to be prefilled, per second.
	PrefillRate int64 `cbor:"c,omitempty"`
	// EjectedBy is how many instances have ejected the server for its failures.
	EjectedBy int32 `cbor:"e,omitempty"`
	// Slowdown is the newest slowdown that the server has reported to the instances, in
	// percent, and SlowdownAge its age in milliseconds. Both are 0 if none is known that is
	// recent. They are not part of sums.
	Slowdown    int32 `cbor:"s,omitempty"`
	SlowdownAge int32 `cbor:"a,omitempty"`
}

func (l *Load) add(other Load) {
	l.Running += other.Running
	l.PrefillTokens += other.PrefillTokens
	l.MemoryTokens += other.MemoryTokens
	l.PrefillRate += other.PrefillRate
	l.EjectedBy += other.EjectedBy
}

func (l *Load) subtract(other Load) {
	l.Running -= other.Running
	l.PrefillTokens -= other.PrefillTokens
	l.MemoryTokens -= other.MemoryTokens
	l.PrefillRate -= other.PrefillRate
	l.EjectedBy -= other.EjectedBy
}

// Without returns the load less a part of it. Nothing falls below 0: the part may be newer
// than the whole.
func (l Load) Without(part Load) Load {
	l.subtract(part)
	return Load{
		Running: max(l.Running, 0), PrefillTokens: max(l.PrefillTokens, 0), MemoryTokens: max(l.MemoryTokens, 0),
		PrefillRate: max(l.PrefillRate, 0), EjectedBy: max(l.EjectedBy, 0),
	}
}

// peer is another instance of this region, or another failure domain as a whole.
type peer struct {
	lastHeard time.Time
	loads     map[string]Load
	// sameDomain means that the peer is an instance of this failure domain, or all others
	// of it together.
	sameDomain bool
}

// loadAt returns the load that a peer has placed on a server, without the slowdown. The
// ejections of other failure domains are left out: a server that they have ejected may
// well be reachable from this one.
func (o peer) loadAt(server string) Load {
	load := o.loads[server].WithoutSlowdown()
	if !o.sameDomain {
		load.EjectedBy = 0
	}
	return load
}

// peerLoadTTL is how long the loads of a peer are kept after it was last heard.
const peerLoadTTL = 2 * time.Second

// FullLoads returns the load of this instance on every server where it has
// running requests, that it has ejected, or that has lately reported a slowdown to it,
// by server name. ChangedLoads reports
// relative to the last call.
func (p *Placer) FullLoads(now time.Time) map[string]Load {
	for _, s := range p.serversByName {
		s.loadChanged = false
	}
	return p.OwnLoads(now)
}

// OwnLoads returns what FullLoads does without marking it as reported.
func (p *Placer) OwnLoads(now time.Time) map[string]Load {
	loads := map[string]Load{}
	for name, s := range p.serversByName {
		if load := s.reportedLoad(now); load.Running > 0 || load.EjectedBy > 0 || load.Slowdown > 0 {
			loads[name] = load
		}
	}
	return loads
}

// ChangedLoads returns the load of this instance on every server where it has
// changed since the last call of FullLoads, by server name. Every call until the
// next one of FullLoads reports them again.
func (p *Placer) ChangedLoads(now time.Time) map[string]Load {
	changes := map[string]Load{}
	for name, s := range p.serversByName {
		if s.loadChanged {
			changes[name] = s.reportedLoad(now)
		}
	}
	return changes
}

// reportedLoad returns this instance's load on a server as other instances are
// told of it, with the current rate and whether the server is ejected.
func (s *server) reportedLoad(now time.Time) Load {
	load := s.ownLoad
	load.PrefillRate = int64(s.prefillRate.rate(now))
	if now.Before(s.ejectedUntil) {
		load.EjectedBy = 1
	}
	load.Slowdown, load.SlowdownAge = s.slowdowns.own.encode(now)
	return load
}

// DomainLoads returns the summed loads of all instances of this failure domain that
// were heard recently, by server name, with the newest slowdown that any was told.
func (p *Placer) DomainLoads(now time.Time) map[string]Load {
	loads := p.OwnLoads(now)
	for _, other := range p.peersByName {
		if !other.sameDomain || now.Sub(other.lastHeard) > peerLoadTTL {
			continue
		}
		for name, load := range other.loads {
			sum := loads[name]
			sum.add(load)
			loads[name] = sum
		}
	}
	p.addDomainSlowdowns(now, loads)
	return loads
}

// SetPeerLoads replaces the loads, by server name, of another instance of this
// region, or of another failure domain as a whole. sameDomain reports whether it
// is an instance of this failure domain. The Placer keeps the map, and
// ApplyPeerChanges modifies it.
func (p *Placer) SetPeerLoads(now time.Time, name string, sameDomain bool, loads map[string]Load) {
	if p.peersByName == nil {
		p.peersByName = map[string]peer{}
	}
	if loads == nil {
		loads = map[string]Load{}
	}
	if sameDomain {
		delete(p.peersByName, collectedPeer)
		p.RecordNeighbour(now, name)
	}
	p.peersByName[name] = peer{lastHeard: now, loads: loads, sameDomain: sameDomain}
	p.RecordSlowdowns(now, sameDomain, loads)
	p.dropStalePeers(now)
	p.sumPeerLoads(now)
}

// SetCollectedLoads replaces the loads, by server name, of all other instances of this
// failure domain together. They take the place of what SetPeerLoads was given for single
// instances of it, and the other way round. The Placer keeps the map.
func (p *Placer) SetCollectedLoads(now time.Time, loads map[string]Load) {
	maps.DeleteFunc(p.peersByName, func(_ string, other peer) bool { return other.sameDomain })
	if p.peersByName == nil {
		p.peersByName = map[string]peer{}
	}
	p.peersByName[collectedPeer] = peer{lastHeard: now, loads: loads, sameDomain: true}
	p.dropStalePeers(now)
	p.sumPeerLoads(now)
}

// collectedPeer is the key of the collected loads. No instance has it as its name.
const collectedPeer = ""

// RecordNeighbour records that another instance of this failure domain is live. One
// that has not been recorded for 2 s no longer counts.
func (p *Placer) RecordNeighbour(now time.Time, name string) {
	if p.neighbours == nil {
		p.neighbours = map[string]time.Time{}
	}
	p.neighbours[name] = now
}

// ApplyPeerChanges applies the changed loads of another instance of this region.
// They are ignored until SetPeerLoads has been called for that instance, since
// changes alone are incomplete, and for servers that are not known here.
func (p *Placer) ApplyPeerChanges(now time.Time, name string, changes map[string]Load) {
	sender, known := p.peersByName[name]
	if !known {
		return
	}
	sender.lastHeard = now
	p.peersByName[name] = sender
	if sender.sameDomain {
		p.RecordNeighbour(now, name)
	}
	p.RecordSlowdowns(now, sender.sameDomain, changes)
	for server, load := range changes {
		if s, exists := p.serversByName[server]; exists {
			s.peerLoad.subtract(sender.loadAt(server))
			sender.loads[server] = load
			s.peerLoad.add(sender.loadAt(server))
		}
	}
}

// dropStalePeers removes the peers and neighbours that have not been heard recently.
func (p *Placer) dropStalePeers(now time.Time) {
	maps.DeleteFunc(p.neighbours, func(_ string, heard time.Time) bool { return now.Sub(heard) > peerLoadTTL })
	for name, other := range p.peersByName {
		if now.Sub(other.lastHeard) > peerLoadTTL {
			delete(p.peersByName, name)
		}
	}
}

// sumPeerLoads adds up the loads of all peers on each server and applies their
// ejections. It takes time for each load that was reported, and not for each pair of a
// peer and a server: an instance of a large fleet has work at few servers.
func (p *Placer) sumPeerLoads(now time.Time) {
	for _, s := range p.serversByName {
		s.peerLoad = Load{}
	}
	for _, other := range p.peersByName {
		for name := range other.loads {
			if s, known := p.serversByName[name]; known {
				s.peerLoad.add(other.loadAt(name))
			}
		}
	}
	p.applyPeerEjections(now)
}
