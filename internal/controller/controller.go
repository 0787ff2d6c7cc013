// Package controller implements a control instance. Control instances form a
// replication group without help from an operator: they bootstrap it, admit new
// stores to it, keep the current definition, receive the announcements of
// backend servers, and answer the watches of entry instances.
//
// State that must survive failures (the definition and the closed failure
// domains) goes through the replicated log. The servers and the entry instances
// are soft state that is announced again about every second; control instances
// exchange it, and any of them can lose it.
package controller

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/journaler"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/replicator"
)

// ErrUnavailable means that no quorum could be reached in time. A change that
// fails with it may still be accepted later; a read that fails with it has no
// result.
var ErrUnavailable = errors.New("no quorum of control instances answers")

// Decoder decodes the document that an operator sent into a definition. Its
// errors wrap definer.ErrInvalid.
type Decoder func(document []byte) (definer.Definition, error)

// Errors that a remote call returns to its caller as the same sentinel error.
var (
	_ = messenger.RegisterError("state-unavailable", ErrUnavailable)
	_ = messenger.RegisterError("state-not-leader", replicator.ErrNotLeader)
	_ = messenger.RegisterError("state-unknown", replicator.ErrOutcomeUnknown)
)

// groupName names the replication group that holds the state.
const groupName = "state"

// Timing of the replication group.
const (
	// electionTimeout is the shortest time without a message from the leader
	// before an election. It allows for some round trips between regions and a
	// few lost messages.
	electionTimeout = 600 * time.Millisecond
	// diskRetry is the delay before a failed disk write is retried.
	diskRetry = 200 * time.Millisecond
	// callTimeout bounds one call between control instances. It is less than the
	// second that operators wait for an answer.
	callTimeout = 900 * time.Millisecond
)

// Controller is a control instance. It is safe for concurrent use.
type Controller struct {
	settings  loader.Control
	decode    Decoder
	client    *messenger.Client
	identity  *replicator.Identity
	machine   *stateMachine
	documents documentCache
	group     *replicator.Group
	transport *transport
	// epoch identifies this start of the process, in nanoseconds of Unix time:
	// the revisions of servers and peers begin anew with each start.
	epoch int64
	// readLogLimiter limits the log lines about reads of the definition.
	readLogLimiter logger.RateLimiter
	pauses         conductor.Pauses

	mu sync.Mutex
	// refusedOrders holds when orders were refused that must be sent again.
	refusedOrders map[refusedOrder]time.Time

	servers registrar.Table
	peers   peerTable
	// quarantine holds what entry instances reported of prompt parts that crash
	// servers. pendingEvidence is not yet sent to the other control instances, and
	// publishedEvidence is the revision that waiting watches have been woken for.
	quarantine        quarantiner.Table
	pendingEvidence   []quarantiner.Part
	publishedEvidence uint64
	// quarantineDigests holds the last digest of the other control instances' tables, by
	// address.
	quarantineDigests map[string]uint64
	origins           originKeeper
	// pendingForwards are announcements not yet sent to the other control
	// instances.
	pendingForwards []registrar.Server
	// acceptsReferences holds the peer addresses of the control instances that know
	// references to servers.
	acceptsReferences map[string]bool
	// changed is closed and replaced whenever a waiting watch must check for
	// changes.
	changed chan struct{}
	wakeUps wakeUps

	metrics       Metrics
	refusedLogged logger.RateLimiter
}

// Metrics counts events by name. It must be safe for concurrent use.
type Metrics interface {
	Count(name string)
}

// UseMetrics makes the control instance count events. It must be called before its tasks
// are started.
func (c *Controller) UseMetrics(metrics Metrics) {
	c.metrics = metrics
}

// New returns a control instance with the state read from its disk. Errors name
// the setting data-folder. The tasks that Tasks returns must be started by the
// caller.
func New(settings loader.Control, decode Decoder, client *messenger.Client) (*Controller, error) {
	c := &Controller{
		settings: settings, decode: decode, client: client, machine: &stateMachine{},
		epoch: time.Now().UnixNano(), changed: make(chan struct{}), quarantineDigests: map[string]uint64{}, refusedOrders: map[refusedOrder]time.Time{},
		origins: originKeeper{mixed: newMixedServices(nil, true)},
	}
	c.peers.seeds = settings.SeedPeers()
	if err := c.open(); err != nil {
		return nil, err
	}
	return c, nil
}

