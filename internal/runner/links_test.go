package runner_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/messenger"
)

// links simulates network partitions between the processes of a fleet. On a cut
// connection, written data is dropped, nothing is read, and neither side gets an
// error.
type links struct {
	mu                 sync.Mutex
	endpointsByAddress map[string]endpoint
	isCutBetween       func(from, to endpoint) bool
	conns              map[*link]struct{}
}

// endpoint identifies a process by its name and region.
type endpoint struct {
	name   string
	region string
}

func newLinks() *links {
	return &links{endpointsByAddress: map[string]endpoint{}, conns: map[*link]struct{}{}}
}

func (l *links) register(address netip.AddrPort, name, region string) {
	l.endpointsByAddress[address.String()] = endpoint{name: name, region: region}
}

// cutWhere cuts all connections between endpoints for which cut returns true in
// either order.
func (l *links) cutWhere(cut func(from, to endpoint) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCutBetween = func(from, to endpoint) bool { return cut(from, to) || cut(to, from) }
}

// isolate cuts all connections between a region and the others.
func (l *links) isolate(region string) {
	l.cutWhere(func(from, to endpoint) bool { return (from.region == region) != (to.region == region) })
}

// heal ends the partition and closes all connections.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCutBetween = nil
	for conn := range l.conns {
		_ = conn.Close() // the dropped data is lost, as after a timeout
	}
}

func (l *links) isCut(from, to endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCutBetween != nil && l.isCutBetween(from, to)
}

// dial returns a function that connects an endpoint to the others. Dialing over a
// cut connection blocks until the context ends.
func (l *links) dial(name, region string) messenger.Dial {
	from := endpoint{name: name, region: region}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := l.endpointsByAddress[address]
		if l.isCut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		wrapped := &link{Conn: conn, links: l, from: from, to: to}
		l.mu.Lock()
		l.conns[wrapped] = struct{}{}
		l.mu.Unlock()
		return wrapped, nil
	}
}

// link is a connection between two endpoints.
type link struct {
	net.Conn
	links    *links
	from, to endpoint

	mu       sync.Mutex
	deadline time.Time
}

// Write implements net.Conn. Data is dropped while the link is cut.
func (c *link) Write(data []byte) (int, error) {
	if c.links.isCut(c.from, c.to) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Read implements net.Conn. Data that arrives while the link is cut is dropped.
func (c *link) Read(data []byte) (int, error) {
	for {
		count, err := c.Conn.Read(data)
		if err != nil || !c.links.isCut(c.from, c.to) {
			return count, err
		}
		if c.deadlinePassed() {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (c *link) deadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && time.Now().After(c.deadline)
}

// SetDeadline implements net.Conn.
func (c *link) SetDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	return errors.Join(c.Conn.SetDeadline(deadline))
}
