package controller

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/registrar"
)

// The calls by which control instances share what they hear of servers.
const (
	methodExchange = "servers-exchange"
	methodTell     = "servers-tell"
)

// Times of sharing.
const (
	// spreadInterval is how long heartbeats are gathered before they are passed
	// on. Changes of state are passed on at once.
	spreadInterval = 200 * time.Millisecond
	// exchangeInterval is the time between two exchanges of whole tables with
	// one other control instance.
	exchangeInterval = 2 * time.Second
	// mostGathered bounds the heartbeats that wait to be passed on.
	mostGathered = 4096
)

// tellQuery passes heartbeats on.
type tellQuery struct {
	Servers []registrar.Server `cbor:"s"`
}

type tellAnswer struct{}

// exchangeQuery is one side of an exchange.
type exchangeQuery struct {
	Servers  []registrar.Server `cbor:"s"`
	Controls []string           `cbor:"c"`
}

// Announce takes in what a backend server says of itself. Word that it leaves
// is confirmed only once it has gone round; see confirm. It returns
// registrar.ErrStale for word that newer word has overtaken.
func (c *Controller) Announce(ctx context.Context, said registrar.Server) error {
	now := time.Now()
	c.mu.Lock()
	before := c.servers.Revision()
	err := c.servers.Announce(now, said)
	if err == nil {
		c.gather(said)
	}
	revision := c.servers.Revision()
	if revision != before {
		klog.InfoS("server changed", "server", said.Name, "service", said.Service, "address", said.Address.String(),
			"state", said.State, "born", said.Born, "counter", said.Counter, "warmup", said.Warmup)
		c.notify()
	}
	c.mu.Unlock()
	if said.State != registrar.StateLeaving {
		return err
	}
	return c.confirm(ctx, said.Name)
}

// Leave takes in a server's goodbye, and confirms it like word that it leaves.
func (c *Controller) Leave(ctx context.Context, name string, born int64) error {
	now := time.Now()
	c.mu.Lock()
	before := c.servers.Revision()
	c.servers.Leave(now, name, born)
	if c.servers.Revision() != before {
		klog.InfoS("server gone", "server", name, "born", born)
		if said, known := c.servers.Lookup(now, name); known {
			c.gather(said)
		}
		c.notify()
	}
	c.mu.Unlock()
	return c.confirm(ctx, name)
}

// Times of confirmations.
const (
	// confirmTimeout bounds the wait for those who must know. It is under the
	// second that servers wait for an answer.
	confirmTimeout = 700 * time.Millisecond
	confirmPoll    = 10 * time.Millisecond
)

// confirm returns once the live entry instances of a server's region know of
// its newest state, so that none sends it work after the confirmation even if
// this process ends at once. When some do not answer, another control instance
// must know, which tells them once it reaches them; otherwise the word is not
// confirmed and ErrUnavailable returned.
func (c *Controller) confirm(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	told := make(chan bool, 1)
	go func() { told <- c.tellOne(ctx, name) }()
	for !c.followed(name) {
		select {
		case <-time.After(confirmPoll):
			continue
		case <-ctx.Done():
		}
		if <-told {
			klog.InfoS("server's word known to another control instance only", "server", name)
			return nil
		}
		klog.InfoS("server's word not confirmed", "server", name)
		return trace.Wrap(ErrUnavailable)
	}
	return nil
}

