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

	"github.com/fxamacker/cbor/v2"
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

// decode decodes "VERSION" or "VERSION HOME"; the latter has one route that is
// bound to the region HOME.
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

// freeAddress returns a loopback address that differs between calls and between
// test processes.
func freeAddress() netip.AddrPort {
	number := lastAddress.Add(1)
	process := uint32(os.Getpid())
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(192 + process%32), byte(1 + process/32%250), byte(1 + number%250)}), 7600)
}

// control is a running control instance with a function that stops it and waits
// for its end.
type control struct {
	*Controller
	settings loader.Control
	stop     func()
}

// fleet is a group of control instances that communicate over loopback.
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

func (f *fleet) start(settings loader.Control, options ...messenger.Option) *control {
	client := messenger.NewPlainClient(certifier.Identity{Name: settings.Name, Role: certifier.RoleKeeper}, options...)
	c, err := New(settings, decode, client)
	assert.NilError(f.t, err)
	listener, err := net.Listen("tcp4", settings.PeerAddress.String())
	assert.NilError(f.t, err)
	mux := &messenger.Mux{}
	c.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 16)
	run := func(task func(context.Context) error) {
		go func() {
			assert.Check(f.t, task(ctx))
			done <- struct{}{}
		}()
	}
	tasks := c.Tasks()
	for _, task := range tasks {
		run(task.Run)
	}
	run(messenger.NewPlainServer(listener, mux).Run)
	started := &control{Controller: c, settings: settings}
	started.stop = once(func() {
		cancel()
		client.Close()
		for range len(tasks) + 1 {
			<-done
		}
	})
	f.t.Cleanup(started.stop)
	return started
}

// once returns a function that calls run on its first call only.
func once(run func()) func() {
	var ran atomic.Bool
	return func() {
		if ran.CompareAndSwap(false, true) {
			run()
		}
	}
}

// eventually polls a condition until it holds and fails the test after 20 s.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	const timeout = 20 * time.Second
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); <-ticker.C {
		if condition() {
			return
		}
	}
	f.t.Fatalf("condition not met in time: %s", what)
}

func (f *fleet) waitDefined(c *control, document string) {
	f.t.Helper()
	f.eventually("definition "+document, func() bool { return c.Define(f.t.Context(), []byte(document)) == nil })
}

func (f *fleet) waitReads(c *control, document string) {
	f.t.Helper()
	f.eventually("read of "+document, func() bool {
		got, err := c.Definition(f.t.Context())
		return err == nil && string(got) == document
	})
}

func voterCount(c *control) int {
	count := 0
	for _, member := range c.group.Status().Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// TestGroupReplacesLostMembers guards against a group that cannot replace a lost
// member without an operator. One member loses its disk, another is replaced by
// an instance at a new address; the state must survive both, and a member without
// a quorum must confirm neither reads nor changes.
func TestGroupReplacesLostMembers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.waitDefined(f.controls[0], "5 north")
	f.waitDefined(f.controls[1], "3")
	for _, c := range f.controls {
		f.waitReads(c, "5 north")
	}
	assert.ErrorIs(t, f.controls[2].Define(t.Context(), []byte("nonsense")), definer.ErrInvalid)
	f.eventually("closed", func() bool { return f.controls[2].SetFailureDomainClosed(t.Context(), "n", true, 0) == nil })

	// A member loses its disk and restarts without bootstrap.
	f.controls[0].stop()
	restarted := f.controls[0].settings
	restarted.Bootstrap = false
	restarted.DataFolder = t.TempDir()
	f.controls[0] = f.start(restarted)
	f.eventually("a new store among the voters", func() bool {
		return f.controls[0].isMember(f.controls[0].identity.Store) && voterCount(f.controls[0]) == 3
	})
	f.waitReads(f.controls[0], "5 north")
	assert.DeepEqual(t, f.controls[0].machine.state().ClosedDomains, []string{"n"})

	// A member is removed for good. Its replacement has a new address and knows
	// only the seeds.
	f.controls[1].stop()
	replacement := settingsOf(t, freeAddress(), f.controls[0].settings.Seeds)
	replacement.Bootstrap = false
	f.controls[1] = f.start(replacement)
	f.eventually("the replacement among the voters", func() bool {
		return f.controls[1].isMember(f.controls[1].identity.Store) && voterCount(f.controls[1]) == 3
	})
	f.waitDefined(f.controls[1], "9")
	f.waitReads(f.controls[2], "9")

	// Without a quorum, reads and changes fail.
	f.controls[0].stop()
	f.controls[1].stop()
	_, err := f.controls[2].Definition(t.Context())
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.ErrorIs(t, f.controls[2].Define(t.Context(), []byte("10")), ErrUnavailable)
}

// TestRestartKeepsState guards against the loss of the definition when all control
// instances are stopped and started again.
func TestRestartKeepsState(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.waitDefined(f.controls[0], "7")
	for _, c := range f.controls {
		c.stop()
	}
	for i, c := range f.controls {
		f.controls[i] = f.start(c.settings)
	}
	f.waitReads(f.controls[2], "7")
}

var cmpAddrPort = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func readyBeacon(name, region, domain string) beaconer.Beacon {
	number := byte(len(name) + int(name[0]))
	return beaconer.Beacon{
		State: beaconer.StateReady,
		Instance: beaconer.Instance{
			Name: name, Region: region, FailureDomain: domain,
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 80),
		},
	}
}

