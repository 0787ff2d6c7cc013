package conductor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnTracker tracks the open connections of an HTTP server, so that a graceful
// shutdown can wait until none of them is likely to carry another request. Set
// Track as the server's ConnState hook. The zero value is ready to use. It is
// safe for concurrent use.
type ConnTracker struct {
	mu        sync.Mutex
	openConns map[net.Conn]trackedConn
}

type trackedConn struct {
	state      http.ConnState
	openedAt   time.Time
	stateSince time.Time
}

// Track records a connection's change of state.
func (c *ConnTracker) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.openConns, conn)
		return
	}
	if c.openConns == nil {
		c.openConns = map[net.Conn]trackedConn{}
	}
	now := time.Now()
	openedAt := now
	if known, exists := c.openConns[conn]; exists {
		openedAt = known.openedAt
	}
	c.openConns[conn] = trackedConn{state: state, openedAt: openedAt, stateSince: now}
}

// AllIdle reports whether every connection that was opened before openedBefore
// is closed or has been idle for at least minIdle. Later connections don't
// count: their callers are asked to close them with the first response.
func (c *ConnTracker) AllIdle(now, openedBefore time.Time, minIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tracked := range c.openConns {
		busy := tracked.state != http.StateIdle || now.Sub(tracked.stateSince) < minIdle
		if busy && tracked.openedAt.Before(openedBefore) {
			return false
		}
	}
	return true
}
