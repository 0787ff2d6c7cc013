package follower

import (
	"context"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

const (
	// probeInterval is the time between two looks at which servers to probe.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe. It is that of a connection for a request.
	probeTimeout = 350 * time.Millisecond
	// otherProbes is how many other servers are tried to tell an end of a server from a
	// cut of this instance.
	otherProbes = 3
)

// ProbeServers tries connections to the servers that seem unreachable until the context
// ends, to find out whether this instance is cut off from all of them.
func (f *Follower) ProbeServers(ctx context.Context) error {
	return conductor.RunEvery(ctx, probeInterval, func(ctx context.Context) {
		f.mu.Lock()
		servers := f.placer.ServersToProbe(time.Now())
		f.mu.Unlock()
		if len(servers) > 0 {
			f.recordProbes(probe(ctx, servers))
		}
	})
}

// probe tries a connection to each server.
func probe(ctx context.Context, servers []registrar.Server) []placer.Probe {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probes := make([]placer.Probe, len(servers))
	var dials sync.WaitGroup
	for i, server := range servers {
		dials.Go(func() {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", server.Address.String())
			probes[i] = placer.Probe{Server: server, Reached: err == nil}
			if err == nil {
				_ = conn.Close()
			}
		})
	}
	dials.Wait()
	return probes
}

func (f *Follower) recordProbes(probes []placer.Probe) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := f.placer.CutOff()
	f.placer.RecordProbes(now, probes)
	if after := f.placer.CutOff(); after != before {
		klog.InfoS("instance is cut off from all servers", "cut-off", after, "probed", len(probes))
	}
	f.serveWaiting(now)
}

// ReachesOther reports whether this instance can open a connection to a server of its
// region other than the given one.
func (f *Follower) ReachesOther(than registrar.Server) bool {
	f.mu.Lock()
	servers := f.placer.OtherServers(than.Name, otherProbes)
	f.mu.Unlock()
	for _, result := range probe(context.Background(), servers) {
		if result.Reached {
			return true
		}
	}
	return false
}

// AnnouncedSince reports whether a start of a server has announced itself since a time.
func (f *Follower) AnnouncedSince(server registrar.Server, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, watch := range f.controlWatches {
		report, known := watch.reportsByServer[server.Name]
		if known && report.StartedAtMillis == server.StartedAtMillis && report.receivedAt.Add(-report.Age).After(since) {
			return true
		}
	}
	return false
}

// updateHandover tells the placer whether another instance of this region can take requests
// over. f.mu must be held.
func (f *Follower) updateHandover(now time.Time) {
	f.placer.SetHandover(len(f.relayAddresses(now, f.self.Region)) > 0)
}

// tellsServices reports whether the services in a beacon from another region count: an
// instance that is cut off knows none while others of its region reach them. f.mu must be
// held.
func (f *Follower) tellsServices(now time.Time, beacon beaconer.Beacon) bool {
	return !beacon.CutOff || len(f.relayAddresses(now, beacon.Region)) == 0
}
