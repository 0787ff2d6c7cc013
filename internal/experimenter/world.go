// Package experimenter plays a load against a model of the fleet in virtual
// time: entry instances with a policy each, emulated engines, callers that come
// back when they are told to, and what the instances tell each other, as late as
// the network brings it. Policies are compared on the same requests.
package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/emulator"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// epoch is when a played day begins; the policies know no zero time.
var epoch = time.Unix(1_000_000_000, 0)

// world is one play of a pattern under one policy.
type world struct {
	pattern Pattern
	random  *rand.Rand
	now     time.Time
	queue   queue
	number  uint64
	regions []*region
	engines map[string]*engine
	service *definer.Service
	view    *definer.View
	tally   *tally
	running map[uint64]*attempt
}

// region is one region of a world.
type region struct {
	Region
	index   int
	gates   []*gate
	engines []*engine
}

// engine is an emulated engine with its place.
type engine struct {
	*emulator.Engine
	server registrar.Server
	wakes  time.Time
	down   bool
	// streams are the answers that it works on.
	streams map[uint64]*stream
}

// gate is an entry instance.
type gate struct {
	policy Policy
	region *region
	seat
}

// event is something that happens at a time.
type event struct {
	at     time.Time
	number uint64
	do     func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].number < q[j].number
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after lets something happen later.
func (w *world) after(wait time.Duration, do func()) {
	w.number++
	heap.Push(&w.queue, event{at: w.now.Add(wait), number: w.number, do: do})
}

// newWorld sets up a play.
func newWorld(pattern Pattern, policy string, seed uint64) (*world, error) {
	w := &world{
		pattern: pattern, now: epoch, engines: map[string]*engine{}, running: map[uint64]*attempt{},
		random: rand.New(rand.NewPCG(seed, xxhash.Sum64String("world"))),
		service: &definer.Service{Name: "engines", Engine: &definer.Engine{
			Slots: pattern.Engine.Slots, Memory: pattern.Engine.Memory,
			EventTokens: int(pattern.Engine.EventTokens), Moves: pattern.Engine.CopyRate > 0,
		}},
		tally: newTally(pattern),
	}
	var d definer.Definition
	d.Services = append(d.Services, *w.service)
	w.view = definer.NewView(d)
	known := map[uint64]bool{}
	for index, r := range pattern.Regions {
		next := &region{Region: r, index: index}
		w.regions = append(w.regions, next)
		w.addEngines(next, known)
		if err := w.addGates(next, policy); err != nil {
			return nil, err
		}
	}
	w.plan()
	return w, nil
}

func (w *world) addEngines(r *region, known map[uint64]bool) {
	for i := range r.Engines {
		e := &engine{Engine: emulator.New(w.pattern.Engine), server: registrar.Server{
			Name: fmt.Sprintf("engine-%s-%d", r.Name, i), Service: w.service.Name, FailureDomain: domainOf(r.Region, i),
			Slots: w.pattern.Engine.Slots, Born: 1, Counter: 1,
		}}
		e.Known = known
		r.engines = append(r.engines, e)
		w.engines[e.server.Name] = e
	}
}

func domainOf(r Region, number int) string {
	return fmt.Sprintf("%s-%d", r.Name, number%r.Domains)
}

func (w *world) addGates(r *region, policy string) error {
	for i := range r.Instances {
		at := seat{
			name: fmt.Sprintf("entry-%s-%d", r.Name, i), region: r.Name, domain: domainOf(r.Region, i),
			crowd: r.Instances, number: i,
		}
		p, err := newPolicy(policy, at)
		if err != nil {
			return err
		}
		r.gates = append(r.gates, &gate{policy: p, region: r, seat: at})
	}
	w.learn(r)
	return nil
}

// learn tells the gates of a region which engines there are.
func (w *world) learn(r *region) {
	var servers []registrar.Server
	for _, e := range r.engines {
		said := e.server
		if e.down {
			said.State = registrar.StateGone
		}
		servers = append(servers, said)
	}
	for _, g := range r.gates {
		g.policy.Learn(w.now, w.view, servers)
	}
}

