// Package follower keeps an entry instance in step with its fleet: it follows
// the control instances, exchanges beacons with the other entry instances, and
// answers the questions of each request from what it holds.
//
// The one idea: what is in force moves only forward. Any number of control
// instances may be followed at once; the newest state of any of them counts,
// and a server is used while one of them still hears it and none has heard that
// it leaves.
package follower

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/replicator"
)

// Follower holds what an entry instance knows. It is safe for concurrent use.
type Follower struct {
	settings loader.Entry
	decode   controller.Decoder
	client   *messenger.Client
	port     *beaconer.Port
	self     beaconer.Instance
	view     atomic.Pointer[definer.View]
	started  time.Time

	mu        sync.Mutex
	state     beaconer.State
	index     replicator.Index
	version   definer.Version
	closed    []string
	sources   map[string]*source
	controls  []string
	instances map[string]instance
	zones     map[string]zone
	// named are the instances that the control instances know of.
	named    map[string]bool
	domain   domain
	placer   placer.Placer
	quotas   apportioner.Apportioner
	sequence uint64
	supplied bool
	// conditions of the servers when they were last logged.
	conditions map[string]string
	// regions are the services of other regions that were heard then.
	regions map[[2]string]int
}

// source is one control instance that is followed.
type source struct {
	epoch   int64
	servers uint64
	places  uint64
	heard   time.Time
	said    map[string]word
	cancel  func()
	// region is where it runs, once it has said so; behind is since when it has
	// told of a state that this instance lacks.
	region string
	behind time.Time
}

// word is what a control instance said of a server, and when.
type word struct {
	registrar.Server
	taken time.Time
}

// at returns the word with its age as of a later time.
func (w word) at(now time.Time) registrar.Server {
	said := w.Server
	said.Age += now.Sub(w.taken)
	return said
}

// instance is another entry instance.
type instance struct {
	beaconer.Instance
	state beaconer.State
	heard time.Time
}

// New returns a follower that knows only its settings.
func New(settings loader.Entry, decode controller.Decoder, client *messenger.Client, port *beaconer.Port) *Follower {
	f := &Follower{
		settings: settings, decode: decode, client: client, port: port,
		started: time.Now(), state: beaconer.StateStarting, sources: map[string]*source{}, instances: map[string]instance{},
		zones: map[string]zone{}, domain: domain{spent: map[string]spending{}},
	}
	f.self = beaconer.Instance{
		Name: settings.Name, Region: settings.Region, FailureDomain: settings.FailureDomain,
		Incarnation: time.Now().UnixNano(), Peer: settings.PeerAddress,
		Callers: settings.CallerAddress, Relay: settings.RelayAddress(),
	}
	f.placer.Self, f.placer.Region, f.placer.FailureDomain = settings.Name, settings.Region, settings.FailureDomain
	for _, seed := range settings.SeedPeers() {
		f.controls = append(f.controls, seed.String())
	}
	return f
}

// View returns the definition in force, or nil before the first.
func (f *Follower) View() *definer.View {
	return f.view.Load()
}

// Region is where this instance is.
func (f *Follower) Region() string {
	return f.settings.Region
}

// Ready reports whether this instance takes callers.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state == beaconer.StateReady
}

// settleTime is how long after its start an instance may still lack what others
// know: two periods of the servers' heartbeats.
const settleTime = 2400 * time.Millisecond

// Settling reports whether this instance has started so lately that it may not
// have heard of all that there is.
func (f *Follower) Settling() bool {
	return time.Since(f.started) < settleTime
}

// settle makes a starting instance ready once it has a definition and has heard
// of the servers. The lock must be held.
func (f *Follower) settle() {
	if f.state == beaconer.StateStarting && f.view.Load() != nil && f.supplied {
		f.state = beaconer.StateReady
		klog.InfoS("entry instance ready", "name", f.settings.Name, "version", f.version)
	}
}

// Stop takes this instance out of the directory.
func (f *Follower) Stop() {
	f.mu.Lock()
	f.state = beaconer.StateStopping
	f.mu.Unlock()
	f.sendBeacons(true)
}

