package experimenter

import (
	"errors"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Policy places requests in one entry instance. Its methods are those of
// placer.Placer, which implements it.
type Policy interface {
	SetServers(now time.Time, view *definer.View, servers []registrar.Server)
	Place(now time.Time, request placer.Request) placer.Decision
	RecordFirstEvent(now time.Time, id uint64)
	RecordNotice(now time.Time, id uint64, said placer.Notice)
	RecordOutput(now time.Time, id uint64, events int)
	Finish(now time.Time, id uint64, outcome placer.Outcome)
	FinishRelay(now time.Time, id uint64, accepted bool)
	FullLoads(now time.Time) map[string]placer.Load
	DomainLoads(now time.Time) map[string]placer.Load
	SetPeerLoads(now time.Time, name string, near bool, loads map[string]placer.Load)
	CacheFills(now time.Time, within time.Duration, domain bool) []placer.CacheFill
	AddCacheFills(now time.Time, near bool, fills []placer.CacheFill)
	Summaries(now time.Time) map[string]placer.ServiceSummary
	SetRegionServices(now time.Time, region string, services map[string]placer.ServiceSummary)
}

// ErrPolicy means that there is no policy of the given name.
var ErrPolicy = errors.New("unknown policy")

// location describes an entry instance to its policy: its name, region and failure
// domain, the number of entry instances in the region, and its index among them.
type location struct {
	name, region, domain string
	regionInstances      int
	index                int
}

// The names of the policies.
const (
	PolicyPlacer      = "placer"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
	PolicyPrefix      = "prefix"
)

// Policies returns the names of all policies.
func Policies() []string {
	return []string{PolicyPlacer, PolicyRoundRobin, PolicyLeastLoaded, PolicyPrefix}
}

func newPolicy(name string, loc location) (Policy, error) {
	p := &placer.Placer{InstanceName: loc.name, Region: loc.region, FailureDomain: loc.domain, RegionInstances: loc.regionInstances}
	switch name {
	case PolicyPlacer:
		return p, nil
	case PolicyRoundRobin:
		return &baseline{Placer: p, choose: roundRobin, next: loc.index}, nil
	case PolicyLeastLoaded:
		return &baseline{Placer: p, choose: leastLoaded}, nil
	case PolicyPrefix:
		return &baseline{Placer: p, choose: byPrefix}, nil
	}
	return nil, ErrPolicy
}

// baseline is a simple policy for comparison: it refuses only if there is no server
// or the request must not run in its region, and never relays to another region.
// It embeds a Placer for the methods that it does not replace, and gets the loads
// of its peers in the same way.
type baseline struct {
	*placer.Placer
	choose          func(b *baseline, request placer.Request) int
	servers         []registrar.Server
	next            int
	serverByRequest map[uint64]string
	ownLoads        map[string]placer.Load
	peerLoads       map[string]map[string]placer.Load
}

func (b *baseline) SetServers(_ time.Time, _ *definer.View, servers []registrar.Server) {
	b.servers = slices.SortedFunc(slices.Values(servers), func(x, y registrar.Server) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	b.serverByRequest, b.ownLoads = map[uint64]string{}, map[string]placer.Load{}
	b.peerLoads = map[string]map[string]placer.Load{}
}

func (b *baseline) Place(_ time.Time, request placer.Request) placer.Decision {
	if len(b.servers) == 0 || request.HomeRegionsOnly && !slices.Contains(request.HomeRegions, b.Region) {
		return placer.Decision{RefusalReason: placer.ReasonNoServer, RetryAfter: time.Second}
	}
	chosen := &b.servers[b.choose(b, request)]
	b.serverByRequest[request.ID] = chosen.Name
	load := b.ownLoads[chosen.Name]
	load.Running++
	b.ownLoads[chosen.Name] = load
	return placer.Decision{Server: chosen, UsableServers: len(b.servers)}
}

func (b *baseline) RecordFirstEvent(time.Time, uint64) {}

func (b *baseline) RecordNotice(time.Time, uint64, placer.Notice) {}

func (b *baseline) RecordOutput(time.Time, uint64, int) {}

func (b *baseline) Finish(_ time.Time, id uint64, _ placer.Outcome) {
	name, known := b.serverByRequest[id]
	if !known {
		return
	}
	delete(b.serverByRequest, id)
	load := b.ownLoads[name]
	load.Running--
	b.ownLoads[name] = load
}

func (b *baseline) FullLoads(time.Time) map[string]placer.Load { return cloneLoads(b.ownLoads) }

func (b *baseline) DomainLoads(now time.Time) map[string]placer.Load { return b.FullLoads(now) }

func (b *baseline) SetPeerLoads(_ time.Time, name string, _ bool, loads map[string]placer.Load) {
	b.peerLoads[name] = loads
}

func cloneLoads(loads map[string]placer.Load) map[string]placer.Load {
	clone := make(map[string]placer.Load, len(loads))
	for name, load := range loads {
		clone[name] = load
	}
	return clone
}

func roundRobin(b *baseline, _ placer.Request) int {
	b.next++
	return b.next % len(b.servers)
}

func leastLoaded(b *baseline, _ placer.Request) int {
	best, least := 0, int32(0)
	for i, server := range b.servers {
		running := b.ownLoads[server.Name].Running
		for _, loads := range b.peerLoads {
			running += loads[server.Name].Running
		}
		if i == 0 || running < least {
			best, least = i, running
		}
	}
	return best
}

func byPrefix(b *baseline, request placer.Request) int {
	parts := request.Work.Parts
	if len(parts) < 2 {
		return roundRobin(b, request)
	}
	return int(parts[len(parts)-2].ID * 0x9e3779b97f4a7c15 >> 33 % uint64(len(b.servers)))
}
