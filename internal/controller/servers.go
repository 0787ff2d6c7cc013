package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Calls with which control instances share the announcements of backend servers.
const (
	methodExchange = "servers-exchange"
	methodForward  = "servers-tell"
)

// Limits of sharing.
const (
	// forwardInterval is how long announcements are batched before they are
	// forwarded. Departures are also forwarded at once.
	forwardInterval = 200 * time.Millisecond
	// exchangeInterval is the time between two exchanges of complete tables, each
	// with one other control instance.
	exchangeInterval = 2 * time.Second
	// maxPendingForwards bounds the announcements that wait to be forwarded. More
	// are dropped; the next exchange covers them.
	maxPendingForwards = 4096
)

// forwardQuery carries announcements to another control instance.
type forwardQuery struct {
	Servers registrar.List `cbor:"s"`
}

type forwardAnswer struct{}

// exchangedTables is what each side of an exchange sends to the other.
type exchangedTables struct {
	Servers registrar.List `cbor:"s"`
	// Controls are peer addresses, the sender's first.
	Controls   []string           `cbor:"c"`
	Quarantine []quarantiner.Part `cbor:"q,omitempty"`
	// QuarantineDigest is that of the sender's table; see quarantiner.Table.Digest. The
	// table itself is left out if the other side is known to have the same.
	QuarantineDigest uint64 `cbor:"h,omitempty"`
}

// Announce records the announcement of a backend server. It returns
// registrar.ErrStale if a newer one is known, and registrar.ErrFull if there is no
// room. If the server is leaving, Announce returns the result of awaitPropagation
// instead, unless there was no room: nil means that no entry instance of the server's
// region will send it new requests, or that another control instance will tell
// those that did not answer.
func (c *Controller) Announce(ctx context.Context, announcement registrar.Server) error {
	now := time.Now()
	c.mu.Lock()
	before := c.servers.Revision()
	err := c.servers.Announce(now, announcement)
	if err == nil {
		c.queueForward(announcement)
	}
	revision := c.servers.Revision()
	if revision != before {
		klog.InfoS("server changed", "server", announcement.Name, "service", announcement.Service, "address", announcement.Address.String(),
			"state", announcement.State, "version", announcement.Version, "born", announcement.StartedAtMillis, "counter", announcement.Counter, "warmup", announcement.Warmup)
		c.notifyOfServer(announcement)
	}
	c.mu.Unlock()
	if announcement.State != registrar.StateLeaving || errors.Is(err, registrar.ErrFull) {
		return err
	}
	return c.awaitPropagation(ctx, announcement.Name)
}

// Leave records that a backend server has ended, and confirms it like the
// announcement of a leaving server. startedAtMillis identifies the start of the
// server that has ended, as registrar.Server.StartedAtMillis does; 0 stands for
// the latest known one.
func (c *Controller) Leave(ctx context.Context, name string, startedAtMillis int64) error {
	now := time.Now()
	c.mu.Lock()
	before := c.servers.Revision()
	c.servers.RecordDeparture(now, name, startedAtMillis)
	if c.servers.Revision() != before {
		klog.InfoS("server gone", "server", name, "born", startedAtMillis)
		if departed, known := c.servers.Lookup(now, name); known {
			c.queueForward(departed)
		}
		c.notifyWatchers()
	}
	c.mu.Unlock()
	return c.awaitPropagation(ctx, name)
}

// Timing of confirmations.
const (
	// propagationTimeout bounds the wait for the entry instances. It is less than
	// the second that servers wait for an answer.
	propagationTimeout      = 700 * time.Millisecond
	propagationPollInterval = 10 * time.Millisecond
)

// awaitPropagation returns nil once all live entry instances of a server's region
// know its newest state, so that none sends it requests after the confirmation
// even if this process ends at once. If some do not confirm within
// propagationTimeout, it is enough that another control instance has the state:
// that one tells them when it reaches them. Otherwise awaitPropagation returns
// ErrUnavailable.
func (c *Controller) awaitPropagation(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	forwarded := make(chan bool, 1)
	go func() { forwarded <- c.forwardServer(ctx, name) }()
	for !c.instancesCaughtUp(name) {
		select {
		case <-time.After(propagationPollInterval):
			continue
		case <-ctx.Done():
		}
		if <-forwarded {
			klog.InfoS("server departure not confirmed by all entry instances: shared with another control instance", "server", name)
			return nil
		}
		klog.InfoS("server departure not confirmed", "server", name)
		return trace.Wrap(ErrUnavailable)
	}
	return nil
}

// forwardServer sends the newest state of a server to the other control instances
// at once. It reports whether any of them has received it, and true if there is
// no other.
func (c *Controller) forwardServer(ctx context.Context, name string) bool {
	c.mu.Lock()
	server, known := c.servers.Lookup(time.Now(), name)
	c.mu.Unlock()
	others := c.otherControls()
	if !known || len(others) == 0 {
		return true
	}
	answers := make(chan error, len(others))
	for _, address := range others {
		go func() {
			_, err := call[forwardQuery, forwardAnswer](ctx, c, address, methodForward, forwardQuery{Servers: []registrar.Server{server}})
			answers <- err
		}()
	}
	for range others {
		if <-answers == nil {
			return true
		}
	}
	return false
}

