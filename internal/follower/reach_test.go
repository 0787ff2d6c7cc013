package follower

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// cutOff has an instance find out that it reaches no server.
func cutOff(f *Follower, now time.Time, watch *controlWatch) {
	var probes []placer.Probe
	for _, name := range []string{"x", "y"} {
		reported := server(registrar.StateReady, 1)
		reported.Name, reported.Address = name, netip.AddrPortFrom(reported.Address.Addr(), uint16(90+len(probes)))
		f.receiveReports(now, watch, reported)
		probes = append(probes, placer.Probe{Server: reported})
	}
	service, _ := f.View().Service("s")
	for id := range uint64(2) {
		request := placer.Request{ID: id + 1, Service: service, Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}
		f.placer.Place(now, request)
		f.placer.Finish(now, id+1, placer.OutcomeUnreachable)
	}
	f.placer.ServersToProbe(now)
	f.placer.RecordProbes(now, probes)
}

// TestCutOffInstanceIsSentRequests guards against instances that reach no server of their
// region and are still used as relays, represent their failure domain, or tell other regions
// that their region has no servers.
func TestCutOffInstanceIsSentRequests(t *testing.T) {
	f, _, _ := newFollower(t)
	now := time.Now()
	services := map[string]placer.ServiceSummary{"s": {Servers: 1}}
	receive := func(name, region string, isCutOff bool, services map[string]placer.ServiceSummary) {
		address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.2"), uint16(name[0]))
		f.receiveBeacon(now, beaconer.Beacon{
			State: beaconer.StateReady, CutOff: isCutOff, Services: services,
			Instance: beaconer.Instance{Name: name, Region: region, FailureDomain: region, RelayAddress: address},
		})
	}
	receive("b", "south", true, nil)
	_, known := f.RelayAddress("south", "")
	assert.Assert(t, !known)
	receive("c", "south", false, services)
	receive("b", "south", true, nil)
	address, _ := f.RelayAddress("south", "")
	assert.Equal(t, address.Port(), uint16('c'))
	assert.DeepEqual(t, f.placer.RemoteServers(now), map[[2]string]int{{"south", "s"}: 1})
	receive("c", "south", true, nil)
	assert.Equal(t, len(f.placer.RemoteServers(now)), 0)

	f.lifecycle = beaconer.StateReady
	receive("d", "north", true, nil)
	f.self.FailureDomain = "north"
	_, found := f.representative(now)
	assert.Assert(t, !found)
	f.updateHandover(now)
	receive("d", "north", false, nil)
	f.updateHandover(now)
	cutOff(f, now, f.controlWatches["north"])
	assert.Assert(t, f.placer.CutOff())
	other, found := f.representative(now)
	assert.Assert(t, found && other.Name == "d")
	assert.Equal(t, len(f.aggregateBeacon(now, beaconer.Beacon{}).Aggregate.Relays), 1)
	for _, outgoing := range f.dueBeacons(true) {
		assert.Assert(t, outgoing.beacon.CutOff)
	}
	receive("d", "north", true, nil)
	states, isCutOff := f.neighbourStates(now)
	assert.Assert(t, len(states) == 1 && isCutOff[beaconer.NameHash("d")])
}

// TestServerThatIsReachedIsProbed guards against a cut that does not end, and against a live
// server that counts as ended because this instance is cut off.
func TestServerThatIsReachedIsProbed(t *testing.T) {
	f, north, _ := newFollower(t)
	now := time.Now()
	cutOff(f, now, north)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	reached := server(registrar.StateReady, 1)
	reached.Name, reached.Address = "z", netip.MustParseAddrPort(listener.Addr().String())
	assert.Assert(t, f.AnnouncedSince(registrar.Server{Name: "x", StartedAtMillis: 1}, now.Add(-time.Second)))
	assert.Assert(t, !f.AnnouncedSince(registrar.Server{Name: "x", StartedAtMillis: 1}, now.Add(time.Second)))
	assert.Assert(t, !f.AnnouncedSince(registrar.Server{Name: "x", StartedAtMillis: 2}, now.Add(-time.Second)))
	f.receiveReports(now, north, reached)
	assert.Assert(t, f.ReachesOther(registrar.Server{Name: "x"}) && f.placer.CutOff())
	f.recordProbes(probe(t.Context(), []registrar.Server{reached}))
	assert.Assert(t, !f.placer.CutOff())
}
