package follower

import (
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/beaconer"
)

// largeDomainSize is the number of entry instances of a failure domain from which on
// they do not send beacons to each other. Each reports to the representative of the
// domain, which sends digests of all reports. An instance then sends and receives as
// much in a domain of a hundred instances as in one of twenty.
const largeDomainSize = 16

// digestTimeout is how long digests may fail to come until an instance sends to all of
// its failure domain again, so that the next representative can be found: five digests.
const digestTimeout = 5 * collectEvery * beaconInterval

// ownDomainPeer names the other instances of this failure domain where their spending is
// reported together.
const ownDomainPeer = "domain/"

// isLargeDomain reports whether reports are collected in this failure domain. f.mu must
// be held.
func (f *Follower) isLargeDomain() bool {
	count := 1
	for _, other := range f.otherInstances {
		if other.FailureDomain == f.self.FailureDomain {
			count++
		}
	}
	return count >= largeDomainSize
}

// followsDigests reports whether the loads and the spending of this failure domain come
// from digests. They count for as long as those of a silent instance would. f.mu must be
// held.
func (f *Follower) followsDigests(now time.Time) bool {
	return f.ownDomain.representingSince == 0 && now.Sub(f.digestsHeard.lastHeard) < instanceTimeout
}

// ownDomainBeacons returns the beacons for the instances of this failure domain. f.mu
// must be held.
func (f *Follower) ownDomainBeacons(now time.Time, toAll, represents bool, base beaconer.Beacon) []outgoingBeacon {
	full := f.beaconSequence%domainFullBeaconEvery == 0
	if !f.isLargeDomain() {
		return []outgoingBeacon{{beacon: f.neighbourBeacon(now, toAll || full, base), addresses: f.neighbourAddresses()}}
	}
	representative, found := f.representative(now)
	switch {
	case toAll:
		return []outgoingBeacon{{beacon: f.neighbourBeacon(now, true, base), addresses: f.neighbourAddresses()}}
	case f.beaconSequence%collectEvery != 0:
		return nil
	case represents:
		return f.digestBeacons(now, f.beaconSequence%completeEvery == 0, base)
	case found && now.Sub(f.digestsHeard.lastHeard) < digestTimeout:
		return []outgoingBeacon{{beacon: f.report(now, representative.Name, base), addresses: []netip.AddrPort{representative.PeerAddress}}}
	case f.beaconSequence%searchEvery == 0:
		f.reportedTo = ""
		return []outgoingBeacon{{beacon: f.neighbourBeacon(now, true, base), addresses: f.neighbourAddresses()}}
	}
	return nil
}