// take puts a state in force if it is newer. The lock must be held.
func (f *Follower) take(from string, state controller.State) error {
	if state.Index <= f.index {
		return nil
	}
	now := time.Now()
	if state.Version > f.version {
		if state.Document == nil {
			return nil // it comes with the next answer
		}
		definition, err := f.decode(state.Document)
		if err != nil {
			return trace.Wrap(err, "version %d from %s", state.Version, from)
		}
		view := definer.NewView(definition)
		f.quotas.Set(now, quotasOf(definition))
		f.view.Store(view)
		f.version = state.Version
	}
	f.index, f.closed = state.Index, state.Closed
	f.placer.Close(now, state.Closed)
	f.learn(now)
	klog.InfoS("state in force", "index", f.index, "version", f.version, "closed", f.closed, "from", from)
	return nil
}

func quotasOf(definition definer.Definition) map[string]apportioner.Quota {
	quotas := map[string]apportioner.Quota{}
	for _, workspace := range definition.Workspaces {
		if workspace.Rate > 0 {
			quotas[workspace.Name] = apportioner.Quota{Rate: workspace.Rate, Burst: workspace.Burst}
		}
	}
	return quotas
}

// sourceContact is how long what a control instance says of a server's silence
// counts after it was last heard.
const sourceContact = 6 * time.Second

// learn joins what the sources say of the servers. The lock must be held.
func (f *Follower) learn(now time.Time) {
	view := f.view.Load()
	if view == nil {
		return
	}
	newest := map[string]registrar.Server{}
	heard := map[string]bool{}
	for _, source := range f.sources {
		contact := now.Sub(source.heard) < sourceContact
		for name, taken := range source.said {
			said := taken.at(now)
			if best, known := newest[name]; !known || said.Newer(best) {
				newest[name] = said
			}
			heard[name] = heard[name] || contact && !said.Silent
		}
	}
	inContact := f.inContact(now)
	owners := map[netip.AddrPort]registrar.Server{}
	for name, said := range newest {
		said.Silent = inContact && !heard[name]
		newest[name] = said
		if owner, taken := owners[said.Address]; said.State != registrar.StateGone && (!taken || said.Born > owner.Born) {
			owners[said.Address] = said
		}
	}
	var servers []registrar.Server
	for _, said := range newest {
		if said.State != registrar.StateGone && owners[said.Address].Name == said.Name {
			servers = append(servers, said)
		}
	}
	f.placer.Learn(now, view, servers)
}

func (f *Follower) inContact(now time.Time) bool {
	for _, source := range f.sources {
		if now.Sub(source.heard) < sourceContact {
			return true
		}
	}
	return false
}

// Place decides where a request runs.
func (f *Follower) Place(request placer.Request) placer.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placer.Place(time.Now(), request)
}

// Began notes the first event of a placed request.
func (f *Follower) Began(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.Began(time.Now(), id)
}

// Done ends a placed request.
func (f *Follower) Done(id uint64, outcome placer.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.Done(time.Now(), id, outcome)
}

// Spend charges a workspace, or returns when to come back.
func (f *Follower) Spend(workspace string, cost float64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quotas.Take(time.Now(), workspace, cost)
}

// Refund gives back what a request that did not run was charged.
func (f *Follower) Refund(workspace string, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quotas.Refund(workspace, cost)
}

// instanceSilence is how long another entry instance may be unheard and still
// be relayed to. Beacons between regions come every 400 ms.
const instanceSilence = 2 * time.Second

// Instances returns how many entry instances are known, this one among them.
func (f *Follower) Instances() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.instances) + 1
}

// Relay returns the relay address of a ready entry instance of a region, drawn
// among those heard lately.
func (f *Follower) Relay(region string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []netip.AddrPort
	now := time.Now()
	for _, other := range f.instances {
		if other.Region == region && other.state == beaconer.StateReady && now.Sub(other.heard) < instanceSilence {
			addresses = append(addresses, other.Relay)
		}
	}
	for _, other := range f.zones {
		if other.region == region && now.Sub(other.heard) < instanceSilence {
			addresses = append(addresses, other.Relays...)
		}
	}
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return addresses[rand.IntN(len(addresses))], true
}
