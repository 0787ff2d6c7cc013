package follower

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/placer"
)

// listsMaxAge is how old the proof may be that the control instances in contact are up
// to date, if their lists of instances are to count for which instances are gone.
const listsMaxAge = 5 * time.Second

// hasNewestLists reports whether a control instance in contact is up to date. One that
// is cut off from the others drops the instances on their side from its lists, though
// they are still there. f.mu must be held.
func (f *Follower) hasNewestLists(now time.Time) bool {
	return conductor.Elapsed(f.confirmedAt, now) < listsMaxAge
}

// updateRegionMembers tells the placer which instances share the limits of this
// region's servers. An instance is heard by its beacons or, in large fleets, by those
// who list it. f.mu must be held.
func (f *Follower) updateRegionMembers(now time.Time) {
	lastList := time.Time{}
	for _, watch := range f.controlWatches {
		if watch.lastAnswer.After(lastList) {
			lastList = watch.lastAnswer
		}
	}
	silence := map[string]time.Duration{}
	for name, other := range f.otherInstances {
		if other.Region != f.self.Region || other.state == beaconer.StateStopping {
			continue
		}
		silence[name] = conductor.Elapsed(other.lastHeard, now)
		if f.listedInstances[name] {
			silence[name] = min(silence[name], conductor.Elapsed(lastList, now))
		}
	}
	f.placer.SetRegionMembers(now, silence, len(silence)+1, f.watchAnswered && !f.RecentlyStarted())
}

// limitBeacon returns a beacon for the instances of this region that otherwise hear only
// representatives: a limit that a server has just named must be known everywhere at
// once. f.mu must be held.
func (f *Follower) limitBeacon(now time.Time, base beaconer.Beacon) outgoingBeacon {
	const within = limitRepeats * beaconInterval
	outgoing := outgoingBeacon{beacon: base}
	if !f.placer.LimitSeenWithin(now, within) {
		return outgoing
	}
	outgoing.beacon.Partial, outgoing.beacon.Limits = true, f.placer.Limits(now, within)
	collected := f.isLargeDomain()
	for _, other := range f.otherInstances {
		if other.Region == f.self.Region && (collected || other.FailureDomain != f.self.FailureDomain) {
			outgoing.addresses = append(outgoing.addresses, other.PeerAddress)
		}
	}
	return outgoing
}

// logServerLimits logs the limits of servers that have changed, with this instance's
// share of them. f.mu must be held.
func (f *Follower) logServerLimits() {
	limits := f.placer.ServerLimits()
	for name, limit := range limits {
		if before, known := f.loggedLimits[name]; before != limit || !known {
			klog.InfoS("server limit", "server", name, "limit", limit.Limit, "share", limit.Share, "before", before.Limit, "share-before", before.Share)
		}
	}
	for name, before := range f.loggedLimits {
		if _, limited := limits[name]; !limited {
			klog.InfoS("server limit ended", "server", name, "before", before.Limit)
		}
	}
	f.loggedLimits = limits
}

// loggedLimits holds the limits of servers when they were last logged.
type loggedLimits map[string]placer.ServerLimit