// open reads the disk. A disk that is corrupt or has lost data is emptied: its
// store then gets a new identity and must be admitted to the group again.
func (c *Controller) open() error {
	disk, err := journaler.OpenFolder(c.settings.DataFolder)
	if err != nil {
		return trace.Wrap(err, "data-folder")
	}
	err = c.openGroup(disk)
	if errors.Is(err, journaler.ErrCorrupt) || errors.Is(err, replicator.ErrDiskLost) {
		klog.ErrorS(err, "disk not trusted: emptied, this store joins anew", "folder", c.settings.DataFolder)
		if err := disk.Clear(); err != nil {
			return trace.Wrap(err, "data-folder")
		}
		err = c.openGroup(disk)
	}
	if err == nil {
		c.loadQuarantine(disk)
	}
	return trace.Wrap(err, "data-folder")
}

func (c *Controller) openGroup(disk journaler.Disk) error {
	var err error
	if c.isFounder() {
		c.identity, err = replicator.OpenIdentityAs(disk, founderStoreID(c.settings.PeerAddress))
	} else {
		c.identity, err = replicator.OpenIdentity(disk)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	c.transport = newTransport(c.settings.PeerAddress.String(), c.identity.Store, c.client)
	c.group, err = replicator.Open(c.identity, groupName, c.machine, c.transport,
		replicator.WithTargetVoters(2*c.settings.DiskLosses+1), replicator.WithElectionTimeout(electionTimeout))
	if err != nil {
		return trace.Wrap(err)
	}
	c.group.RetryWrites(diskRetry)
	return nil
}

// Task is a background task. Run blocks until its context ends or it fails.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Tasks returns the background tasks of the control instance. The caller must
// run each in its own goroutine.
func (c *Controller) Tasks() []Task {
	return []Task{
		{Name: "quorum", Run: c.group.Run},
		{Name: "couriers", Run: c.transport.run},
		{Name: "member", Run: c.runMember},
		{Name: "notifier", Run: c.runNotifier},
		{Name: "exchange", Run: c.runExchange},
		{Name: "spread", Run: c.runForwardAndExpire},
		{Name: "quarantine", Run: c.runQuarantine},
		{Name: "quarantine-file", Run: c.runSaveQuarantine},
		{Name: "origins", Run: c.runOrigins},
		{Name: "pauses", Run: c.pauses.Run},
	}
}

// Register adds the handlers for calls from control instances and entry
// instances to a mux.
func (c *Controller) Register(mux *messenger.Mux) {
	controls := []certifier.Role{certifier.RoleKeeper}
	gates := []certifier.Role{certifier.RoleGate}
	messenger.Handle(mux, methodReplicate, controls, c.serveReplicate)
	messenger.Handle(mux, methodPropose, controls, c.servePropose)
	messenger.Handle(mux, methodRead, controls, c.serveRead)
	messenger.Handle(mux, methodJoin, controls, c.serveJoin)
	messenger.Handle(mux, methodExchange, controls, c.serveExchange)
	messenger.Handle(mux, methodForward, controls, c.serveForward)
	messenger.Handle(mux, methodDescribe, controls, c.serveServers)
	messenger.Handle(mux, MethodWatch, gates, c.serveWatch)
	messenger.Handle(mux, MethodDocument, gates, c.serveDocument)
	messenger.Handle(mux, MethodServers, gates, c.serveServers)
	messenger.Handle(mux, MethodReportEvidence, gates, c.serveReportEvidence)
	messenger.Handle(mux, methodForwardEvidence, controls, c.serveForwardEvidence)
	messenger.Handle(mux, MethodReportOrigins, gates, c.serveReportOrigins)
	messenger.Handle(mux, MethodOrigin, gates, c.serveOrigin)
	messenger.Handle(mux, methodOrderRefused, controls, c.serveOrderRefused)
	messenger.Handle(mux, methodForwardOrigins, controls, c.serveForwardOrigins)
}

// SetSeeds replaces the seeds: the peer addresses of control instances that are
// contacted before any other is known.
func (c *Controller) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers.seeds = seeds
	c.notifyWatchers()
}

// TransferLeadership transfers leadership of the group before a graceful
// shutdown, if this instance leads and is not the only member. It waits until
// another instance has taken over or the context ends.
func (c *Controller) TransferLeadership(ctx context.Context) {
	if !c.group.IsLeader() || len(c.group.Status().Members) < 2 {
		return
	}
	if err := c.group.TransferLeadership(ctx); err != nil {
		klog.ErrorS(err, "leadership transfer failed")
		return
	}
	for c.group.IsLeader() {
		select {
		case <-c.group.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// runNotifier wakes the waiting watches at every change of the group's status, and
// has the current document serve as a base of later ones.
func (c *Controller) runNotifier(ctx context.Context) error {
	for {
		changed := c.group.Changed()
		c.mu.Lock()
		c.notifyWatchers()
		c.mu.Unlock()
		c.documents.remember(c.machine.state()) // it waits while a document is compressed
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
