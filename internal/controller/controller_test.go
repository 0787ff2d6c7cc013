package controller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/replicator"
)

// decode reads "VERSION" or "VERSION HOME", which binds one route.
func decode(document []byte) (definer.Definition, error) {
	version, home, _ := strings.Cut(string(document), " ")
	number, err := strconv.Atoi(version)
	if err != nil {
		return definer.Definition{}, trace.Wrap(definer.ErrInvalid, "not a number")
	}
	definition := definer.Definition{Version: definer.Version(number)}
	if home != "" {
		definition.Routes = []definer.Route{{Homes: []string{home}}}
	}
	return definition, nil
}

var lastAddress atomic.Uint32

// freeAddress returns an address of the loopback range that nothing else uses.
func freeAddress() netip.AddrPort {
	number := lastAddress.Add(1)
	process := uint32(os.Getpid())
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(192 + process%32), byte(1 + process/32%250), byte(1 + number%250)}), 7600)
}

// control is a running control instance.
type control struct {
	*Controller
	settings loader.Control
	stop     func()
}

// fleet is a number of control instances over loopback.
type fleet struct {
	t        *testing.T
	controls []*control
}

func settingsOf(t *testing.T, peer netip.AddrPort, seeds []netip.AddrPort) loader.Control {
	return loader.Control{
		Place:      loader.Place{Name: "control-" + strconv.Itoa(int(peer.Addr().As4()[3])), Region: "north", FailureDomain: "n"},
		DataFolder: t.TempDir(), Bootstrap: true, DiskLosses: 1,
		Fleet: loader.Fleet{PeerAddress: peer, Seeds: seeds, FailureDomains: map[string]string{"n": "north", "s": "south", "w": "west"}},
	}
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t}
	seeds := []netip.AddrPort{freeAddress(), freeAddress(), freeAddress()}
	for _, seed := range seeds {
		f.controls = append(f.controls, f.start(settingsOf(t, seed, seeds)))
	}
	return f
}

func (f *fleet) start(settings loader.Control) *control {
	client := messenger.NewPlainClient(certifier.Identity{Name: settings.Name, Role: certifier.RoleKeeper})
	c, err := New(settings, decode, client)
	assert.NilError(f.t, err)
	listener, err := net.Listen("tcp4", settings.PeerAddress.String())
	assert.NilError(f.t, err)
	mux := &messenger.Mux{}
	c.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 16)
	run := func(duty func(context.Context) error) {
		go func() {
			assert.Check(f.t, duty(ctx))
			done <- struct{}{}
		}()
	}
	duties := c.Duties()
	for _, duty := range duties {
		run(duty.Run)
	}
	run(messenger.NewPlainServer(listener, mux).Run)
	started := &control{Controller: c, settings: settings}
	started.stop = once(func() {
		cancel()
		client.Close()
		for range len(duties) + 1 {
			<-done
		}
	})
	f.t.Cleanup(started.stop)
	return started
}

// once makes a function run once.
func once(run func()) func() {
	var ran atomic.Bool
	return func() {
		if ran.CompareAndSwap(false, true) {
			run()
		}
	}
}

// eventually waits for a condition.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	const patience = 20 * time.Second
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); <-ticker.C {
		if holds() {
			return
		}
	}
	f.t.Fatalf("not in time: %s", what)
}

func (f *fleet) define(c *control, document string) {
	f.t.Helper()
	f.eventually("definition "+document, func() bool { return c.Define(f.t.Context(), []byte(document)) == nil })
}

func (f *fleet) reads(c *control, document string) {
	f.t.Helper()
	f.eventually("read of "+document, func() bool {
		got, err := c.Definition(f.t.Context())
		return err == nil && string(got) == document
	})
}

