// Package experimenter simulates a load on a model of the fleet in virtual time:
// entry instances with one policy each, emulated engines, callers that retry after
// refusals, and the beacons between instances with the network's delays. All
// policies are compared on the same requests.
package experimenter

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/emulator"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// epoch is the start of simulated time. It is not the zero time, which means
// "unset" to the policies.
var epoch = time.Unix(1_000_000_000, 0)

// simulation is one run of a pattern under one policy. It is used by one goroutine.
type simulation struct {
	pattern         Pattern
	seed            uint64
	random          *rand.Rand
	now             time.Time
	events          eventQueue
	lastID          uint64
	regions         []*region
	enginesByName   map[string]*engine
	service         *definer.Service
	view            *definer.View
	tally           *tally
	runningAttempts map[uint64]*attempt
	// partitions is the number of partitions in which first attempts are counted now.
	partitions int
}

// region is one region of a simulation with its entry instances and engines.
type region struct {
	Region
	index   int
	entries []*entryInstance
	engines []*engine
}

// engine is an emulated engine as a backend server. nextStep is when its next
// scheduled wake-up is due, zero if there is none; down is set during an outage.
type engine struct {
	*emulator.Engine
	server   registrar.Server
	nextStep time.Time
	down     bool
	// streams holds the response streams by placement ID.
	streams map[uint64]*stream
}

// entryInstance is an entry instance with its policy.
type entryInstance struct {
	policy  Policy
	region  *region
	waiting waitingRoom
	// cutOff means that it reaches no engine, and silent that connections then hang.
	cutOff, silent bool
	location
}

// event is a function to run at a simulated time. Events of the same time run in
// the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule runs a function after a delay in simulated time.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.lastID++
	heap.Push(&s.events, event{at: s.now.Add(delay), sequence: s.lastID, run: run})
}

// newSimulation returns a simulation of a pattern before its first event.
func newSimulation(pattern Pattern, policy string, seed uint64) (*simulation, error) {
	s := &simulation{
		pattern: pattern, seed: seed, now: epoch, enginesByName: map[string]*engine{}, runningAttempts: map[uint64]*attempt{},
		random: rand.New(rand.NewPCG(seed, xxhash.Sum64String("world"))),
		service: &definer.Service{Name: "engines", Engine: &definer.Engine{
			Slots: pattern.Engine.Slots, Memory: pattern.Engine.Memory,
			EventTokens: int(pattern.Engine.TokensPerEvent), Moves: pattern.Engine.CopyRate > 0,
		}},
		tally: newTally(pattern),
	}
	var d definer.Definition
	d.Services = append(d.Services, *s.service)
	s.view = definer.NewView(d)
	prefilledBefore := map[uint64]bool{}
	for index, r := range pattern.Regions {
		next := &region{Region: r, index: index}
		s.regions = append(s.regions, next)
		s.addEngines(next, prefilledBefore)
		if err := s.addEntries(next, policy); err != nil {
			return nil, err
		}
	}
	s.scheduleBeaconsAndOutages()
	return s, nil
}

func (s *simulation) addEngines(r *region, prefilledBefore map[uint64]bool) {
	for i := range r.Engines {
		e := &engine{Engine: emulator.New(s.pattern.Engine), server: registrar.Server{
			Name: engineName(r.Region, i), Service: s.service.Name, FailureDomain: domainOf(r.Region, i),
			Slots: s.pattern.Engine.Slots, StartedAtMillis: 1, Counter: 1,
		}}
		e.PrefilledBefore = prefilledBefore
		r.engines = append(r.engines, e)
		s.enginesByName[e.server.Name] = e
	}
}

func domainOf(r Region, number int) string {
	return fmt.Sprintf("%s-%d", r.Name, number%r.FailureDomains)
}

func (s *simulation) addEntries(r *region, policy string) error {
	for i := range r.Instances {
		loc := location{
			name: fmt.Sprintf("entry-%s-%d", r.Name, i), region: r.Name, domain: domainOf(r.Region, i),
			regionInstances: r.Instances, index: i,
		}
		p, err := newPolicy(policy, loc)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, &entryInstance{policy: p, region: r, location: loc})
	}
	s.updateServers(r)
	return nil
}

// updateServers passes the state of a region's engines to the policies of its entry
// instances.
func (s *simulation) updateServers(r *region) {
	var servers []registrar.Server
	for _, e := range r.engines {
		announced := e.server
		if e.down {
			announced.State = registrar.StateGone
		}
		servers = append(servers, announced)
	}
	for _, entry := range r.entries {
		entry.policy.SetServers(s.now, s.view, servers)
	}
}

// scheduleBeaconsAndOutages schedules all events that no request causes. The first
// beacons are spread over one interval at random.
func (s *simulation) scheduleBeaconsAndOutages() {
	for _, r := range s.regions {
		for _, entry := range r.entries {
			s.schedule(time.Duration(s.random.Int64N(int64(beaconInterval))), func() { s.sendBeacon(entry, 0) })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.enginesByName)) {
		s.updateSlowdown(s.enginesByName[name])
	}
	for _, r := range s.regions {
		for _, entry := range r.entries {
			s.probe(entry)
		}
		s.tellReachability(r)
	}
	for _, partition := range s.pattern.Partitions {
		s.schedulePartition(partition)
	}
	for _, outage := range s.pattern.Outages {
		s.schedule(outage.At, func() { s.startOutage(outage) })
	}
}

