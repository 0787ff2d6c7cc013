// Package follower keeps an entry instance's view of the fleet up to date. It
// watches the control instances, exchanges beacons with the other entry
// instances, and answers what a request needs to know from that local view.
//
// The state in force only moves forward. Any number of control instances can be
// watched at once: the newest state that any of them reports is applied, and a
// backend server is used while at least one of them still hears it and none has
// reported that it is leaving.
package follower

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/warden"
)

// Follower holds an entry instance's view of the fleet. It is safe for
// concurrent use.
type Follower struct {
	settings     loader.Entry
	decode       controller.Decoder
	client       *messenger.Client
	beaconSocket *beaconer.Socket
	self         beaconer.Instance
	// view is the definition in force; nil before the first.
	view      atomic.Pointer[definer.View]
	startTime time.Time
	// fetchRequested wakes the fetcher.
	fetchRequested chan struct{}
	// descriptionsRequested wakes the fetcher of descriptions.
	descriptionsRequested chan struct{}
	// quarantine may be locked while mu is held, but not the other way round.
	quarantine warden.Warden
	origins    origins

	mu sync.Mutex
	// lifecycle is this instance's own state, as its beacons report it.
	lifecycle beaconer.State
	// stateIndex, definitionVersion and document belong to the state whose
	// definition is in force.
	stateIndex        replicator.Index
	definitionVersion definer.Version
	document          []byte
	// knownIndex is the index of the newest state that a control instance has
	// reported, and closedDomains belongs to it. Its definition may still have to be
	// fetched; newer holds its version until then.
	knownIndex    replicator.Index
	closedDomains []string
	newer         newerVersions
	// undecodableIndex is the index of the last state whose document could not be
	// decoded.
	undecodableIndex replicator.Index
	// controlWatches holds the watched control instances by address, and
	// controlAddresses the addresses to watch.
	controlWatches   map[string]*controlWatch
	controlAddresses []string
	descriptions     descriptions
	// confirmedAt is the latest time of which this instance knows the newest definition
	// that had been accepted until then: it is in force here, or recorded in newer.
	confirmedAt time.Time
	// otherInstances and otherDomains are keyed by name.
	otherInstances map[string]entryInstance
	otherDomains   map[string]domainSummary
	// listedInstances holds the names of the entry instances in the newest list
	// from a control instance.
	listedInstances map[string]bool
	// merged is what the last merge of the servers' reports depended on.
	merged       mergeInputs
	ownDomain    domainAggregate
	digestsHeard digestView
	// reportedTo is the representative that got the last report.
	reportedTo     string
	placer         placer.Placer
	waiting        waitingRoom
	quotas         apportioner.Apportioner
	beaconSequence uint64
	watchAnswered  bool
	standstill     standstill
	// originsRestarted means that a control instance has started anew since origins were
	// last reported.
	originsRestarted bool
	// loggedConditions holds, by server name, the conditions when they were
	// last logged.
	loggedConditions map[string]string
	loggedLimits     loggedLimits
	skippedLogged    logger.RateLimiter
	claims           addressClaims
	// loggedRemoteServices holds the number of servers of each service in
	// another region, by region and service, when they were last logged.
	loggedRemoteServices map[[2]string]int
}

// controlWatch is a control instance that is watched, with what its answers
// said.
type controlWatch struct {
	epoch           int64
	serversRevision uint64
	peersRevision   uint64
	// quarantineRevision is the revision of the prompt parts plus 1; 0 at first.
	quarantineRevision uint64
	lastAnswer         time.Time
	// serversAsOf is the earliest time at which its last answer may have been given. The
	// answer may have arrived long after that, if this instance stood still.
	serversAsOf     time.Time
	reportsByServer map[string]serverReport
	// unresolved holds, by hash, the references that it sent and that lack descriptions.
	unresolved map[uint64]unresolvedReference
	// descriptionsFailedAt is when the last attempt to fetch descriptions from it failed;
	// zero if that succeeded, or there was none.
	descriptionsFailedAt time.Time
	cancel               func()
	// region is where the control instance runs; empty until its first answer.
	region string
	// listed holds the names of the entry instances that it lists.
	listed map[string]bool
	// mixed tells which services have several versions; nil before the first answer and
	// from a control instance of an earlier release.
	mixed *controller.MixedServices
	// index is that of the last state that it reported.
	index replicator.Index
	// fetchFailedAt is when the last attempt to fetch a definition from it failed;
	// zero if that succeeded, or there was none.
	fetchFailedAt time.Time
	// sendsDocuments means that it is of an earlier release: definitions cannot be
	// fetched from it, but come with the answers of watches.
	sendsDocuments bool
	// undecodable is the index of the last state that came so and cannot be decoded.
	undecodable replicator.Index
}