// neighbourAddresses returns the sorted addresses of the other instances of this failure
// domain. f.mu must be held.
func (f *Follower) neighbourAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, other := range f.otherInstances {
		if other.FailureDomain == f.self.FailureDomain {
			addresses = append(addresses, other.PeerAddress)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// report returns a beacon for the representative and remembers it. f.mu must be held.
func (f *Follower) report(now time.Time, representative string, base beaconer.Beacon) beaconer.Beacon {
	full := f.beaconSequence%completeEvery == 0 || representative != f.reportedTo
	f.reportedTo = representative
	beacon := f.neighbourBeacon(now, full, base)
	f.digestsHeard.recordReport(ownReport{sequence: beacon.Sequence, loads: f.placer.OwnLoads(now), spent: beacon.QuotaSpent})
	return beacon
}

// digestBeacons returns the digest for the instances of this failure domain, which pass
// it on among themselves. f.mu must be held.
func (f *Follower) digestBeacons(now time.Time, complete bool, base beaconer.Beacon) []outgoingBeacon {
	digest := f.ownDomain.digests.digest(f.placer.DomainLoads(now), complete)
	limitsSince := limitRepeats * collectEvery * beaconInterval
	if complete {
		digest.Members, digest.CutOff = f.neighbourStates(now)
		digest.QuotaSpent, digest.QuotaLeft = f.domainSpending(f.quotas.Spent()), f.quotas.Levels()
		limitsSince = 0
	}
	base.Partial, base.Digest = true, digest
	base.CacheFills = f.placer.CacheFills(now, cacheFillRepeats*collectEvery*beaconInterval, true)
	base.Limits = f.placer.Limits(now, limitsSince)
	return f.spreadBeacon(now, base)
}

// neighbourStates returns the states of the instances of this failure domain that were
// heard lately, and which of them are cut off, and forgets the reports of the others. f.mu
// must be held.
func (f *Follower) neighbourStates(now time.Time) (states map[uint32]beaconer.State, cutOff map[uint32]bool) {
	states, cutOff = map[uint32]beaconer.State{}, map[uint32]bool{}
	for name, other := range f.otherInstances {
		if other.FailureDomain != f.self.FailureDomain {
			continue
		}
		if now.Sub(other.lastHeard) < representativeTimeout {
			states[beaconer.NameHash(name)] = other.state
			if other.cutOff {
				cutOff[beaconer.NameHash(name)] = true
			}
			continue
		}
		delete(f.ownDomain.digests.included, name)
	}
	return states, cutOff
}

// spreadBeacon returns a beacon for all instances of this failure domain: those heard
// lately pass it on among themselves, the others get it directly. f.mu must be held.
func (f *Follower) spreadBeacon(now time.Time, beacon beaconer.Beacon) []outgoingBeacon {
	var live, silent []netip.AddrPort
	for _, other := range f.otherInstances {
		switch {
		case other.FailureDomain != f.self.FailureDomain:
		case now.Sub(other.lastHeard) < digestTimeout && other.state != beaconer.StateStopping:
			live = append(live, other.PeerAddress)
		default:
			silent = append(silent, other.PeerAddress)
		}
	}
	slices.SortFunc(live, netip.AddrPort.Compare)
	outgoing := []outgoingBeacon{{beacon: beacon, addresses: silent}}
	f.ownDomain.spreadTurn++
	return append(outgoing, spreadTo(live, f.ownDomain.spreadTurn, beacon)...)
}

// passOn returns the beacons by which this instance passes a received one on: to those
// that it names, or, from another failure domain to a representative, to all of this
// one.
func (f *Follower) passOn(now time.Time, beacon beaconer.Beacon) []outgoingBeacon {
	if len(beacon.Forward) > 0 {
		return spreadTo(beacon.Forward, passOnTurn(beacon.Sequence), beacon)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	distributes := f.ownDomain.representingSince != 0 && f.isLargeFleet() && f.isLargeDomain()
	if beacon.Aggregate == nil || beacon.FailureDomain == f.self.FailureDomain || !distributes {
		return nil
	}
	return f.spreadBeacon(now, beacon)
}

// receiveDigest takes over what the representative of this failure domain tells all of
// its instances. f.mu must be held.
func (f *Follower) receiveDigest(now time.Time, beacon beaconer.Beacon) {
	if representative, found := f.representative(now); !found || representative.Name != beacon.Name {
		return // this instance, or another one, is the representative
	}
	term := f.digestsHeard.term
	if !f.digestsHeard.apply(now, f.self.Name, beacon) {
		return
	}
	if f.digestsHeard.term != term {
		klog.InfoS("representative followed", "domain", f.self.FailureDomain, "speaker", beacon.Name, "servers", len(beacon.Digest.Loads))
	}
	f.placer.SetCollectedLoads(now, f.digestsHeard.otherLoads())
	f.placer.RecordSlowdowns(now, true, beacon.Digest.SlowdownLoads())
	f.placer.AddCacheFills(now, true, beacon.CacheFills)
	if beacon.Digest.Complete {
		f.recordDomainState(now, beacon)
	}
}

// recordDomainState takes over who is live in this failure domain and what its instances
// have spent. f.mu must be held.
func (f *Follower) recordDomainState(now time.Time, beacon beaconer.Beacon) {
	count := 0
	for name, other := range f.otherInstances {
		state, live := beacon.Digest.Members[beaconer.NameHash(name)]
		if other.FailureDomain != f.self.FailureDomain || !live {
			continue
		}
		count++
		other.state, other.lastHeard, other.cutOff = state, now, beacon.Digest.CutOff[beaconer.NameHash(name)]
		if name == beacon.Name {
			other.cutOff = beacon.CutOff
		}
		f.otherInstances[name] = other
		if !other.cutOff {
			f.placer.RecordNeighbour(now, name)
		}
	}
	spent, known := f.digestsHeard.otherSpending(beacon.Digest.QuotaSpent)
	if !known {
		return
	}
	f.forgetSpendingOf(f.self.FailureDomain)
	f.quotas.RecordReport(now, apportioner.SpendingReport{
		Name: ownDomainPeer, FailureDomain: f.self.FailureDomain, Instances: count + 1, Incarnation: f.digestsHeard.term,
		Spent: spent, Levels: beacon.Digest.QuotaLeft,
	})
}
