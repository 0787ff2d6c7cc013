package follower

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/logger"
)

// Times of beacons.
const (
	// beaconInterval is the time between two beacons to neighbours: a decision
	// that does not know of those just before it sends too much to one server.
	beaconInterval = 50 * time.Millisecond
	// Every so many beacons one tells neighbours everything; the others tell what
	// has changed. One goes to other regions, and to the control instances.
	fullEvery    = 2
	regionEvery  = 8
	controlEvery = 6
	// In large fleets, quietEvery is for control instances of other regions,
	// domainEvery for telling everything inside a failure domain, and the speeches
	// go to the other domains of the region and to other regions.
	quietEvery     = 20
	domainEvery    = 4
	speechEvery    = 8
	farSpeechEvery = 16
	// readingRepeats is in how many beacons a reading is told: one may be lost.
	readingRepeats = 2
	// instanceMemory is how long a silent entry instance is sent beacons.
	instanceMemory = 30 * time.Second
)

// RunBeacons sends beacons until the context ends.
func (f *Follower) RunBeacons(ctx context.Context) error {
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

// RunPort takes beacons in until the context ends.
func (f *Follower) RunPort(ctx context.Context) error {
	return f.port.Run(ctx, f.hear)
}

// letter is a beacon with where it goes.
type letter struct {
	to     []netip.AddrPort
	beacon beaconer.Beacon
}

// sendBeacons sends the beacons that are due, or one to everybody.
func (f *Follower) sendBeacons(all bool) {
	for _, l := range f.due(all) {
		if err := f.port.Send(l.beacon, l.to...); err != nil {
			klog.V(2).InfoS("beacon not sent", "err", logger.Reason(err))
		}
	}
}

// due returns the beacons of this interval.
func (f *Follower) due(all bool) []letter {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	now := time.Now()
	f.forgetSilent(now)
	bare := beaconer.Beacon{Instance: f.self, State: f.state, Sequence: f.sequence}
	letters := []letter{f.toControls(all, bare)}
	if f.many() {
		return append(letters, f.amongMany(now, all, bare)...)
	}
	return append(letters, f.amongFew(now, all, bare)...)
}

// forgetSilent drops instances that have not been heard for long.
func (f *Follower) forgetSilent(now time.Time) {
	for name, other := range f.instances {
		silence := now.Sub(other.heard)
		if other.state == beaconer.StateStopping && silence > instanceSilence {
			f.quotas.Forget(name) // it has ended in order and spends nothing more
		}
		if silence > instanceMemory && !f.named[name] {
			delete(f.instances, name)
		}
	}
}

// toControls addresses the control instances that are due.
func (f *Follower) toControls(all bool, bare beaconer.Beacon) letter {
	due := letter{beacon: bare}
	for address, s := range f.sources {
		every := uint64(controlEvery)
		if f.quiet(s) {
			every = quietEvery
		}
		if to, err := netip.ParseAddrPort(address); err == nil && (all || f.sequence%every == 0) {
			due.to = append(due.to, to)
		}
	}
	return due
}

// near is what neighbours are told: everything, or what has changed.
func (f *Follower) near(now time.Time, everything bool, bare beaconer.Beacon) beaconer.Beacon {
	near := bare
	near.Readings = f.placer.Readings(now, readingRepeats*beaconInterval, false)
	if everything {
		near.Spent, near.Levels, near.Loads = f.quotas.Spent(), f.quotas.Levels(), f.placer.Loads(now)
		return near
	}
	near.Changes, near.Loads = true, f.placer.Changes(now)
	return near
}

// amongFew lets every instance tell every other one.
func (f *Follower) amongFew(now time.Time, all bool, bare beaconer.Beacon) []letter {
	near := letter{beacon: f.near(now, all || f.sequence%fullEvery == 0, bare)}
	far := letter{beacon: bare}
	for _, other := range f.instances {
		switch {
		case other.Region == f.self.Region:
			near.to = append(near.to, other.Peer)
		case all || f.sequence%regionEvery == 0:
			far.to = append(far.to, other.Peer)
		}
	}
	if len(far.to) > 0 {
		far.beacon.Spent, far.beacon.Levels = f.quotas.Spent(), f.quotas.Levels()
		far.beacon.Services = f.placer.Summaries(now)
	}
	return []letter{near, far}
}

// amongMany lets every instance tell those of its failure domain, and one of
// them the others.
func (f *Follower) amongMany(now time.Time, all bool, bare beaconer.Beacon) []letter {
	near := letter{beacon: f.near(now, all || f.sequence%domainEvery == 0, bare)}
	speaks := f.speaks(now)
	farewell := !speaks && f.domain.since != 0 // it stops
	region, far := letter{beacon: bare}, letter{beacon: bare}
	for _, other := range f.instances {
		switch {
		case other.FailureDomain == f.self.FailureDomain:
			near.to = append(near.to, other.Peer)
		case !speaks && !farewell:
		case other.Region == f.self.Region:
			if farewell || f.sequence%speechEvery == 0 {
				region.to = append(region.to, other.Peer)
			}
		case farewell || f.sequence%farSpeechEvery == 0:
			far.to = append(far.to, other.Peer)
		}
	}
	if len(region.to)+len(far.to) > 0 {
		f.speak(now, &region.beacon, &far.beacon)
	}
	if farewell {
		f.domain.since = 0
	}
	return []letter{near, region, far}
}

// speak fills in what is said for the whole failure domain.
func (f *Follower) speak(now time.Time, region, far *beaconer.Beacon) {
	said := *region
	said.Spent, said.Levels = f.quotas.Spent(), f.quotas.Levels()
	said = f.speech(now, said)
	*region, *far = said, said
	region.Loads = f.placer.NearLoads(now)
	region.Readings = f.placer.Readings(now, readingRepeats*speechEvery*beaconInterval, true)
	far.Services = f.placer.Summaries(now)
}

// hear takes in another entry instance's beacon.
func (f *Follower) hear(now time.Time, beacon beaconer.Beacon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if beacon.Name == f.self.Name {
		return
	}
	f.instances[beacon.Name] = instance{Instance: beacon.Instance, state: beacon.State, heard: now}
	if beacon.Zone != nil {
		f.hearZone(now, beacon)
		return
	}
	near := beacon.FailureDomain == f.self.FailureDomain
	if beacon.Changes {
		f.placer.HearChanges(now, beacon.Name, beacon.Loads)
		f.placer.HearReadings(now, near, beacon.Readings)
		return
	}
	if near {
		f.domain.note(beacon)
	}
	f.quotas.Hear(now, apportioner.Word{
		Name: beacon.Name, Incarnation: beacon.Incarnation, Spent: beacon.Spent, Levels: beacon.Levels,
	})
	if beacon.Region == f.self.Region {
		f.placer.HearLoads(now, beacon.Name, near, beacon.Loads)
		f.placer.HearReadings(now, near, beacon.Readings)
		return
	}
	if beacon.State == beaconer.StateReady {
		f.placer.HearRegion(now, beacon.Region, beacon.Services)
	}
}