// queryIndex returns the index after which a watch asks for states. A state that was
// reported already is asked for again if only this control instance may have its
// definition.
func (f *Follower) queryIndex(watch *controlWatch) replicator.Index {
	if watch.sendsDocuments {
		return max(f.stateIndex, watch.undecodable)
	}
	return max(f.stateIndex, f.knownIndex)
}

// serverReport is a control instance's report of a backend server, and when it
// arrived.
type serverReport struct {
	registrar.Server
	receivedAt time.Time
}

// asOf returns the reported server with its age as of a later time.
func (r serverReport) asOf(now time.Time) registrar.Server {
	reported := r.Server
	reported.Age += now.Sub(r.receivedAt)
	return reported
}

// entryInstance is another entry instance of the fleet.
type entryInstance struct {
	beaconer.Instance
	state     beaconer.State
	lastHeard time.Time
	// cutOff means that it reaches no server of its region.
	cutOff bool
}

// New returns a follower that knows only its settings. Decode reads the
// documents of definitions. The follower does nothing until Run, SendBeacons,
// ReceiveBeacons and ProbeServers are called.
func New(settings loader.Entry, decode controller.Decoder, client *messenger.Client, socket *beaconer.Socket) *Follower {
	f := &Follower{
		settings: settings, decode: decode, client: client, beaconSocket: socket,
		startTime: time.Now(), fetchRequested: make(chan struct{}, 1), descriptionsRequested: make(chan struct{}, 1), lifecycle: beaconer.StateStarting, controlWatches: map[string]*controlWatch{}, otherInstances: map[string]entryInstance{},
		otherDomains: map[string]domainSummary{}, ownDomain: domainAggregate{spentByInstance: map[string]instanceSpending{}},
	}
	f.self = beaconer.Instance{
		Name: settings.Name, Region: settings.Region, FailureDomain: settings.FailureDomain,
		Incarnation: time.Now().UnixNano(), PeerAddress: settings.PeerAddress,
		CallerAddress: settings.CallerAddress, RelayAddress: settings.RelayAddress(),
	}
	f.placer.NeighboursKnownAt = f.startTime.Add(neighbourTime)
	f.placer.InstanceName, f.placer.Region, f.placer.FailureDomain = settings.Name, settings.Region, settings.FailureDomain
	f.quotas.FailureDomain = settings.FailureDomain
	for _, seed := range settings.SeedPeers() {
		f.controlAddresses = append(f.controlAddresses, seed.String())
	}
	return f
}

// View returns the definition in force, or nil before the first one has
// arrived.
func (f *Follower) View() *definer.View {
	return f.view.Load()
}

// Region returns the region of this instance.
func (f *Follower) Region() string {
	return f.settings.Region
}

// Ready reports whether this instance accepts callers' requests.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lifecycle == beaconer.StateReady
}

// neighbourTime is how long after a start, or after it stood still, an instance may not have
// heard all others of its failure domain: those that start with it need as long as it does.
const neighbourTime = time.Second

// startupPeriod is how long after its start an instance may not know
// everything yet that the others know: two periods of the servers' heartbeats.
const startupPeriod = 2400 * time.Millisecond

// RecentlyStarted reports whether this instance has started so recently that it
// may not know all servers and instances yet.
func (f *Follower) RecentlyStarted() bool {
	return time.Since(f.startTime) < startupPeriod
}

// updateReadiness makes a starting instance ready once it has a definition and
// a control instance has answered, which reports the servers. It waits for a newer
// definition that is known of, and for a control instance that is up to date, but not
// longer than the startup period. f.mu must be held.
func (f *Follower) updateReadiness() {
	confirmed := conductor.Elapsed(f.confirmedAt, time.Now()) < startupPeriod
	current := len(f.newer) == 0 && confirmed || !f.RecentlyStarted()
	if f.lifecycle == beaconer.StateStarting && f.view.Load() != nil && f.watchAnswered && current {
		f.lifecycle = beaconer.StateReady
		klog.InfoS("entry instance ready", "name", f.settings.Name, "version", f.definitionVersion)
	}
}