// TestResolve checks the order of preference: the nearest ready instances, then,
// for a region without any, those of the region that may serve the bound routes,
// then stopping instances of the caller's region.
func TestResolve(t *testing.T) {
	c := &Controller{settings: loader.Control{}, decode: decode, machine: &stateMachine{}, changed: make(chan struct{})}
	command, err := encodedDefine("4 west")
	assert.NilError(t, err)
	c.machine.Apply(1, command)
	now := time.Now()
	names := map[netip.AddrPort]string{}
	for _, beacon := range []beaconer.Beacon{
		readyBeacon("a", "north", "n1"), readyBeacon("b", "north", "n2"), readyBeacon("c", "south", "s1"), readyBeacon("d", "west", "w1"),
	} {
		names[beacon.CallerAddress] = beacon.Name
		c.HandleBeacon(now, beacon)
	}
	stopping := readyBeacon("e", "east", "e1")
	stopping.State = beaconer.StateStopping
	names[stopping.CallerAddress] = "e"
	c.HandleBeacon(now, stopping)
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
	stoppingWest := readyBeacon("d", "west", "w1")
	stoppingWest.State, stoppingWest.Sequence = beaconer.StateStopping, 2
	c.HandleBeacon(now, stoppingWest)
	assert.DeepEqual(t, c.Resolve("e1", "east"), []netip.AddrPort{stopping.CallerAddress}, cmpAddrPort)
	c.peers.expire(now.Add(remoteInstanceTimeout+time.Second), "north")
	assert.Equal(t, len(c.Resolve("n1", "north")), 0)
}

func encodedDefine(document string) ([]byte, error) {
	definition, err := decode([]byte(document))
	if err != nil {
		return nil, err
	}
	return encodeCommand(command{Define: &defineCommand{Version: definition.Version, Document: []byte(document)}})
}

// TestDepartureIsConfirmedAfterPropagation guards against confirming a server's
// departure while an entry instance of its region, which may still send it
// requests, has not acknowledged it with its next watch query.
func TestDepartureIsConfirmedAfterPropagation(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := f.controls[0]
	beacon := readyBeacon("a", "north", "n")
	announcement := registrar.Server{Name: "s", Service: "x", FailureDomain: "n", Address: netip.MustParseAddrPort("10.0.0.9:80"), StartedAtMillis: 1, Counter: 1}
	assert.NilError(t, c.Announce(t.Context(), announcement))
	c.HandleBeacon(time.Now(), beacon)
	query := WatchQuery{Name: "a", Region: "north"}
	answer, err := c.serveWatch(t.Context(), certifier.Identity{}, query)
	assert.NilError(t, err)
	query = WatchQuery{Name: "a", Region: "north", Epoch: answer.Epoch, ServersRevision: answer.ServersRevision, PeersRevision: answer.PeersRevision}

	confirmed := make(chan error, 1)
	announcement.State, announcement.Counter = registrar.StateLeaving, 2
	go func() { confirmed <- c.Announce(context.Background(), announcement) }()
	for answer.Servers = nil; len(answer.Servers) == 0; {
		// Other changes, such as a new control instance, may be reported before.
		query.ServersRevision, query.PeersRevision, query.Index = answer.ServersRevision, answer.PeersRevision, answer.Index
		answer, err = c.serveWatch(t.Context(), certifier.Identity{}, query)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(answer.Servers), 1)
	assert.Equal(t, answer.Servers[0].State, registrar.StateLeaving)
	select {
	case <-confirmed:
		t.Fatal("departure confirmed before the entry instance acknowledged it")
	default:
	}
	query.ServersRevision = answer.ServersRevision
	go func() { _, _ = c.serveWatch(context.Background(), certifier.Identity{}, query) }()
	assert.NilError(t, <-confirmed)
}

// TestIsolatedControlDoesNotConfirmDeparture guards against confirming a server's
// departure at a control instance that reaches neither the entry instances of the
// server's region nor another control instance.
func TestIsolatedControlDoesNotConfirmDeparture(t *testing.T) {
	f := newFleet(t)
	c := f.controls[0]
	f.controls[1].stop()
	f.controls[2].stop()
	assert.NilError(t, c.Announce(t.Context(), registrar.Server{Name: "s", FailureDomain: "n", StartedAtMillis: 1, Counter: 1}))
	c.HandleBeacon(time.Now(), readyBeacon("a", "north", "n"))
	assert.ErrorIs(t, c.Leave(t.Context(), "s", 0), ErrUnavailable)
}

// TestStateMachineKeepsHighestVersion guards against an older or repeated version
// that replaces the current definition, and against a snapshot that loses part of
// the state.
func TestStateMachineKeepsHighestVersion(t *testing.T) {
	m := &stateMachine{}
	for i, document := range []string{"4 a", "9 b", "7 c", "9 d"} {
		data, err := encodedDefine(document)
		assert.NilError(t, err)
		m.Apply(replicator.Index(i+1), data)
	}
	data, err := encodeCommand(command{CloseDomain: &closeCommand{FailureDomain: "n", Closed: true}})
	assert.NilError(t, err)
	m.Apply(9, data)
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	restored := &stateMachine{}
	assert.NilError(t, restored.Restore(snapshot))
	want := State{Index: 9, Version: 9, Document: []byte("9 b"), ClosedDomains: []string{"n"}}
	assert.DeepEqual(t, restored.state(), want)
	assert.Equal(t, restored.lastOrder("n").revision, replicator.Index(9))
	assert.Equal(t, fmt.Sprint(m.state()), fmt.Sprint(want))
	earlier, err := cbor.Marshal(want) // as earlier releases encode it
	assert.NilError(t, err)
	assert.NilError(t, restored.Restore(earlier))
	assert.DeepEqual(t, restored.state(), want)
}