func voters(c *control) int {
	count := 0
	for _, member := range c.group.Status().Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// TestSelfManagedGroup founds a group, changes it, wipes one disk and replaces
// another instance by one at a new address, without an operator.
func TestSelfManagedGroup(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.define(f.controls[0], "5 north")
	f.define(f.controls[1], "3")
	for _, c := range f.controls {
		f.reads(c, "5 north")
	}
	assert.ErrorIs(t, f.controls[2].Define(t.Context(), []byte("nonsense")), definer.ErrInvalid)
	f.eventually("closed", func() bool { return f.controls[2].Close(t.Context(), "n", true) == nil })

	// A disk is lost; the process comes back without the right to found.
	f.controls[0].stop()
	again := f.controls[0].settings
	again.Bootstrap = false
	again.DataFolder = t.TempDir()
	f.controls[0] = f.start(again)
	f.eventually("a new store among the voters", func() bool {
		return f.controls[0].member(f.controls[0].identity.Store) && voters(f.controls[0]) == 3
	})
	f.reads(f.controls[0], "5 north")
	assert.DeepEqual(t, f.controls[0].machine.state().Closed, []string{"n"})

	// An instance is gone for good; another comes at a new address and knows
	// only the seeds.
	f.controls[1].stop()
	fresh := settingsOf(t, freeAddress(), f.controls[0].settings.Seeds)
	fresh.Bootstrap = false
	f.controls[1] = f.start(fresh)
	f.eventually("the replacement among the voters", func() bool {
		return f.controls[1].member(f.controls[1].identity.Store) && voters(f.controls[1]) == 3
	})
	f.define(f.controls[1], "9")
	f.reads(f.controls[2], "9")

	// Without a quorum nothing is read and nothing confirmed.
	f.controls[0].stop()
	f.controls[1].stop()
	_, err := f.controls[2].Definition(t.Context())
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.ErrorIs(t, f.controls[2].Define(t.Context(), []byte("10")), ErrUnavailable)
}

// TestRestartKeepsTheState stops all instances at once and starts them again.
func TestRestartKeepsTheState(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.define(f.controls[0], "7")
	for _, c := range f.controls {
		c.stop()
	}
	for i, c := range f.controls {
		f.controls[i] = f.start(c.settings)
	}
	f.reads(f.controls[2], "7")
}

var cmpAddrPort = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func instance(name, region, domain string) beaconer.Beacon {
	number := byte(len(name) + int(name[0]))
	return beaconer.Beacon{
		State: beaconer.StateReady,
		Instance: beaconer.Instance{
			Name: name, Region: region, FailureDomain: domain,
			Callers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 80),
		},
	}
}

// TestResolve names the nearest ready instances, and where a region has none,
// those of the region that the bound routes allow.
func TestResolve(t *testing.T) {
	c := &Controller{settings: loader.Control{}, decode: decode, machine: &machine{}, changed: make(chan struct{})}
	command, err := replicatedDefine("4 west")
	assert.NilError(t, err)
	c.machine.Apply(1, command)
	now := time.Now()
	names := map[netip.AddrPort]string{}
	for _, beacon := range []beaconer.Beacon{
		instance("a", "north", "n1"), instance("b", "north", "n2"), instance("c", "south", "s1"), instance("d", "west", "w1"),
	} {
		names[beacon.Callers] = beacon.Name
		c.Hear(now, beacon)
	}
	stopping := instance("e", "east", "e1")
	stopping.State = beaconer.StateStopping
	names[stopping.Callers] = "e"
	c.Hear(now, stopping)
	tests := []struct{ domain, region, want string }{
		{"n1", "north", "a"},
		{"n3", "north", "a b"},
		{"e1", "east", "d"},
		{"x1", "none", "d"},
	}
	for _, test := range tests {
		var got []string
		for _, address := range c.Resolve(test.domain, test.region) {
			got = append(got, names[address])
		}
		assert.Equal(t, strings.Join(got, " "), test.want, "%v", test)
	}
	gone := instance("d", "west", "w1")
	gone.State, gone.Sequence = beaconer.StateStopping, 2
	c.Hear(now, gone)
	assert.DeepEqual(t, c.Resolve("e1", "east"), []netip.AddrPort{stopping.Callers}, cmpAddrPort)
	c.places.expire(now.Add(farInstanceSilence+time.Second), "north")
	assert.Equal(t, len(c.Resolve("n1", "north")), 0)
}

