package controller

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/definer"
)

// Timeouts of peers.
const (
	// instanceTimeout is how long after its last beacon an entry instance of this
	// region is dropped. It allows for the loss of several beacons.
	instanceTimeout = 1500 * time.Millisecond
	// remoteInstanceTimeout is the same for entry instances of other regions, which
	// send beacons here less often.
	remoteInstanceTimeout = 3500 * time.Millisecond
	// controlTimeout is how long after its last exchange a control instance that is
	// neither a member nor a seed is still contacted.
	controlTimeout = 20 * time.Second
)

// peerTable holds the other processes of the fleet that this instance knows of.
type peerTable struct {
	seeds []netip.AddrPort
	// instances holds the live entry instances by name.
	instances map[string]knownInstance
	// controls holds, by peer address, when a control instance last exchanged its
	// tables with this one.
	controls map[string]time.Time
	// revision counts the changes that entry instances must be told of.
	revision uint64
	// removed holds the revision at which an entry instance was dropped, by name, for
	// those dropped after removedSince.
	removed      map[string]uint64
	removedSince uint64
	// notifiedRevision is the revision at the last wake-up of the waiting watches.
	notifiedRevision uint64
	// ackedServerRevisions holds, by entry instance, the revision of the servers
	// that its last watch query reported.
	ackedServerRevisions map[string]uint64
	// boundRoutesByRegion is computed from version boundRoutesVersion of the
	// definition.
	boundRoutesVersion  definer.Version
	boundRoutesByRegion map[string]int
}

// knownInstance is an entry instance as its last beacon described it.
type knownInstance struct {
	beaconer.Instance
	state     beaconer.State
	lastHeard time.Time
	// revision is that of the last change of its description.
	revision uint64
}

// maxRemoved bounds the dropped entry instances that are remembered.
const maxRemoved = 1024

// recordBeacon stores the sender's description and state. It reports whether
// either changed; only a changed description raises the revision.
func (p *peerTable) recordBeacon(now time.Time, beacon beaconer.Beacon) bool {
	if p.instances == nil {
		p.instances = map[string]knownInstance{}
	}
	previous, exists := p.instances[beacon.Name]
	changed := !exists || previous.Instance != beacon.Instance
	if changed {
		p.revision++
		previous.revision = p.revision
		delete(p.removed, beacon.Name)
	}
	p.instances[beacon.Name] = knownInstance{Instance: beacon.Instance, state: beacon.State, lastHeard: now, revision: previous.revision}
	return changed || previous.state != beacon.State
}

// changesSince returns the descriptions that have changed after a revision and the names
// of the entry instances that were dropped. It reports false if that is no longer known:
// the list is then complete.
func (p *peerTable) changesSince(revision uint64) (changed []beaconer.Instance, removed []string, known bool) {
	known = revision >= p.removedSince
	for _, instance := range p.instances {
		if !known || instance.revision > revision {
			changed = append(changed, instance.Instance)
		}
	}
	if !known {
		return changed, nil, false
	}
	for name, at := range p.removed {
		if at > revision {
			removed = append(removed, name)
		}
	}
	return changed, removed, true
}

// expire drops the entry instances and control instances whose timeouts have
// passed. Region is the one where this process runs.
func (p *peerTable) expire(now time.Time, region string) {
	maps.DeleteFunc(p.instances, func(name string, i knownInstance) bool {
		timeout := instanceTimeout
		if i.Region != region {
			timeout = remoteInstanceTimeout
		}
		if now.Sub(i.lastHeard) <= timeout {
			return false
		}
		p.recordRemoval(name)
		return true
	})
	maps.DeleteFunc(p.controls, func(_ string, heard time.Time) bool { return now.Sub(heard) > controlTimeout })
}

// recordRemoval remembers that an entry instance was dropped.
func (p *peerTable) recordRemoval(name string) {
	p.revision++
	if p.removed == nil || len(p.removed) >= maxRemoved {
		p.removedSince = p.revision - 1
		p.removed = map[string]uint64{}
	}
	p.removed[name] = p.revision
}