// run processes events until the pattern's duration is over and all calls have
// ended.
func (s *simulation) run() {
	end := epoch.Add(s.pattern.Duration)
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		if s.now.After(end) && len(s.runningAttempts) == 0 {
			return
		}
		next.run()
	}
}

// simulate runs a pattern under a policy. The seed determines the result.
func simulate(pattern Pattern, policy string, seed uint64) (Result, error) {
	s, err := newSimulation(pattern, policy, seed)
	if err != nil {
		return Result{}, err
	}
	all := newGenerator(pattern, seed).arrivals()
	s.tally.setSizeBounds(all)
	for _, a := range all {
		s.schedule(a.at, func() { s.startCall(a) })
	}
	s.run()
	return s.tally.result(policy, seed, s), nil
}

// startOutage takes engines down: their requests fail at once, and the entry
// instances learn of it only after the time that makes a server count as silent.
// At the end of the outage the engines restart with empty caches.
func (s *simulation) startOutage(o Outage) {
	for _, r := range s.regions {
		if r.Name != o.Region {
			continue
		}
		lost := r.engines[:int(o.Share*float64(len(r.engines)))]
		for _, e := range lost {
			e.down = true
			s.failStreams(e)
		}
		s.schedule(registrar.SilenceTimeout, func() { s.updateServers(r) })
		s.schedule(o.Duration, func() {
			for _, e := range lost {
				e.down = false
				e.server.StartedAtMillis++
				prefilledBefore, slowdown := e.PrefilledBefore, e.Slowdown
				e.Engine = emulator.New(s.pattern.Engine)
				e.PrefilledBefore, e.Slowdown = prefilledBefore, slowdown
			}
			s.updateServers(r)
		})
	}
}

// Intervals of beacons; they are those of real instances.
const (
	beaconInterval = 50 * time.Millisecond
	// In a fleet of largeFleet instances or more, the representative of a failure
	// domain sends every eighth beacon to the other domains of its region and every
	// sixteenth to other regions. In smaller fleets each instance sends every beacon
	// to its whole region and every eighth to other regions.
	domainBeaconEvery, regionBeaconEvery = 8, 16
	smallFleetRegionBeaconEvery          = 8
	largeFleet                           = 12
)

// sendBeacon sends the state of an entry instance to the instances that are due
// for it, and schedules the next beacon. The instance with the lowest index
// represents its failure domain.
func (s *simulation) sendBeacon(entry *entryInstance, sequence int) {
	s.schedule(beaconInterval, func() { s.sendBeacon(entry, sequence+1) })
	representative := true
	for _, other := range entry.region.entries {
		if other.domain == entry.domain && other.index < entry.index {
			representative = false
		}
	}
	large := s.entryCount() >= largeFleet
	s.sendRegionLoads(entry, sequence, large, representative)
	every := smallFleetRegionBeaconEvery
	if large {
		every = regionBeaconEvery
	}
	if sequence%every != 0 || large && !representative {
		return
	}
	summaries := entry.policy.Summaries(s.now)
	for _, r := range s.regions {
		if r == entry.region {
			continue
		}
		for _, other := range r.entries {
			s.schedule(s.pattern.Network.BetweenRegions, func() { other.policy.SetRegionServices(s.now, entry.region.Name, summaries) })
		}
	}
}

func (s *simulation) entryCount() int {
	total := 0
	for _, r := range s.regions {
		total += len(r.entries)
	}
	return total
}

// sendRegionLoads sends loads and cache fills to other instances of the region:
// those of the instance itself within its failure domain (in a small fleet, within
// the region), and those of the whole domain to other domains.
func (s *simulation) sendRegionLoads(entry *entryInstance, sequence int, large, representative bool) {
	loads, fills := entry.policy.FullLoads(s.now), entry.policy.CacheFills(s.now, 2*beaconInterval, false)
	var domainLoads map[string]placer.Load
	var domainFills []placer.CacheFill
	if large && representative && sequence%domainBeaconEvery == 0 {
		domainLoads, domainFills = entry.policy.DomainLoads(s.now), entry.policy.CacheFills(s.now, 2*domainBeaconEvery*beaconInterval, true)
	}
	for _, other := range entry.region.entries {
		switch {
		case other == entry:
		case !large || other.domain == entry.domain:
			s.schedule(s.pattern.Network.WithinDomain, func() {
				near := other.domain == entry.domain
				other.policy.SetPeerLoads(s.now, entry.name, near, loads)
				other.policy.AddCacheFills(s.now, near, fills)
			})
		case domainLoads != nil:
			s.schedule(s.pattern.Network.BetweenDomains, func() {
				other.policy.SetPeerLoads(s.now, "domain/"+entry.domain, false, domainLoads)
				other.policy.AddCacheFills(s.now, false, domainFills)
			})
		}
	}
}
