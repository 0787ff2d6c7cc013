package conductor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections keeps count of the open connections of an HTTP server, so that a
// graceful shutdown can wait until none of them is likely to carry another
// request. Track is the server's ConnState hook. The zero value has seen none.
type Connections struct {
	mu   sync.Mutex
	open map[net.Conn]connection
}

type connection struct {
	state  http.ConnState
	opened time.Time
	since  time.Time
}

// Track notes a change of a connection's state.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	if c.open == nil {
		c.open = map[net.Conn]connection{}
	}
	now := time.Now()
	opened := now
	if known, exists := c.open[conn]; exists {
		opened = known.opened
	}
	c.open[conn] = connection{state: state, opened: opened, since: now}
}

// Quiet reports whether every connection that was opened before some moment has
// been idle for a time or is closed. Those of later callers are asked to close
// with their first answer.
func (c *Connections) Quiet(now, before time.Time, least time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.open {
		busy := known.state != http.StateIdle || now.Sub(known.since) < least
		if busy && known.opened.Before(before) {
			return false
		}
	}
	return true
}
