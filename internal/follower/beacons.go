package follower

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/logger"
)

// Intervals of beacons. Constants that end in Every count beacon intervals.
const (
	// beaconInterval is the time between two beacons to neighbours. Placement
	// decisions that do not know of the neighbours' most recent ones send too
	// many requests to the same server.
	beaconInterval = 50 * time.Millisecond
	// One in fullBeaconEvery beacons to neighbours carries everything; the
	// others carry what has changed. Other regions get a beacon once in
	// otherRegionEvery intervals, control instances once in controlEvery.
	fullBeaconEvery  = 2
	otherRegionEvery = 8
	controlEvery     = 6
	// In large fleets, control instances of other regions get a beacon once in
	// secondaryControlEvery intervals, one in domainFullBeaconEvery beacons
	// inside a failure domain carries everything, and a representative sends
	// aggregates to the other domains of its region once in aggregateEvery
	// intervals and to other regions once in otherRegionAggregateEvery.
	secondaryControlEvery     = 20
	domainFullBeaconEvery     = 4
	aggregateEvery            = 8
	otherRegionAggregateEvery = 16
	// cacheFillRepeats is the number of beacons that carry each cache fill,
	// because a beacon may be lost.
	cacheFillRepeats = 2
	// limitRepeats is the number of beacons that carry a changed limit of a server, for
	// the same reason.
	limitRepeats = 3
	// In failure domains with a representative that collects, reports and digests are
	// sent once in collectEvery intervals. One in completeEvery intervals, a report or
	// digest carries everything. While no digests come, an instance sends to all of its
	// domain once in searchEvery intervals.
	collectEvery  = 2
	completeEvery = 8
	searchEvery   = 8
	// instanceRetention is how long beacons are still sent to an entry instance
	// that is silent.
	instanceRetention = 30 * time.Second
)

// SendBeacons sends the beacons that are due until the context ends.
func (f *Follower) SendBeacons(ctx context.Context) error {
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f.sendBeacons(false)
		}
	}
}

// ReceiveBeacons receives the other entry instances' beacons until the context
// ends.
func (f *Follower) ReceiveBeacons(ctx context.Context) error {
	return f.beaconSocket.Run(ctx, func(now time.Time, beacon beaconer.Beacon) {
		f.receiveBeacon(now, beacon)
		f.send(f.passOn(now, beacon))
	})
}

// outgoingBeacon is a beacon and the addresses that it is sent to.
type outgoingBeacon struct {
	addresses []netip.AddrPort
	beacon    beaconer.Beacon
}

// sendBeacons sends the beacons that are due. With toAll every beacon is due,
// except that a failure domain's aggregates keep to their intervals unless its
// representative is stopping.
func (f *Follower) sendBeacons(toAll bool) {
	f.send(f.dueBeacons(toAll))
}

func (f *Follower) send(beacons []outgoingBeacon) {
	for _, outgoing := range beacons {
		if len(outgoing.addresses) == 0 {
			continue
		}
		if err := f.beaconSocket.Send(outgoing.beacon, outgoing.addresses...); err != nil {
			klog.V(2).InfoS("cannot send beacon", "err", logger.ErrorText(err))
		}
	}
}

// dueBeacons returns the beacons to send in this interval.
func (f *Follower) dueBeacons(toAll bool) []outgoingBeacon {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beaconSequence++
	now := time.Now()
	f.removeSilentInstances(now)
	base := beaconer.Beacon{Instance: f.self, State: f.lifecycle, Sequence: f.beaconSequence, DefinitionVersion: uint64(f.definitionVersion), CutOff: f.placer.CutOff()}
	outgoing := []outgoingBeacon{f.controlBeacon(toAll, base)}
	if f.isLargeFleet() {
		return append(outgoing, f.perDomainBeacons(now, toAll, base)...)
	}
	return append(outgoing, f.meshBeacons(now, toAll, base)...)
}

// removeSilentInstances removes the instances that have not been heard for
// long, unless the control instances list them.
func (f *Follower) removeSilentInstances(now time.Time) {
	for name, other := range f.otherInstances {
		silence := now.Sub(other.lastHeard)
		if other.state == beaconer.StateStopping && silence > instanceTimeout {
			f.quotas.ForgetPeer(name) // it was shut down properly and spends nothing more
		}
		if silence > instanceRetention && !f.listedInstances[name] && f.hasNewestLists(now) {
			delete(f.otherInstances, name)
		}
	}
}

// controlBeacon returns the beacon for the control instances that are due for
// one.
func (f *Follower) controlBeacon(toAll bool, base beaconer.Beacon) outgoingBeacon {
	outgoing := outgoingBeacon{beacon: base}
	for address, watch := range f.controlWatches {
		every := uint64(controlEvery)
		if f.isSecondary(watch) {
			every = secondaryControlEvery
		}
		if to, err := netip.ParseAddrPort(address); err == nil && (toAll || f.beaconSequence%every == 0) {
			outgoing.addresses = append(outgoing.addresses, to)
		}
	}
	return outgoing
}

// neighbourBeacon returns the beacon for neighbours: with full it carries
// everything, without it only what has changed.
func (f *Follower) neighbourBeacon(now time.Time, full bool, base beaconer.Beacon) beaconer.Beacon {
	beacon := base
	beacon.CacheFills = f.placer.CacheFills(now, cacheFillRepeats*beaconInterval, false)
	if full {
		beacon.QuotaSpent, beacon.QuotaLeft, beacon.Loads = f.quotas.Spent(), f.quotas.Levels(), f.placer.FullLoads(now)
		beacon.Limits = f.placer.Limits(now, 0)
		return beacon
	}
	beacon.Partial, beacon.Loads = true, f.placer.ChangedLoads(now)
	beacon.Limits = f.placer.Limits(now, limitRepeats*beaconInterval)
	return beacon
}