func replicatedDefine(document string) ([]byte, error) {
	definition, err := decode([]byte(document))
	if err != nil {
		return nil, err
	}
	return encodeCommand(command{Define: &define{Version: definition.Version, Document: []byte(document)}})
}

// TestLeavingIsConfirmedOnceInstancesKnow holds word that a server leaves back
// until the entry instances of its region have taken it in.
func TestLeavingIsConfirmedOnceInstancesKnow(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := f.controls[0]
	beacon := instance("a", "north", "n")
	said := registrar.Server{Name: "s", Service: "x", FailureDomain: "n", Address: netip.MustParseAddrPort("10.0.0.9:80"), Born: 1, Counter: 1}
	assert.NilError(t, c.Announce(t.Context(), said))
	c.Hear(time.Now(), beacon)
	watching := WatchQuery{Name: "a", Region: "north"}
	news, err := c.serveWatch(t.Context(), certifier.Identity{}, watching)
	assert.NilError(t, err)
	watching = WatchQuery{Name: "a", Region: "north", Epoch: news.Epoch, Servers: news.ServersRevision, Places: news.PlacesRevision}

	confirmed := make(chan error, 1)
	said.State, said.Counter = registrar.StateLeaving, 2
	go func() { confirmed <- c.Announce(context.Background(), said) }()
	for news.Servers = nil; len(news.Servers) == 0; {
		// Other news, such as a control instance heard for the first time, may come
		// before.
		watching.Servers, watching.Places, watching.Index = news.ServersRevision, news.PlacesRevision, news.Index
		news, err = c.serveWatch(t.Context(), certifier.Identity{}, watching)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(news.Servers), 1)
	assert.Equal(t, news.Servers[0].State, registrar.StateLeaving)
	select {
	case <-confirmed:
		t.Fatal("confirmed before the instance had it")
	default:
	}
	watching.Servers = news.ServersRevision
	go func() { _, _ = c.serveWatch(context.Background(), certifier.Identity{}, watching) }()
	assert.NilError(t, <-confirmed)
}

// TestLoneInstanceDoesNotConfirm lets a server leave at a control instance that
// reaches neither the entry instances of its region nor the other ones.
func TestLoneInstanceDoesNotConfirm(t *testing.T) {
	f := newFleet(t)
	c := f.controls[0]
	f.controls[1].stop()
	f.controls[2].stop()
	assert.NilError(t, c.Announce(t.Context(), registrar.Server{Name: "s", FailureDomain: "n", Born: 1, Counter: 1}))
	c.Hear(time.Now(), instance("a", "north", "n"))
	assert.ErrorIs(t, c.Leave(t.Context(), "s", 0), ErrUnavailable)
}

// TestMachineKeepsTheHighestVersion applies definitions out of order and reads
// the state back from a snapshot.
func TestMachineKeepsTheHighestVersion(t *testing.T) {
	m := &machine{}
	for i, document := range []string{"4 a", "9 b", "7 c", "9 d"} {
		data, err := replicatedDefine(document)
		assert.NilError(t, err)
		m.Apply(replicator.Index(i+1), data)
	}
	data, err := encodeCommand(command{Close: &closing{FailureDomain: "n", Closed: true}})
	assert.NilError(t, err)
	m.Apply(9, data)
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	restored := &machine{}
	assert.NilError(t, restored.Restore(snapshot))
	want := State{Index: 9, Version: 9, Document: []byte("9 b"), Closed: []string{"n"}}
	assert.DeepEqual(t, restored.state(), want)
	assert.Equal(t, fmt.Sprint(m.state()), fmt.Sprint(want))
}
