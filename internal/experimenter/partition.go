package experimenter

import (
	"time"

	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Partition cuts a share of a region's entry instances off from all engines, from At for
// Duration. Callers and other instances still reach them.
type Partition struct {
	Region   string        `yaml:"region" validate:"required"`
	Share    float64       `yaml:"share" validate:"gt=0,lte=1"`
	At       time.Duration `yaml:"at" validate:"gte=0"`
	Duration time.Duration `yaml:"for" validate:"gt=0"`
	// Silent means that connections hang, instead of being refused.
	Silent bool `yaml:"silent"`
}

// PartitionResult counts the first attempts that were sent while a partition lasted, except
// for its beginning: to instances that were cut off, and to all others.
type PartitionResult struct {
	CutOff AttemptCount `json:"cut-off"`
	Others AttemptCount `json:"others"`
}

// AttemptCount counts first attempts.
type AttemptCount struct {
	Sent   int `json:"sent"`
	Served int `json:"served"`
}

const (
	// settlingTime is how long after the beginning of a partition first attempts are not
	// counted.
	settlingTime = 5 * time.Second
	// dialTimeout is how long a connection to an engine may take to open.
	dialTimeout = 350 * time.Millisecond
	// probeInterval is the time between two looks at which engines to probe.
	probeInterval = 250 * time.Millisecond
)

// reachability is a policy that finds out which engines its instance reaches.
type reachability interface {
	CutOff() bool
	SetHandover(available bool)
	ServersToProbe(now time.Time) []registrar.Server
	RecordProbes(now time.Time, probes []placer.Probe)
}

// schedulePartition schedules a partition and the counting of first attempts in it.
func (s *simulation) schedulePartition(p Partition) {
	for _, r := range s.regions {
		if r.Name != p.Region {
			continue
		}
		lost := r.entries[:int(p.Share*float64(len(r.entries)))]
		s.schedule(p.At, func() {
			for _, entry := range lost {
				entry.cutOff, entry.silent = true, p.Silent
			}
		})
		s.schedule(p.At+p.Duration, func() {
			for _, entry := range lost {
				entry.cutOff = false
			}
		})
	}
	s.schedule(p.At+settlingTime, func() { s.partitions++ })
	s.schedule(p.At+p.Duration, func() { s.partitions-- })
}

// countFirst counts a call by its first attempt if it was sent during a partition.
func (t *tally) countFirst(c *call) {
	if !c.partitioned {
		return
	}
	count := &t.partitions.Others
	if c.firstCutOff {
		count = &t.partitions.CutOff
	}
	count.Sent++
	if c.attempts == 1 && (c.outcome == outcomeInTime || c.outcome == outcomeLate) {
		count.Served++
	}
}

// connectDelay returns how long an instance that is cut off takes to see that a connection
// fails.
func (e *entryInstance) connectDelay(delay time.Duration) time.Duration {
	if e.cutOff && e.silent {
		return dialTimeout
	}
	return delay
}

// probe has an instance try connections to the engines that it asks for.
func (s *simulation) probe(entry *entryInstance) {
	policy, ok := entry.policy.(reachability)
	if !ok {
		return
	}
	s.schedule(probeInterval, func() { s.probe(entry) })
	var probes []placer.Probe
	delay := s.pattern.Network.BetweenDomains
	for _, server := range policy.ServersToProbe(s.now) {
		reached := !entry.cutOff && !s.enginesByName[server.Name].down
		probes = append(probes, placer.Probe{Server: server, Reached: reached})
		delay = max(delay, entry.connectDelay(delay))
	}
	if len(probes) > 0 {
		s.schedule(delay, func() { policy.RecordProbes(s.now, probes) })
	}
}

// tellReachability tells the instances of a region whether another one is not cut off.
func (s *simulation) tellReachability(r *region) {
	for _, entry := range r.entries {
		if policy, ok := entry.policy.(reachability); ok {
			policy.SetHandover(len(r.handoverTargets(entry)) > 0)
		}
	}
	s.schedule(2*beaconInterval, func() { s.tellReachability(r) })
}

// handOver hands an attempt over to another instance of the same region.
func (s *simulation) handOver(at *attempt, from *entryInstance) {
	targets := from.region.handoverTargets(from)
	s.schedule(s.pattern.Network.BetweenDomains, func() {
		if len(targets) == 0 {
			at.relayed, at.triedRegions = false, append(at.triedRegions, from.region.Name)
			s.place(at, from)
			return
		}
		s.place(at, targets[s.random.IntN(len(targets))])
	})
}

// handoverTargets returns the instances that an instance can hand requests over to.
func (r *region) handoverTargets(of *entryInstance) []*entryInstance {
	var targets []*entryInstance
	for _, other := range r.entries {
		if policy, ok := other.policy.(reachability); ok && other != of && !policy.CutOff() {
			targets = append(targets, other)
		}
	}
	return targets
}