// Stop marks this instance as stopping and sends beacons that say so, which
// takes it out of the directory.
func (f *Follower) Stop() {
	f.mu.Lock()
	f.lifecycle = beaconer.StateStopping
	f.mu.Unlock()
	f.sendBeacons(true)
}

// controlContactTimeout is how long after its last answer a control instance is
// still considered in contact. Only control instances in contact count in
// deciding whether a server is silent.
const controlContactTimeout = 6 * time.Second

func (f *Follower) hasControlContact(now time.Time) bool {
	for _, watch := range f.controlWatches {
		if now.Sub(watch.lastAnswer) < controlContactTimeout {
			return true
		}
	}
	return false
}

// Place decides where a request runs. A placement at a backend server must be
// ended with Finish.
func (f *Follower) Place(request placer.Request) placer.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return copyServers(f.placer.Place(time.Now(), request))
}

// copyServers returns a decision whose servers later reports do not overwrite.
func copyServers(decision placer.Decision) placer.Decision {
	for _, server := range []**registrar.Server{&decision.Server, &decision.CopySource} {
		if *server != nil {
			copied := **server
			*server = &copied
		}
	}
	return decision
}

// RecordFirstEvent records that the first event of a placed request has
// arrived.
func (f *Follower) RecordFirstEvent(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.placer.RecordFirstEvent(now, id)
	f.serveWaiting(now)
}

// RecordNotice records what the server of a placed request says about itself.
func (f *Follower) RecordNotice(id uint64, notice placer.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.RecordNotice(time.Now(), id, notice)
}

// RecordOutput records that the response to a placed request was a stream of some events.
func (f *Follower) RecordOutput(id uint64, events int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.RecordOutput(time.Now(), id, events)
}

// Finish ends a placed request and records its outcome.
func (f *Follower) Finish(id uint64, outcome placer.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.placer.Finish(now, id, outcome)
	f.serveWaiting(now)
}

// FinishRelay records whether another region took a relayed request.
func (f *Follower) FinishRelay(id uint64, accepted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.FinishRelay(time.Now(), id, accepted)
}

// ChargeQuota charges a cost to a workspace's quota. If the quota does not
// allow it, ChargeQuota reports false and returns how long to wait before
// trying again.
func (f *Follower) ChargeQuota(workspace string, cost float64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quotas.Take(time.Now(), workspace, cost)
}

// RefundQuota returns to a workspace's quota the cost of a request that did not
// run.
func (f *Follower) RefundQuota(workspace string, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quotas.Refund(workspace, cost)
}

// instanceTimeout is how long after its last beacon another entry instance is
// still used as a relay. Beacons between regions are sent every 400 ms.
const instanceTimeout = 2 * time.Second

// InstanceCount returns the number of known entry instances, including this
// one.
func (f *Follower) InstanceCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.otherInstances) + 1
}

// RelayAddress returns the relay address of a ready entry instance of a region,
// picked at random among those heard within the last 2 s, or that of the one with a
// name unless the name is empty. It reports false if there is none.
func (f *Follower) RelayAddress(region, instance string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if instance != "" {
		other, known := f.otherInstances[instance]
		return other.RelayAddress, known && other.Region == region && other.state != beaconer.StateStopping
	}
	addresses := f.relayAddresses(time.Now(), region)
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// relayAddresses returns the relay addresses of the ready entry instances of a region that
// were heard lately, except for those that are cut off from its servers. f.mu must be held.
func (f *Follower) relayAddresses(now time.Time, region string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, other := range f.otherInstances {
		if other.Region == region && other.state == beaconer.StateReady && !other.cutOff && now.Sub(other.lastHeard) < instanceTimeout {
			addresses = append(addresses, other.RelayAddress)
		}
	}
	for _, domain := range f.otherDomains {
		if domain.region == region && now.Sub(domain.lastHeard) < instanceTimeout {
			addresses = append(addresses, domain.Relays...)
		}
	}
	return addresses
}
