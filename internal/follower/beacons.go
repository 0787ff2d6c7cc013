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
	// beaconInterval is the time between two beacons inside a region.
	beaconInterval = 100 * time.Millisecond
	// Every so many beacons one goes to other regions, and to the control
	// instances.
	regionEvery  = 4
	controlEvery = 3
	// quietEvery is for control instances of other regions in large fleets,
	// domainEvery inside a failure domain there, and the speeches go to the other
	// domains of the region and to other regions.
	quietEvery     = 10
	domainEvery    = 2
	speechEvery    = 4
	farSpeechEvery = 8
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
	to     netip.AddrPort
	beacon beaconer.Beacon
}

// sendBeacons sends the beacons that are due, or one to everybody.
func (f *Follower) sendBeacons(all bool) {
	for _, l := range f.due(all) {
		if err := f.port.Send(l.to, l.beacon); err != nil {
			klog.V(2).InfoS("beacon not sent", "to", l.to.String(), "err", logger.Reason(err))
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
	letters := f.toControls(all, bare)
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
func (f *Follower) toControls(all bool, bare beaconer.Beacon) []letter {
	var letters []letter
	for address, s := range f.sources {
		every := uint64(controlEvery)
		if f.quiet(s) {
			every = quietEvery
		}
		if to, err := netip.ParseAddrPort(address); err == nil && (all || f.sequence%every == 0) {
			letters = append(letters, letter{to: to, beacon: bare})
		}
	}
	return letters
}

// amongFew lets every instance tell every other one.
func (f *Follower) amongFew(now time.Time, all bool, bare beaconer.Beacon) []letter {
	far := bare
	far.Spent, far.Levels = f.quotas.Spent(), f.quotas.Levels()
	near := far
	near.Loads = f.placer.Loads()
	near.Readings = f.placer.Readings(now, readingRepeats*beaconInterval, false)
	far.Services = f.placer.Summaries(now)
	var letters []letter
	for _, other := range f.instances {
		switch {
		case other.Region == f.self.Region:
			letters = append(letters, letter{to: other.Peer, beacon: near})
		case all || f.sequence%regionEvery == 0:
			letters = append(letters, letter{to: other.Peer, beacon: far})
		}
	}
	return letters
}

// amongMany lets every instance tell those of its failure domain, and one of
// them the others.
func (f *Follower) amongMany(now time.Time, all bool, bare beaconer.Beacon) []letter {
	own := bare
	own.Spent, own.Levels = f.quotas.Spent(), f.quotas.Levels()
	near := own
	near.Loads = f.placer.Loads()
	near.Readings = f.placer.Readings(now, readingRepeats*domainEvery*beaconInterval, false)
	speaks := f.speaks(now)
	farewell := !speaks && f.domain.since != 0 // it stops
	var region, far beaconer.Beacon
	if speaks || farewell {
		region = f.speech(now, own)
		far = region
		region.Loads = f.placer.NearLoads(now)
		region.Readings = f.placer.Readings(now, readingRepeats*speechEvery*beaconInterval, true)
		far.Services = f.placer.Summaries(now)
	}
	var letters []letter
	for _, other := range f.instances {
		switch {
		case other.FailureDomain == f.self.FailureDomain:
			if all || f.sequence%domainEvery == 0 {
				letters = append(letters, letter{to: other.Peer, beacon: near})
			}
		case !speaks && !farewell:
		case other.Region == f.self.Region:
			if farewell || f.sequence%speechEvery == 0 {
				letters = append(letters, letter{to: other.Peer, beacon: region})
			}
		case farewell || f.sequence%farSpeechEvery == 0:
			letters = append(letters, letter{to: other.Peer, beacon: far})
		}
	}
	if farewell {
		f.domain.since = 0
	}
	return letters
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
