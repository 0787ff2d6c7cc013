// Package controller runs a control instance of a fleet that manages itself:
// it founds the quorum, lets new stores in, keeps the definition in force, hears
// backend servers, and tells entry instances about all of it.
//
// The one idea: what must survive (the definition and the closed failure
// domains) goes through the replicated log; what is heard anew every second (the
// servers and the entry instances) is soft state, which control instances
// exchange and any of them can lose.
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
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/journaler"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/replicator"
)

// ErrUnavailable means that no quorum could be reached in time. A change may
// still be accepted later; a read has no answer.
var ErrUnavailable = errors.New("no quorum of control instances answers")

// Decoder reads a definition from the document that an operator sent. Its
// errors are definer.ErrInvalid.
type Decoder func(document []byte) (definer.Definition, error)

// Errors that keep their meaning over a call.
var (
	_ = messenger.RegisterError("state-unavailable", ErrUnavailable)
	_ = messenger.RegisterError("state-not-leader", replicator.ErrNotLeader)
	_ = messenger.RegisterError("state-unknown", replicator.ErrLost)
)

// groupName is the replicated group that holds the state.
const groupName = "state"

// Times of the replicated group.
const (
	// electionTimeout is the shortest time without a leader's word before an
	// election: some round trips between regions, and a few lost messages.
	electionTimeout = 600 * time.Millisecond
	// diskRetry is the pause before a refused write is tried again.
	diskRetry = 200 * time.Millisecond
	// callTimeout bounds one call between control instances. It is under the
	// second that operators wait for an answer.
	callTimeout = 900 * time.Millisecond
)

// Controller is a control instance.
type Controller struct {
	settings loader.Control
	decode   Decoder
	client   *messenger.Client
	identity *replicator.Identity
	machine  *machine
	group    *replicator.Group
	couriers *couriers
	// epoch tells apart the tables of two starts of a process.
	epoch int64

	mu      sync.Mutex
	servers registrar.Table
	places  places
	outbox  []registrar.Server
	changed chan struct{}
}

// New opens a control instance's state from its disk.
func New(settings loader.Control, decode Decoder, client *messenger.Client) (*Controller, error) {
	c := &Controller{
		settings: settings, decode: decode, client: client, machine: &machine{},
		epoch: time.Now().UnixNano(), changed: make(chan struct{}),
	}
	c.places.seeds = settings.SeedPeers()
	if err := c.open(); err != nil {
		return nil, err
	}
	return c, nil
}

// open reads the disk. A disk that cannot be trusted any more is emptied: its
// store comes back under a new identity and must be let in again.
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
	return trace.Wrap(err, "data-folder")
}

func (c *Controller) openGroup(disk journaler.Disk) error {
	var err error
	if c.founds() {
		c.identity, err = replicator.OpenIdentityAs(disk, firstStore(c.settings.PeerAddress))
	} else {
		c.identity, err = replicator.OpenIdentity(disk)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	c.couriers = newCouriers(c.settings.PeerAddress.String(), c.identity.Store, c.client)
	c.group, err = replicator.Open(c.identity, groupName, c.machine, c.couriers,
		replicator.WithVoters(2*c.settings.DiskLosses+1), replicator.WithElectionTimeout(electionTimeout))
	if err != nil {
		return trace.Wrap(err)
	}
	c.group.Retry(diskRetry)
	return nil
}

// Duty is one goroutine's work; it ends with its context.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Duties returns what must run, each in a goroutine of its own.
func (c *Controller) Duties() []Duty {
	return []Duty{
		{Name: "quorum", Run: c.group.Run},
		{Name: "couriers", Run: c.couriers.run},
		{Name: "member", Run: c.runMember},
		{Name: "notifier", Run: c.runNotifier},
		{Name: "exchange", Run: c.runExchange},
		{Name: "spread", Run: c.runSpread},
	}
}

// Register adds the calls of the other processes to a mux.
func (c *Controller) Register(mux *messenger.Mux) {
	controls := []certifier.Role{certifier.RoleKeeper}
	gates := []certifier.Role{certifier.RoleGate}
	messenger.Handle(mux, methodReplicate, controls, c.serveReplicate)
	messenger.Handle(mux, methodPropose, controls, c.servePropose)
	messenger.Handle(mux, methodRead, controls, c.serveRead)
	messenger.Handle(mux, methodJoin, controls, c.serveJoin)
	messenger.Handle(mux, methodExchange, controls, c.serveExchange)
	messenger.Handle(mux, methodTell, controls, c.serveTell)
	messenger.Handle(mux, MethodWatch, gates, c.serveWatch)
}

// Reseed replaces the control instances that are asked first.
func (c *Controller) Reseed(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.places.seeds = seeds
	c.notify()
}

// HandOver passes leadership on before a graceful shutdown.
func (c *Controller) HandOver(ctx context.Context) {
	if !c.group.Leads() || len(c.group.Status().Members) < 2 {
		return
	}
	if err := c.group.HandOver(ctx); err != nil {
		klog.ErrorS(err, "leadership not handed over")
		return
	}
	for c.group.Leads() {
		select {
		case <-c.group.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// runNotifier wakes those who wait for news whenever the log moves.
func (c *Controller) runNotifier(ctx context.Context) error {
	for {
		changed := c.group.Changed()
		c.mu.Lock()
		c.notify()
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// notify wakes those who wait for news. The lock must be held.
func (c *Controller) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}
