package conductor

import (
	"container/list"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// portConn is a connection that a [Listener] has accepted. It can be closed at a moment
// when no byte of a request has been read from it or waits to be read.
type portConn struct {
	*net.TCPConn

	mu sync.Mutex
	// reading means that bytes have been read since the last response, or that a request is
	// being served.
	reading bool
	closed  bool
	// unframed means that nothing but the end of the connection ends the response.
	unframed bool
	// serving means that a request is being served.
	serving bool

	// limits is nil on a port without limits. It does not change.
	limits *PortLimits
	head   headMemory
	// place and left are guarded by the lock of the limits: the connection's place among those
	// that wait, or nil, and whether it counts no longer.
	place *list.Element
	left  bool
}

func newPortConn(conn *net.TCPConn) *portConn {
	return &portConn{TCPConn: conn}
}

// Read implements net.Conn. What arrives after closeIfUnread is discarded.
func (c *portConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	closed, serving := c.closed, c.serving
	c.reading = c.reading || !closed
	c.mu.Unlock()
	if closed || !serving && !c.chargeHead(buffer[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// beginRequest records that a request is about to be served. It returns false if the
// connection is closed: the request was in a buffer then.
func (c *portConn) beginRequest() bool {
	c.mu.Lock()
	c.reading, c.serving = true, true
	closed := c.closed
	c.mu.Unlock()
	if closed || !c.head.keep() {
		return false
	}
	if c.limits != nil {
		c.limits.setServing(c, true)
	}
	return true
}

// Established records that the connection carries a protocol of its own whose sender has been
// identified, so that it counts as one on which a request is being served until its end.
func (c *portConn) Established() {
	c.beginRequest()
	c.head.release(false)
}

// endRequest records that the response to a request has been written.
func (c *portConn) endRequest() {
	c.mu.Lock()
	c.reading, c.unframed, c.serving = false, false, false
	c.mu.Unlock()
	c.head.release(false)
	if c.limits != nil {
		c.limits.setServing(c, false)
	}
}

// Close implements net.Conn.
func (c *portConn) Close() error {
	err := c.TCPConn.Close()
	c.head.release(true)
	if c.limits != nil {
		c.limits.forget(c)
	}
	return err
}

// closeIfUnserved closes the connection unless a request is being served. It reports whether
// the connection is closed.
func (c *portConn) closeIfUnserved() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		return false
	}
	c.closed = true
	_ = c.Close() // the caller may have closed it
	return true
}

// setUnframed records that nothing but the end of the connection ends the response.
func (c *portConn) setUnframed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unframed = true
}

// resetIfUnframed closes the connection by a reset if an orderly close would complete
// the response.
func (c *portConn) resetIfUnframed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unframed {
		_ = c.SetLinger(0) // fails only if the connection is already closed
		_ = c.Close()
	}
}

// closeIfUnread closes the connection unless bytes of a request have been read or wait to
// be read. It reports whether the connection is closed.
func (c *portConn) closeIfUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading || isReadable(c.TCPConn) {
		return false
	}
	c.closed = true
	_ = c.Close() // the caller may have closed it
	return true
}

func (c *portConn) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// portConnOf returns the accepted connection under a server's connection, or nil if a
// Listener has not accepted it.
func portConnOf(conn net.Conn) *portConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	accepted, _ := conn.(*portConn)
	return accepted
}

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
	if accepted := portConnOf(conn); accepted != nil && state == http.StateIdle {
		accepted.endRequest()
	}
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
	for conn, tracked := range c.openConns {
		if !tracked.isIdle(conn, now, minIdle) && tracked.openedAt.Before(openedBefore) {
			return false
		}
	}
	return true
}

// isIdle reports whether a connection has been idle for at least minIdle. net/http
// calls one idle until the head of the next request has been read whole.
func (t trackedConn) isIdle(conn net.Conn, now time.Time, minIdle time.Duration) bool {
	accepted := portConnOf(conn)
	return t.state == http.StateIdle && now.Sub(t.stateSince) >= minIdle && (accepted == nil || !accepted.isReading())
}

// minNewIdle is how long after its opening a connection is closed that has sent nothing.
const minNewIdle = time.Second

// CloseIdle closes the connections that have been idle for at least minIdle, and those
// that have sent nothing for minNewIdle after they were opened. It returns the number of the
// others. No connection is closed from which a byte of a request has been read.
func (c *ConnTracker) CloseIdle(now time.Time, minIdle time.Duration) (others int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.openConns {
		accepted := portConnOf(conn)
		if accepted == nil || !tracked.isResting(now, minIdle) || !accepted.closeIfUnread() {
			others++
		}
	}
	return others
}

func (t trackedConn) isResting(now time.Time, minIdle time.Duration) bool {
	elapsed := now.Sub(t.stateSince)
	switch t.state {
	case http.StateIdle:
		return elapsed >= minIdle
	case http.StateNew:
		return elapsed >= max(minIdle, minNewIdle)
	}
	return false
}

// Active returns the number of connections on which a request is being read or served.
func (c *ConnTracker) Active() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.openConns {
		if accepted := portConnOf(conn); tracked.state == http.StateActive || accepted != nil && accepted.isReading() {
			count++
		}
	}
	return count
}

// Served returns the number of connections on which a request is being served.
func (c *ConnTracker) Served() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tracked := range c.openConns {
		if tracked.state == http.StateActive {
			count++
		}
	}
	return count
}

// ResetUnframed closes the connections by a reset on which a response is being written that
// an orderly close would complete.
func (c *ConnTracker) ResetUnframed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.openConns {
		if accepted := portConnOf(conn); accepted != nil {
			accepted.resetIfUnframed()
		}
	}
}
