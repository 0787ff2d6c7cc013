package follower

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// simulatedFleet is a fleet of followers in virtual time that exchange encoded beacons.
type simulatedFleet struct {
	t         *testing.T
	followers map[netip.AddrPort]*Follower
	traffic   map[*Follower]*traffic
	random    *rand.Rand
	placed    uint64
	// deaf is an instance that receives nothing; nil for none.
	deaf *Follower
}

// traffic is what one instance has sent and received.
type traffic struct {
	datagrams, bytes int
}

// newSimulatedFleet returns ready instances that know each other, in failure domains of
// two regions, before servers that all of a region use.
func newSimulatedFleet(t *testing.T, domains, perDomain, servers int) *simulatedFleet {
	fleet := &simulatedFleet{t: t, followers: map[netip.AddrPort]*Follower{}, traffic: map[*Follower]*traffic{}, random: rand.New(rand.NewPCG(1, 2))}
	var instances []beaconer.Instance
	for i := range domains * perDomain {
		domain := i % domains
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), byte(i >> 8), byte(i)}), 7600)
		place := loader.Place{Name: fmt.Sprintf("entry-domain-%02d-%03d", domain, i/domains), Region: fmt.Sprintf("region-%d", domain%2), FailureDomain: fmt.Sprintf("domain-%02d", domain)}
		f := New(loader.Entry{Place: place, Fleet: loader.Fleet{PeerAddress: address}}, decode, nil, nil)
		assert.NilError(t, f.applyState("test", controller.State{Index: 1, Version: 1, Document: []byte{1}}))
		f.lifecycle = beaconer.StateReady
		watch := &controlWatch{reportsByServer: map[string]serverReport{}, cancel: func() {}, region: place.Region}
		f.controlWatches["control"] = watch
		f.receiveReports(time.Now(), watch, manyServers(servers)...)
		f.quotas.SetQuotas(time.Now(), map[string]apportioner.Quota{"w": {Rate: 1e6, Burst: 1e6}})
		fleet.followers[address], fleet.traffic[f] = f, &traffic{}
		instances = append(instances, f.self)
	}
	for _, f := range fleet.followers {
		f.applyMembers(time.Now(), f.controlWatches["control"], controller.WatchAnswer{Instances: instances})
	}
	return fleet
}

func manyServers(count int) []registrar.Server {
	var servers []registrar.Server
	for i := range count {
		s := server(registrar.StateReady, 1)
		s.Name, s.Address = fmt.Sprintf("server-%03d", i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 0, byte(i)}), 80)
		servers = append(servers, s)
	}
	return servers
}

// run plays some time: every instance sends what is due, and places requests, of which
// two in three end after one or two seconds and the others never.
func (fleet *simulatedFleet) run(duration time.Duration, requestsPerSecond float64) {
	for range duration / beaconInterval {
		for _, f := range fleet.followers {
			if fleet.random.Float64() < requestsPerSecond*beaconInterval.Seconds() {
				fleet.place(f)
			}
			fleet.deliver(f, f.dueBeacons(false))
		}
		time.Sleep(beaconInterval)
	}
}

func (fleet *simulatedFleet) place(f *Follower) {
	fleet.placed++
	id, now := fleet.placed, time.Now()
	service := &f.View().Services[0]
	f.Place(placer.Request{ID: id, Service: service, LocalOnly: true, Objective: now.Add(time.Second), Deadline: now.Add(10 * time.Second)})
	f.quotas.Take(now, "w", 100)
	if fleet.random.IntN(3) > 0 {
		time.AfterFunc(time.Duration(1+fleet.random.IntN(2))*time.Second, func() { f.Finish(id, placer.OutcomeAnswered) })
	}
}

func (fleet *simulatedFleet) deliver(from *Follower, beacons []outgoingBeacon) {
	for _, outgoing := range beacons {
		data, err := cbor.Marshal(outgoing.beacon)
		assert.NilError(fleet.t, err)
		for _, address := range outgoing.addresses {
			fleet.count(from, len(data))
			to, alive := fleet.followers[address]
			if !alive || to == fleet.deaf {
				continue
			}
			fleet.count(to, len(data))
			var beacon beaconer.Beacon
			assert.NilError(fleet.t, cbor.Unmarshal(data, &beacon))
			to.receiveBeacon(time.Now(), beacon)
			fleet.deliver(to, to.passOn(time.Now(), beacon))
		}
	}
}

func (fleet *simulatedFleet) count(f *Follower, bytes int) {
	fleet.traffic[f].datagrams++
	fleet.traffic[f].bytes += bytes
}

