// Package matcher tells what a response on a kept connection can be relied on for.
// HTTP/1.1 matches responses to requests by their order alone, so a server that writes
// a response once more answers the next request with it.
package matcher

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxOpenIDs bounds how many ids a connection remembers. The oldest are forgotten.
const maxOpenIDs = 64

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Remember returns a dial function whose connections remember the ids of the requests
// that they have carried and that were not answered.
func Remember(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened}, nil
	}
}

type conn struct {
	net.Conn

	mu sync.Mutex
	// openIDs are hashes, the oldest first.
	openIDs []uint64
}

// carry notes that the connection carries a request. It reports whether the connection
// has carried one with the same id that was not answered.
func (c *conn) carry(id uint64) (repeated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.openIDs, id) {
		return true
	}
	if len(c.openIDs) == maxOpenIDs {
		c.openIDs = slices.Delete(c.openIDs, 0, 1)
	}
	c.openIDs = append(c.openIDs, id)
	return false
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openIDs = slices.DeleteFunc(c.openIDs, func(open uint64) bool { return open == id })
}

// Match follows one attempt at a request, and its connection. The zero value is ready
// to use and must not be copied. Its methods are safe for concurrent use.
type Match struct {
	mu        sync.Mutex
	id        uint64
	conn      *conn // nil if its dial function is not one of Remember
	connected bool
	reused    bool
	repeated  bool
	// written is closed once the request was written as a whole, or writeErr is set.
	written  chan struct{}
	writeErr error
}

// Follow returns a context to send the request with this id with.
func (m *Match) Follow(ctx context.Context, id string) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.id = xxhash.Sum64String(id)
		m.connected, m.reused, m.repeated = true, info.Reused, false
		if m.conn, _ = info.Conn.(*conn); m.conn != nil {
			m.repeated = m.conn.carry(m.id)
		}
		m.written, m.writeErr = make(chan struct{}), nil
	}, WroteRequest: func(info httptrace.WroteRequestInfo) {
		m.mu.Lock()
		defer m.mu.Unlock()
		select {
		case <-m.written: // net/http reports an attempt once
		default:
			m.writeErr = info.Err
			close(m.written)
		}
	}})
}

// writeGrace is how long after the end of a response its request may go on to be written.
const writeGrace = time.Second

// CheckClosed returns an error unless the end of the connection was the end of the response
// that it carried. A server that resets the connection while the request is still written
// looks like one that closes it: the write takes the reset, and the reader is told of an
// end. It waits for a write that is about to end, at most for a second.
func (m *Match) CheckClosed(ctx context.Context) error {
	m.mu.Lock()
	written := m.written
	m.mu.Unlock()
	if written == nil {
		return nil
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case <-written:
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.writeErr
	case <-timer.C:
		return io.ErrUnexpectedEOF
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Connected reports whether the request got a connection.
func (m *Match) Connected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connected
}

// Reused reports whether the connection has been in use before, so that a response
// without an id may be that to an earlier request.
func (m *Match) Reused() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reused
}

// Repeated reports whether the connection has carried a request with the same id that
// was not answered, so that a refusal may be that of the earlier one.
func (m *Match) Repeated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.repeated
}

// Answered notes that the response was the request's own and no refusal.
func (m *Match) Answered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn != nil && !m.repeated {
		m.conn.forget(m.id)
	}
}

// Discard closes the connection: after a response that belongs to another request the
// order of the next ones is lost, and the server may still work on this request.
func (m *Match) Discard() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn != nil {
		_ = m.conn.Close() // fails only if it is closed
	}
}
