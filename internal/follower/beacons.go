package follower

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

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

func (f *Follower) due(all bool) []letter {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	now := time.Now()
	far := beaconer.Beacon{Instance: f.self, State: f.state, Sequence: f.sequence}
	control := far
	far.Spent, far.Levels = f.quotas.Spent(), f.quotas.Levels()
	far.Services = f.placer.Summaries(now)
	near := far
	near.Services = nil
	near.Loads = f.placer.Loads()
	var letters []letter
	for name, other := range f.instances {
		if other.state == beaconer.StateStopping && now.Sub(other.heard) > instanceSilence {
			f.quotas.Forget(name) // it has ended in order and spends nothing more
		}
		switch {
		case now.Sub(other.heard) > instanceMemory:
			delete(f.instances, name)
		case other.Region == f.self.Region:
			letters = append(letters, letter{to: other.Peer, beacon: near})
		case all || f.sequence%regionEvery == 0:
			letters = append(letters, letter{to: other.Peer, beacon: far})
		}
	}
	if all || f.sequence%controlEvery == 0 {
		for address := range f.sources {
			if to, err := netip.ParseAddrPort(address); err == nil {
				letters = append(letters, letter{to: to, beacon: control})
			}
		}
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
	f.quotas.Hear(now, beacon.Name, beacon.Incarnation, beacon.Spent, beacon.Levels)
	if beacon.Region == f.self.Region {
		f.placer.HearLoads(now, beacon.Name, beacon.Loads)
		return
	}
	if beacon.State == beaconer.StateReady {
		f.placer.HearRegion(now, beacon.Region, beacon.Services)
	}
}
