package placer

import "time"

// Load is the work that one instance has at a server.
type Load struct {
	Running int32 `cbor:"r"`
	// Prefill is what is still to be read, in tokens.
	Prefill int64 `cbor:"p"`
	// Memory is what running requests hold, in tokens.
	Memory int64 `cbor:"m"`
	// Pace is the tokens a second that were sent to be read lately.
	Pace int64 `cbor:"c,omitempty"`
	// Ejected is how many instances have set the server aside for its failures.
	Ejected int32 `cbor:"e,omitempty"`
}

func (l *Load) add(other Load) {
	l.Running += other.Running
	l.Prefill += other.Prefill
	l.Memory += other.Memory
	l.Pace += other.Pace
	l.Ejected += other.Ejected
}

func (l *Load) subtract(other Load) {
	l.Running -= other.Running
	l.Prefill -= other.Prefill
	l.Memory -= other.Memory
	l.Pace -= other.Pace
	l.Ejected -= other.Ejected
}

// peer is another instance of this region, or a failure domain as a whole.
type peer struct {
	heard time.Time
	loads map[string]Load
	// near instances are of this failure domain.
	near bool
}

// load is what another instance has at a server. What other failure domains set
// aside may well be reached from here.
func (o peer) load(server string) Load {
	load := o.loads[server]
	if !o.near {
		load.Ejected = 0
	}
	return load
}

// peerFreshness is how long the loads of another instance count.
const peerFreshness = 2 * time.Second

// Loads returns what this instance has at each server.
func (p *Placer) Loads(now time.Time) map[string]Load {
	for _, s := range p.servers {
		s.changed = false
	}
	return p.ownLoads(now)
}

func (p *Placer) ownLoads(now time.Time) map[string]Load {
	loads := map[string]Load{}
	for name, s := range p.servers {
		if load := s.load(now); load.Running > 0 || load.Ejected > 0 {
			loads[name] = load
		}
	}
	return loads
}

// Changes returns what this instance has at the servers where that has changed
// since Loads was last called.
func (p *Placer) Changes(now time.Time) map[string]Load {
	changes := map[string]Load{}
	for name, s := range p.servers {
		if s.changed {
			changes[name] = s.load(now)
		}
	}
	return changes
}

// load is the own work at a server with the rate at which it comes.
func (s *server) load(now time.Time) Load {
	load := s.own
	load.Pace = int64(s.pace.rate(now))
	if now.Before(s.ejectedUntil) {
		load.Ejected = 1
	}
	return load
}

// NearLoads returns what all instances of this failure domain have at each
// server, as far as they were heard lately.
func (p *Placer) NearLoads(now time.Time) map[string]Load {
	loads := p.ownLoads(now)
	for _, other := range p.peers {
		if !other.near || now.Sub(other.heard) > peerFreshness {
			continue
		}
		for name, load := range other.loads {
			sum := loads[name]
			sum.add(load)
			loads[name] = sum
		}
	}
	return loads
}

// HearLoads takes in what another instance of this region has at each server, or
// all of another failure domain. Near tells that it is one of this domain.
func (p *Placer) HearLoads(now time.Time, name string, near bool, loads map[string]Load) {
	if p.peers == nil {
		p.peers = map[string]peer{}
	}
	if loads == nil {
		loads = map[string]Load{}
	}
	p.peers[name] = peer{heard: now, loads: loads, near: near}
	p.forgetPeers(now)
	p.sumOthers(now)
}

// HearChanges takes in what has changed of the loads of an instance of this
// region. Until all of its loads have been heard, changes say too little.
func (p *Placer) HearChanges(now time.Time, name string, changes map[string]Load) {
	known, heard := p.peers[name]
	if !heard {
		return
	}
	known.heard = now
	p.peers[name] = known
	for server, load := range changes {
		if s, exists := p.servers[server]; exists {
			s.others.subtract(known.load(server))
			known.loads[server] = load
			s.others.add(known.load(server))
		}
	}
}

// forgetPeers drops the instances that have not been heard lately.
func (p *Placer) forgetPeers(now time.Time) {
	for other, known := range p.peers {
		if now.Sub(known.heard) > peerFreshness {
			delete(p.peers, other)
		}
	}
}

// sumOthers adds up what the other instances have at each server.
func (p *Placer) sumOthers(now time.Time) {
	for name, s := range p.servers {
		s.others = Load{}
		for _, other := range p.peers {
			s.others.add(other.load(name))
		}
	}
	p.shun(now)
}