// plan schedules what happens by itself.
func (w *world) plan() {
	for _, r := range w.regions {
		for _, g := range r.gates {
			w.after(time.Duration(w.random.Int64N(int64(beaconInterval))), func() { w.beacon(g, 0) })
		}
	}
	for _, outage := range w.pattern.Outages {
		w.after(outage.At, func() { w.outage(outage) })
	}
}

// run plays until all callers have their answers.
func (w *world) run() {
	end := epoch.Add(w.pattern.Duration)
	for w.queue.Len() > 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		if w.now.After(end) && len(w.running) == 0 {
			return
		}
		next.do()
	}
}

// play plays a pattern under a policy.
func play(pattern Pattern, policy string, seed uint64) (Result, error) {
	w, err := newWorld(pattern, policy, seed)
	if err != nil {
		return Result{}, err
	}
	all := newDrawer(pattern, seed).arrivals()
	w.tally.measure(all)
	for _, a := range all {
		w.after(a.at, func() { w.arrive(a) })
	}
	w.run()
	return w.tally.result(policy, seed, w), nil
}

// outage takes engines away: their requests are lost, and the gates learn of it
// when the engines have been silent.
func (w *world) outage(o Outage) {
	for _, r := range w.regions {
		if r.Name != o.Region {
			continue
		}
		lost := r.engines[:int(o.Share*float64(len(r.engines)))]
		for _, e := range lost {
			e.down = true
			w.dropAll(e)
		}
		w.after(registrar.Silence, func() { w.learn(r) })
		w.after(o.For, func() {
			for _, e := range lost {
				e.down = false
				e.server.Born++
				known := e.Known
				e.Engine = emulator.New(w.pattern.Engine)
				e.Known = known
			}
			w.learn(r)
		})
	}
}

// Times of beacons, as the instances send them.
const (
	beaconInterval = 50 * time.Millisecond
	// In a crowd, every eighth beacon goes to the other domains of the region and
	// every sixteenth to other regions; elsewhere every one to the region and every
	// eighth to others.
	speechEvery, farSpeechEvery = 8, 16
	farEvery                    = 8
	manyInstances               = 12
)

// beacon sends what a gate tells others.
func (w *world) beacon(g *gate, sequence int) {
	w.after(beaconInterval, func() { w.beacon(g, sequence+1) })
	speaks := true
	for _, other := range g.region.gates {
		if other.domain == g.domain && other.number < g.number {
			speaks = false
		}
	}
	crowd := w.instances() >= manyInstances
	w.tellRegion(g, sequence, crowd, speaks)
	every := farEvery
	if crowd {
		every = farSpeechEvery
	}
	if sequence%every != 0 || crowd && !speaks {
		return
	}
	summaries := g.policy.Summaries(w.now)
	for _, r := range w.regions {
		if r == g.region {
			continue
		}
		for _, other := range r.gates {
			w.after(w.pattern.Network.Region, func() { other.policy.HearRegion(w.now, g.region.Name, summaries) })
		}
	}
}

func (w *world) instances() int {
	total := 0
	for _, r := range w.regions {
		total += len(r.gates)
	}
	return total
}

// tellRegion sends loads to the other gates of the region.
func (w *world) tellRegion(g *gate, sequence int, crowd, speaks bool) {
	loads, readings := g.policy.Loads(w.now), g.policy.Readings(w.now, 2*beaconInterval, false)
	var all map[string]placer.Load
	var allReadings []placer.Reading
	if crowd && speaks && sequence%speechEvery == 0 {
		all, allReadings = g.policy.NearLoads(w.now), g.policy.Readings(w.now, 2*speechEvery*beaconInterval, true)
	}
	for _, other := range g.region.gates {
		switch {
		case other == g:
		case !crowd || other.domain == g.domain:
			w.after(w.pattern.Network.Near, func() {
				near := other.domain == g.domain
				other.policy.HearLoads(w.now, g.name, near, loads)
				other.policy.HearReadings(w.now, near, readings)
			})
		case all != nil:
			w.after(w.pattern.Network.Domain, func() {
				other.policy.HearLoads(w.now, "domain/"+g.domain, false, all)
				other.policy.HearReadings(w.now, false, allReadings)
			})
		}
	}
}