// tellOne passes the newest word of a server on at once, and reports whether
// any other control instance has it. A lone control instance has no other.
func (c *Controller) tellOne(ctx context.Context, name string) bool {
	c.mu.Lock()
	said, known := c.servers.Lookup(time.Now(), name)
	c.mu.Unlock()
	others := c.others()
	if !known || len(others) == 0 {
		return true
	}
	answers := make(chan error, len(others))
	for _, address := range others {
		go func() {
			_, err := call[tellQuery, tellAnswer](ctx, c, address, methodTell, tellQuery{Servers: []registrar.Server{said}})
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

// followed reports whether every live entry instance of a server's region has
// taken in the server's newest state.
func (c *Controller) followed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	said, known := c.servers.Lookup(now, name)
	if !known {
		return true
	}
	revision := c.servers.RevisionOf(name)
	region := c.settings.FailureDomains[said.FailureDomain]
	for _, instance := range c.places.instances {
		if instance.Region == region && c.places.taken[instance.Name] < revision {
			return false
		}
	}
	return true
}

// gather keeps a heartbeat to be passed on. The lock must be held.
func (c *Controller) gather(said registrar.Server) {
	if len(c.outbox) < mostGathered {
		c.outbox = append(c.outbox, said)
	}
}

// runSpread passes heartbeats on, notes silent servers, and watches which entry
// instances come and go.
func (c *Controller) runSpread(ctx context.Context) error {
	return conductor.Every(ctx, spreadInterval, func(ctx context.Context) {
		now := time.Now()
		c.mu.Lock()
		before := c.servers.Revision()
		c.servers.Tick(now)
		c.places.expire(now, c.settings.Region)
		if c.places.told != c.places.revision || c.servers.Revision() != before {
			c.places.told = c.places.revision
			c.notify()
		}
		outbox := c.outbox
		c.outbox = nil
		c.mu.Unlock()
		if len(outbox) == 0 {
			return
		}
		for _, address := range c.others() {
			go c.tell(ctx, address, outbox)
		}
	})
}

func (c *Controller) tell(ctx context.Context, address string, servers []registrar.Server) {
	if _, err := call[tellQuery, tellAnswer](ctx, c, address, methodTell, tellQuery{Servers: servers}); err != nil {
		klog.V(2).InfoS("heartbeats not passed on", "to", address, "count", len(servers), "err", logger.Reason(err))
	}
}

func (c *Controller) serveTell(_ context.Context, _ certifier.Identity, query tellQuery) (tellAnswer, error) {
	c.merge(query.Servers)
	return tellAnswer{}, nil
}

// merge takes in what another control instance has heard.
func (c *Controller) merge(servers []registrar.Server) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.servers.Revision()
	for _, said := range servers {
		_ = c.servers.Announce(now, said) // older word changes nothing
	}
	if c.servers.Revision() != before {
		c.notify()
	}
}

// runExchange swaps whole tables with the others in turn, so that what was lost
// on the way, or on a restart, is made good.
func (c *Controller) runExchange(ctx context.Context) error {
	next := 0
	c.exchangeAll(ctx)
	return conductor.Every(ctx, exchangeInterval, func(ctx context.Context) {
		others := c.others()
		if len(others) == 0 {
			return
		}
		next++
		c.exchange(ctx, others[next%len(others)])
	})
}

func (c *Controller) exchangeAll(ctx context.Context) {
	for _, address := range c.others() {
		c.exchange(ctx, address)
	}
}

func (c *Controller) exchange(ctx context.Context, address string) {
	answer, err := call[exchangeQuery, exchangeQuery](ctx, c, address, methodExchange, c.side())
	if err != nil {
		klog.V(2).InfoS("tables not exchanged", "with", address, "err", logger.Reason(err))
		return
	}
	c.takeSide(answer)
}

func (c *Controller) serveExchange(_ context.Context, _ certifier.Identity, query exchangeQuery) (exchangeQuery, error) {
	side := c.side()
	c.takeSide(query)
	return side, nil
}

func (c *Controller) side() exchangeQuery {
	controls := c.controls()
	c.mu.Lock()
	defer c.mu.Unlock()
	return exchangeQuery{Servers: c.servers.Since(time.Now(), 0), Controls: controls}
}

func (c *Controller) takeSide(side exchangeQuery) {
	c.merge(side.Servers)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places.learn(time.Now(), side.Controls[:min(1, len(side.Controls))]) {
		c.notify()
	}
}

// others returns the control instances but this one.
func (c *Controller) others() []string {
	self := c.settings.PeerAddress.String()
	return slices.DeleteFunc(c.controls(), func(address string) bool { return address == self })
}
