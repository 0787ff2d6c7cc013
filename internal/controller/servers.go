package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/registrar"
)

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

// mergeServers adds the announcements that another control instance has received.
// Invalid ones, as a process of another release may send them, are left out.
func (c *Controller) mergeServers(servers registrar.List) {
	now := time.Now()
	valid := servers.Valid(now, c.RefuseServer)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range valid {
		c.mergeServer(now, server)
	}
}

// mergeServer adds an announcement that another control instance has received. c.mu must be
// held.
func (c *Controller) mergeServer(now time.Time, server registrar.Server) {
	before := c.servers.Revision()
	_ = c.servers.Announce(now, server) // stale announcements are ignored
	if c.servers.Revision() != before {
		c.notifyOfServer(server)
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

// otherControls returns the peer addresses of the known control instances, except
// this one. c.mu must not be held.
func (c *Controller) otherControls() []string {
	self := c.settings.PeerAddress.String()
	return slices.DeleteFunc(c.controlAddresses(), func(address string) bool { return address == self })
}