// addControls records that control instances were heard now. It reports whether
// any of them is new.
func (p *peerTable) addControls(now time.Time, controls []string) bool {
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

// controlAddresses returns the peer addresses of all known control instances:
// this one first, then the group's members, the seeds, and those that were heard.
// c.mu must not be held.
func (c *Controller) controlAddresses() []string {
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
	for _, seed := range c.peers.seeds {
		add(seed.String())
	}
	for _, address := range slices.Sorted(maps.Keys(c.peers.controls)) {
		add(address)
	}
	return addresses
}

// HandleBeacon records the beacon of an entry instance, received at now.
func (c *Controller) HandleBeacon(now time.Time, beacon beaconer.Beacon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers.recordBeacon(now, beacon) {
		// Watches are not woken here but by runForwardAndExpire, because many
		// instances may start at once.
		klog.InfoS("entry instance changed", "instance", beacon.Name, "state", beacon.State, "callers", beacon.CallerAddress.String())
	}
}

// maxResolved bounds the addresses that Resolve returns.
const maxResolved = 64

// Resolve returns the caller-facing addresses of the entry instances that a
// caller in a failure domain and region should connect to, ordered by instance
// name. They are the ready instances of the caller's failure domain, or else
// those of its region. If the region has none, they are the ready instances of
// the region that may serve the most bound routes. If no such region has any,
// they are stopping instances near the caller, which still accept what they can
// finish, or else ready instances of any region.
func (c *Controller) Resolve(failureDomain, region string) []netip.AddrPort {
	boundRoutes := c.boundRoutesByRegion()
	c.mu.Lock()
	defer c.mu.Unlock()
	var best rank
	var nearest []knownInstance
	for _, instance := range c.peers.instances {
		candidate, usable := c.rankOf(instance, failureDomain, region, boundRoutes)
		if !usable {
			continue
		}
		switch comparison := candidate.compare(best); {
		case comparison > 0 || len(nearest) == 0:
			best, nearest = candidate, []knownInstance{instance}
		case comparison == 0:
			nearest = append(nearest, instance)
		}
	}
	slices.SortFunc(nearest, func(a, b knownInstance) int { return cmp.Compare(a.Name, b.Name) })
	var addresses []netip.AddrPort
	for _, instance := range nearest[:min(len(nearest), maxResolved)] {
		addresses = append(addresses, instance.CallerAddress)
	}
	return addresses
}

// rankOf returns the rank of an entry instance for a caller in a failure domain
// and region. It returns false if the caller must not use the instance.
func (c *Controller) rankOf(instance knownInstance, failureDomain, region string, boundRoutesByRegion map[string]int) (rank, bool) {
	closeness := proximity(instance, failureDomain, region)
	switch {
	case instance.state == beaconer.StateReady && closeness > 0:
		return rank{tier: tierLocalReady + closeness}, true
	case instance.state == beaconer.StateReady && boundRoutesByRegion[instance.Region] > 0:
		return rank{tier: tierRemoteBound, boundRoutes: boundRoutesByRegion[instance.Region]}, true
	case instance.state == beaconer.StateStopping && closeness > 0:
		return rank{tier: tierLocalStopping}, true
	case instance.state == beaconer.StateReady:
		return rank{tier: tierRemoteReady}, true
	}
	return rank{}, false
}

// Tiers of a rank, worst first. Local instances are those of the caller's failure
// domain or region; a remote region is bound if it may serve bound routes. The
// proximity of a ready local instance is added to tierLocalReady.
const (
	tierRemoteReady = iota
	tierLocalStopping
	tierRemoteBound
	tierLocalReady
)

// rank orders entry instances for one caller; higher is better.
type rank struct {
	tier int
	// boundRoutes orders the instances of tierRemoteBound.
	boundRoutes int
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.tier, other.tier), cmp.Compare(r.boundRoutes, other.boundRoutes))
}

// boundRoutesByRegion returns, for each region, how many of the routes that are
// bound to home regions it may serve. The result must not be modified. c.mu must
// not be held.
func (c *Controller) boundRoutesByRegion() map[string]int {
	state := c.machine.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers.boundRoutesVersion == state.Version {
		return c.peers.boundRoutesByRegion
	}
	counts := map[string]int{}
	definition, err := c.decode(state.Document)
	if err != nil {
		klog.ErrorS(err, "cannot decode the accepted definition", "version", state.Version)
	}
	for _, route := range definition.Routes {
		for _, home := range route.Homes {
			counts[home]++
		}
	}
	c.peers.boundRoutesVersion, c.peers.boundRoutesByRegion = state.Version, counts
	return counts
}

// proximity returns 2 for an instance of the failure domain, 1 for another one of
// the region, and 0 otherwise.
func proximity(instance knownInstance, failureDomain, region string) int {
	switch {
	case instance.FailureDomain == failureDomain:
		return 2
	case instance.Region == region:
		return 1
	}
	return 0
}