// instancesCaughtUp reports whether every live entry instance of a server's region
// has received the server's newest state.
func (c *Controller) instancesCaughtUp(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	server, known := c.servers.Lookup(now, name)
	if !known {
		return true
	}
	revision := c.servers.RevisionOf(name)
	region := c.settings.FailureDomains[server.FailureDomain]
	for _, instance := range c.peers.instances {
		if instance.Region == region && c.peers.ackedServerRevisions[instance.Name] < revision {
			return false
		}
	}
	return true
}

// queueForward queues an announcement for the other control instances. c.mu must
// be held.
func (c *Controller) queueForward(announcement registrar.Server) {
	if len(c.pendingForwards) < maxPendingForwards {
		c.pendingForwards = append(c.pendingForwards, announcement)
	}
}

// runForwardAndExpire forwards the queued announcements, marks silent servers,
// drops silent peers, and wakes the waiting watches after changes.
func (c *Controller) runForwardAndExpire(ctx context.Context) error {
	return conductor.RunEvery(ctx, forwardInterval, func(ctx context.Context) {
		now := time.Now()
		c.mu.Lock()
		before := c.servers.Revision()
		c.servers.ExpireSilent(now)
		c.peers.expire(now, c.settings.Region)
		if c.peers.notifiedRevision != c.peers.revision || c.servers.Revision() != before {
			c.peers.notifiedRevision = c.peers.revision
			c.notifyWatchersSoon()
		}
		pending := c.pendingForwards
		c.pendingForwards = nil
		c.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		for _, address := range c.otherControls() {
			go c.forward(ctx, address, pending)
		}
	})
}

// forward sends announcements to one control instance. A failure is only logged.
func (c *Controller) forward(ctx context.Context, address string, servers []registrar.Server) {
	if _, err := call[forwardQuery, forwardAnswer](ctx, c, address, methodForward, forwardQuery{Servers: servers}); err != nil {
		klog.V(2).InfoS("cannot forward server announcements", "to", address, "count", len(servers), "err", logger.ErrorText(err))
	}
}

func (c *Controller) serveForward(_ context.Context, _ certifier.Identity, query forwardQuery) (forwardAnswer, error) {
	c.mergeServers(query.Servers)
	return forwardAnswer{}, nil
}

// mergeServers adds the announcements that another control instance has received.
// Invalid ones, as a process of another release may send them, are left out.
func (c *Controller) mergeServers(servers registrar.List) {
	now := time.Now()
	valid := servers.Valid(now, c.RefuseServer)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range valid {
		before := c.servers.Revision()
		_ = c.servers.Announce(now, server) // stale announcements are ignored
		if c.servers.Revision() != before {
			c.notifyOfServer(server)
		}
	}
}

// notifyOfServer wakes the waiting watches for a changed server: at once if it takes no more
// requests. c.mu must be held.
func (c *Controller) notifyOfServer(server registrar.Server) {
	if server.State == registrar.StateReady {
		c.notifyWatchersSoon()
		return
	}
	c.notifyWatchers()
}

// runExchange exchanges complete tables, first with all other control instances,
// then with one of them at a time. This repairs what was lost in transit or by a
// restart.
func (c *Controller) runExchange(ctx context.Context) error {
	turn := 0
	c.exchangeAll(ctx)
	return conductor.RunEvery(ctx, exchangeInterval, func(ctx context.Context) {
		others := c.otherControls()
		if len(others) == 0 {
			return
		}
		turn++
		c.exchange(ctx, others[turn%len(others)])
	})
}

// exchangeAll exchanges tables with all other control instances, one by one.
func (c *Controller) exchangeAll(ctx context.Context) {
	for _, address := range c.otherControls() {
		c.exchange(ctx, address)
	}
}

// exchange exchanges tables with one control instance. A failure is only logged.
func (c *Controller) exchange(ctx context.Context, address string) {
	c.mu.Lock()
	digest := c.quarantineDigests[address]
	c.mu.Unlock()
	answer, err := call[exchangedTables, exchangedTables](ctx, c, address, methodExchange, c.localTables(digest))
	if err != nil {
		klog.V(2).InfoS("cannot exchange tables with a control instance", "with", address, "err", logger.ErrorText(err))
		return
	}
	c.mergeTables(answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantineDigests[address] = answer.QuarantineDigest
}

func (c *Controller) serveExchange(_ context.Context, _ certifier.Identity, query exchangedTables) (exchangedTables, error) {
	answer := c.localTables(query.QuarantineDigest)
	c.mergeTables(query)
	return answer, nil
}

// localTables returns the tables of this instance. That of the quarantine is left out if
// its digest is the one that the other side had last. c.mu must not be held.
func (c *Controller) localTables(othersDigest uint64) exchangedTables {
	controls := c.controlAddresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	tables := exchangedTables{Servers: c.servers.Since(now, 0), Controls: controls, QuarantineDigest: c.quarantine.Digest()}
	if tables.QuarantineDigest != othersDigest {
		tables.Quarantine = c.quarantine.Since(now, 0)
	}
	return tables
}

// mergeTables adds the tables of another control instance. Of its control
// addresses only the first, its own, counts: the others were not heard here.
func (c *Controller) mergeTables(tables exchangedTables) {
	c.mergeServers(tables.Servers)
	c.mergeEvidence(tables.Quarantine)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers.addControls(time.Now(), tables.Controls[:min(1, len(tables.Controls))]) {
		c.notifyWatchers()
	}
}

// otherControls returns the peer addresses of the known control instances, except
// this one. c.mu must not be held.
func (c *Controller) otherControls() []string {
	self := c.settings.PeerAddress.String()
	return slices.DeleteFunc(c.controlAddresses(), func(address string) bool { return address == self })
}