// meshBeacons returns the beacons of a small fleet, in which every instance
// sends to every other one.
func (f *Follower) meshBeacons(now time.Time, toAll bool, base beaconer.Beacon) []outgoingBeacon {
	ownRegion := outgoingBeacon{beacon: f.neighbourBeacon(now, toAll || f.beaconSequence%fullBeaconEvery == 0, base)}
	otherRegions := outgoingBeacon{beacon: base}
	for _, other := range f.otherInstances {
		switch {
		case other.Region == f.self.Region:
			ownRegion.addresses = append(ownRegion.addresses, other.PeerAddress)
		case toAll || f.beaconSequence%otherRegionEvery == 0:
			otherRegions.addresses = append(otherRegions.addresses, other.PeerAddress)
		}
	}
	if len(otherRegions.addresses) > 0 {
		otherRegions.beacon.QuotaSpent, otherRegions.beacon.QuotaLeft = f.quotas.Spent(), f.quotas.Levels()
		otherRegions.beacon.Services = f.placer.Summaries(now)
	}
	return []outgoingBeacon{ownRegion, otherRegions}
}

// perDomainBeacons returns the beacons of a large fleet, in which every
// instance sends to those of its failure domain, or reports to its representative, and
// the representative also sends aggregates to all other domains.
func (f *Follower) perDomainBeacons(now time.Time, toAll bool, base beaconer.Beacon) []outgoingBeacon {
	represents := f.updateRepresentative(now)
	resigning := !represents && f.ownDomain.representingSince != 0 // this representative is stopping
	outgoing := f.ownDomainBeacons(now, toAll, represents, base)
	ownRegion, otherRegions := outgoingBeacon{beacon: base}, outgoingBeacon{beacon: base}
	regionDue, otherRegionsDue := f.beaconSequence%aggregateEvery == 0, f.beaconSequence%otherRegionAggregateEvery == 0
	if resigning || represents && (regionDue || otherRegionsDue) {
		for _, other := range f.aggregateReceivers(now, resigning) {
			switch {
			case other.Region != f.self.Region && (resigning || otherRegionsDue):
				otherRegions.addresses = append(otherRegions.addresses, other.PeerAddress)
			case other.Region == f.self.Region && (resigning || regionDue):
				ownRegion.addresses = append(ownRegion.addresses, other.PeerAddress)
			}
		}
	}
	if len(ownRegion.addresses)+len(otherRegions.addresses) > 0 {
		f.fillAggregates(now, &ownRegion.beacon, &otherRegions.beacon)
	}
	if resigning {
		f.ownDomain.representingSince = 0
	}
	return append(outgoing, ownRegion, otherRegions, f.limitBeacon(now, base))
}

// fillAggregates fills in the aggregates of this failure domain that go to the
// other domains of this region and to other regions.
func (f *Follower) fillAggregates(now time.Time, ownRegion, otherRegions *beaconer.Beacon) {
	aggregate := *ownRegion
	aggregate.QuotaSpent, aggregate.QuotaLeft = f.quotas.Spent(), f.quotas.Levels()
	aggregate = f.aggregateBeacon(now, aggregate)
	*ownRegion, *otherRegions = aggregate, aggregate
	ownRegion.Loads = f.placer.DomainLoads(now)
	ownRegion.Limits = f.placer.Limits(now, 0)
	ownRegion.CacheFills = f.placer.CacheFills(now, cacheFillRepeats*aggregateEvery*beaconInterval, true)
	otherRegions.Services = f.placer.Summaries(now)
}

// receiveBeacon processes a beacon of another entry instance.
func (f *Follower) receiveBeacon(now time.Time, beacon beaconer.Beacon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if beacon.Name == f.self.Name {
		return
	}
	f.otherInstances[beacon.Name] = entryInstance{Instance: beacon.Instance, state: beacon.State, lastHeard: now, cutOff: beacon.CutOff}
	f.noteVersion(now, definer.Version(beacon.DefinitionVersion), false)
	if beacon.Region == f.self.Region {
		f.placer.RecordLimits(now, beacon.Limits)
	}
	if beacon.Aggregate != nil {
		f.receiveAggregate(now, beacon)
		return
	}
	sameDomain := beacon.FailureDomain == f.self.FailureDomain
	if sameDomain && !beacon.CutOff {
		f.placer.RecordNeighbour(now, beacon.Name)
	}
	if beacon.Digest != nil {
		if sameDomain {
			f.receiveDigest(now, beacon)
		}
		return
	}
	if sameDomain && f.followsDigests(now) {
		f.placer.AddCacheFills(now, true, beacon.CacheFills)
		return
	}
	if sameDomain {
		f.ownDomain.digests.record(beacon.Name, beacon.Sequence)
	}
	if beacon.Partial {
		f.placer.ApplyPeerChanges(now, beacon.Name, beacon.Loads)
		f.placer.AddCacheFills(now, sameDomain, beacon.CacheFills)
		return
	}
	if sameDomain {
		f.ownDomain.recordSpent(beacon)
	}
	f.quotas.RecordReport(now, apportioner.SpendingReport{
		Name: beacon.Name, FailureDomain: beacon.FailureDomain, Incarnation: beacon.Incarnation, Spent: beacon.QuotaSpent, Levels: beacon.QuotaLeft,
	})
	if beacon.Region == f.self.Region {
		f.placer.SetPeerLoads(now, beacon.Name, sameDomain, beacon.Loads)
		f.placer.AddCacheFills(now, sameDomain, beacon.CacheFills)
		return
	}
	if beacon.State == beaconer.StateReady && f.tellsServices(now, beacon) {
		f.placer.SetRegionServices(now, beacon.Region, beacon.Services)
	}
}