// representatives returns the instances that represent their failure domains.
func (fleet *simulatedFleet) representatives() map[*Follower]bool {
	found := map[*Follower]bool{}
	for _, f := range fleet.followers {
		if f.ownDomain.representingSince != 0 {
			found[f] = true
		}
	}
	return found
}

// meanTraffic returns the traffic a second of an instance that represents nobody, over
// some seconds under load.
func (fleet *simulatedFleet) meanTraffic() (datagrams, bytes float64) {
	fleet.run(4*time.Second, 4)
	for _, seen := range fleet.traffic {
		*seen = traffic{}
	}
	const seconds = 4
	fleet.run(seconds*time.Second, 4)
	representatives := fleet.representatives()
	for f, seen := range fleet.traffic {
		if !representatives[f] {
			datagrams += float64(seen.datagrams)
			bytes += float64(seen.bytes)
		}
	}
	count := float64(len(fleet.followers)-len(representatives)) * seconds
	return datagrams / count, bytes / count
}

// TestTrafficOfInstanceDoesNotGrowWithNeighbours compares instances of failure domains of
// several sizes, before the same servers. What an instance sends and receives must not
// depend on how many others its domain has.
func TestTrafficOfInstanceDoesNotGrowWithNeighbours(t *testing.T) {
	cases := []struct {
		perDomain int
	}{{20}, {50}, {100}}
	var first float64
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			fleet := newSimulatedFleet(t, 2, c.perDomain, 50)
			datagrams, bytes := fleet.meanTraffic()
			t.Logf("%d instances a domain: %.0f datagrams and %.0f bytes a second", c.perDomain, datagrams, bytes)
			if first == 0 {
				first = datagrams
			}
			assert.Assert(t, datagrams <= 1.1*first, "%.1f datagrams a second, %.1f in the smallest domain", datagrams, first)
		})
	}
}

// TestCollectedLoadsMatchPlacedRequests has the instances of a large failure domain place
// requests, and its representative lost in the middle. Every instance must know the load
// of every server exactly once nothing changes any more, and spending must not be counted
// twice.
func TestCollectedLoadsMatchPlacedRequests(t *testing.T) {
	cases := []struct {
		name string
		// lost is the number of representatives that are lost one after another.
		lost int
	}{
		{"nobody lost", 0},
		{"representative lost", 1},
		{"two lost in turn", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newSimulatedFleet(t, 1, 40, 50)
				fleet.run(6*time.Second, 4)
				for range c.lost {
					for f := range fleet.representatives() {
						delete(fleet.followers, f.self.PeerAddress)
					}
					fleet.run(5*time.Second, 4)
				}
				fleet.run(3*time.Second, 0)
				assert.Equal(t, len(fleet.representatives()), 1)
				want := map[string]int32{}
				for _, f := range fleet.followers {
					for name, load := range f.placer.OwnLoads(time.Now()) {
						want[name] += load.Running
					}
				}
				assert.Assert(t, len(want) > 0)
				for _, f := range fleet.followers {
					got := map[string]int32{}
					for name, load := range f.placer.DomainLoads(time.Now()) {
						if load.Running > 0 {
							got[name] = load.Running
						}
					}
					assert.DeepEqual(t, got, want)
					level := f.quotas.Levels()["w"]
					assert.Assert(t, level > 0.95e6, "level %.0f", level)
				}
			})
		})
	}
}

// TestRepresentativeThatHearsNobodyIsNotFollowed cuts the way to the preferred
// representative of a failure domain: it sends digests, but hears nobody. Its digests, in
// which the work of all others is missing, must not replace what is known of them.
func TestRepresentativeThatHearsNobodyIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newSimulatedFleet(t, 1, 40, 50)
		fleet.run(4*time.Second, 4)
		for f := range fleet.representatives() {
			fleet.deaf = f
		}
		fleet.run(4*time.Second, 4)
		fleet.run(3*time.Second, 0)
		want := int32(0)
		for _, f := range fleet.followers {
			want += running(f.placer.OwnLoads(time.Now()))
		}
		missing := running(fleet.deaf.placer.OwnLoads(time.Now()))
		for _, f := range fleet.followers {
			if f != fleet.deaf {
				got := running(f.placer.DomainLoads(time.Now()))
				assert.Assert(t, got >= want-missing && got <= want, "%d requests known, %d running, %d of them at the deaf instance", got, want, missing)
			}
		}
	})
}

// running returns the number of running requests of some loads.
func running(loads map[string]placer.Load) int32 {
	sum := int32(0)
	for _, load := range loads {
		sum += load.Running
	}
	return sum
}
