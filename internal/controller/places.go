package controller

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/replicator"
)

// Times of places.
const (
	// instanceSilence is how long an entry instance may be unheard and still be
	// named to callers: several of its beacons may be lost. Those of other regions
	// send theirs less often.
	instanceSilence    = 1500 * time.Millisecond
	farInstanceSilence = 3500 * time.Millisecond
	// controlMemory is how long a control instance that was heard is asked.
	controlMemory = 20 * time.Second
)

// places are the processes of the fleet as this instance hears them.
type places struct {
	seeds     []netip.AddrPort
	instances map[string]heardInstance
	controls  map[string]time.Time
	revision  uint64
	// told is the revision that those who wait were last woken for.
	told uint64
	// taken is the revision of the servers that each entry instance has.
	taken map[string]uint64
	// allowed are the bound routes that each region may serve, counted in a
	// version of the definition.
	counted definer.Version
	allowed map[string]int
}

type heardInstance struct {
	beaconer.Instance
	state beaconer.State
	heard time.Time
}

// hear takes in a beacon. It reports whether anything of the instance changed.
func (p *places) hear(now time.Time, beacon beaconer.Beacon) bool {
	if p.instances == nil {
		p.instances = map[string]heardInstance{}
	}
	known, exists := p.instances[beacon.Name]
	p.instances[beacon.Name] = heardInstance{Instance: beacon.Instance, state: beacon.State, heard: now}
	if !exists || known.Instance != beacon.Instance {
		p.revision++
		return true
	}
	return known.state != beacon.State
}

// expire drops silent instances.
func (p *places) expire(now time.Time, region string) {
	before := len(p.instances)
	maps.DeleteFunc(p.instances, func(_ string, i heardInstance) bool {
		if i.Region != region {
			return now.Sub(i.heard) > farInstanceSilence
		}
		return now.Sub(i.heard) > instanceSilence
	})
	maps.DeleteFunc(p.controls, func(_ string, heard time.Time) bool { return now.Sub(heard) > controlMemory })
	if len(p.instances) != before {
		p.revision++
	}
}

// learn notes control instances that were heard. It reports whether any is new.
func (p *places) learn(now time.Time, controls []string) bool {
	if p.controls == nil {
		p.controls = map[string]time.Time{}
	}
	added := false
	for _, address := range controls {
		if _, known := p.controls[address]; !known {
			added = true
			p.revision++
		}
		p.controls[address] = now
	}
	return added
}

// controls returns the peer addresses of the control instances known here, this
// one first.
func (c *Controller) controls() []string {
	addresses := []string{c.settings.PeerAddress.String()}
	add := func(address string) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, member := range c.group.Status().Members {
		add(member.Name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seed := range c.places.seeds {
		add(seed.String())
	}
	for _, address := range slices.Sorted(maps.Keys(c.places.controls)) {
		add(address)
	}
	return addresses
}

// Hear takes in an entry instance's beacon.
func (c *Controller) Hear(now time.Time, beacon beaconer.Beacon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places.hear(now, beacon) {
		// Entry instances hear of it with the next spread: many start at once.
		klog.InfoS("entry instance changed", "instance", beacon.Name, "state", beacon.State, "callers", beacon.Callers.String())
	}
}

// mostNamed bounds the entry instances that one caller is told.
const mostNamed = 64

// Resolve returns the callers' addresses of the entry instances that a caller
// in a failure domain and region should use: the nearest that are ready. Where
// the caller's region has none, it is led to the region that most of the bound
// routes allow, or, when none does, to instances of its own region that stop:
// they take what they can still finish.
func (c *Controller) Resolve(failureDomain, region string) []netip.AddrPort {
	allowed := c.allowed()
	c.mu.Lock()
	defer c.mu.Unlock()
	var best rank
	var named []heardInstance
	for _, instance := range c.places.instances {
		at, usable := c.rankOf(instance, failureDomain, region, allowed)
		if !usable {
			continue
		}
		switch order := at.compare(best); {
		case order > 0 || len(named) == 0:
			best, named = at, []heardInstance{instance}
		case order == 0:
			named = append(named, instance)
		}
	}
	slices.SortFunc(named, func(a, b heardInstance) int { return cmp.Compare(a.Name, b.Name) })
	var addresses []netip.AddrPort
	for _, instance := range named[:min(len(named), mostNamed)] {
		addresses = append(addresses, instance.Callers)
	}
	return addresses
}

// rankOf orders an entry instance among those that a caller may be told.
func (c *Controller) rankOf(instance heardInstance, failureDomain, region string, allowed map[string]int) (rank, bool) {
	near := nearness(instance, failureDomain, region)
	switch {
	case instance.state == beaconer.StateReady && near > 0:
		return rank{near: nearReady + near}, true
	case instance.state == beaconer.StateReady && allowed[instance.Region] > 0:
		return rank{near: farAllowed, allowed: allowed[instance.Region]}, true
	case instance.state == beaconer.StateStopping && near > 0:
		return rank{near: nearStopping}, true
	case instance.state == beaconer.StateReady:
		return rank{near: farOther}, true
	}
	return rank{}, false
}

// The order of what callers are told.
const (
	farOther = iota
	nearStopping
	farAllowed
	nearReady
)

// rank orders entry instances for one caller; higher is better.
type rank struct {
	near    int
	allowed int
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.near, other.near), cmp.Compare(r.allowed, other.allowed))
}

// allowed counts for each region the bound routes that it may serve.
func (c *Controller) allowed() map[string]int {
	state := c.machine.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places.counted == state.Version {
		return c.places.allowed
	}
	counts := map[string]int{}
	definition, err := c.decode(state.Document)
	if err != nil {
		klog.ErrorS(err, "accepted definition not understood", "version", state.Version)
	}
	for _, route := range definition.Routes {
		for _, home := range route.Homes {
			counts[home]++
		}
	}
	c.places.counted, c.places.allowed = state.Version, counts
	return counts
}

func nearness(instance heardInstance, failureDomain, region string) int {
	switch {
	case instance.FailureDomain == failureDomain:
		return 2
	case instance.Region == region:
		return 1
	}
	return 0
}

// MethodWatch is the call by which entry instances follow a control instance.
const MethodWatch = "state-watch"

// watchHold is how long a watch waits for news before it is answered empty.
const watchHold = time.Second

// longestHold bounds how much longer an asker may let a watch wait.
const longestHold = 10 * time.Second

// WatchQuery asks for what an entry instance lacks.
type WatchQuery struct {
	// Epoch is the start of the process that Servers and Places come from.
	Epoch   int64            `cbor:"e"`
	Index   replicator.Index `cbor:"i"`
	Version uint64           `cbor:"v"`
	Servers uint64           `cbor:"s"`
	Places  uint64           `cbor:"p"`
	Region  string           `cbor:"r"`
	// Name is the asker's.
	Name string `cbor:"n"`
	// Hold is how much longer than usual the answer may wait for news.
	Hold time.Duration `cbor:"h,omitempty"`
	// Brief leaves the state out of the answer: its index is enough.
	Brief bool `cbor:"b,omitempty"`
}

// News answers a watch.
type News struct {
	Epoch int64 `cbor:"e"`
	// Region is where the answering process runs, and Index where its log last
	// changed the state.
	Region string           `cbor:"g"`
	Index  replicator.Index `cbor:"x"`
	// State is set if it is newer than the asker's; its document is left out
	// if the asker has that version.
	State *State `cbor:"t,omitempty"`
	// Servers are those of the asker's region that have changed.
	Servers         []registrar.Server `cbor:"s,omitempty"`
	ServersRevision uint64             `cbor:"u"`
	// Instances and Controls are whole lists, set if they have changed.
	Instances      []beaconer.Instance `cbor:"n,omitempty"`
	Controls       []string            `cbor:"c,omitempty"`
	PlacesRevision uint64              `cbor:"q"`
}

func (c *Controller) serveWatch(ctx context.Context, _ certifier.Identity, query WatchQuery) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, watchHold+min(query.Hold, longestHold))
	defer cancel()
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		news, fresh := c.news(query)
		if fresh {
			return news, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return news, nil
		}
	}
}

// news returns what an asker lacks, and whether that is anything.
func (c *Controller) news(query WatchQuery) (News, bool) {
	controls := c.controls()
	state := c.machine.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	if query.Epoch != c.epoch {
		query.Servers, query.Places = 0, 0
	}
	if c.places.taken == nil {
		c.places.taken = map[string]uint64{}
	}
	c.places.taken[query.Name] = query.Servers
	news := News{Epoch: c.epoch, Region: c.settings.Region, Index: state.Index, ServersRevision: c.servers.Revision(), PlacesRevision: c.places.revision + 1}
	fresh := query.Epoch != c.epoch
	if state.Index > query.Index {
		if uint64(state.Version) == query.Version {
			state.Document = nil
		}
		if !query.Brief {
			news.State = &state
		}
		fresh = true
	}
	if query.Servers < news.ServersRevision {
		// A change elsewhere is no news for the asker.
		news.Servers = slices.DeleteFunc(c.servers.Since(time.Now(), query.Servers), func(s registrar.Server) bool {
			return c.settings.FailureDomains[s.FailureDomain] != query.Region
		})
		fresh = fresh || len(news.Servers) > 0
	}
	if query.Places < news.PlacesRevision {
		news.Controls = controls
		for _, instance := range c.places.instances {
			news.Instances = append(news.Instances, instance.Instance)
		}
		fresh = true
	}
	return news, fresh
}
