package conductor

import (
	"context"
	"net/http"
	"time"
)

// idlePollInterval is the time between two checks whether all connections are
// idle.
const idlePollInterval = 20 * time.Millisecond

// DrainableServer is an HTTP server with its listener. It can be closed without
// cutting off a request that a caller has started to send.
type DrainableServer struct {
	Server   *http.Server
	Listener *Listener

	conns ConnTracker
}

// NewPort opens a listener for a server on an address and sets the server's
// ConnState hook. The caller starts the server.
func NewPort(server *http.Server, address string) (*DrainableServer, error) {
	listener, err := Listen(address)
	if err != nil {
		return nil, err
	}
	p := &DrainableServer{Server: server, Listener: listener}
	server.ConnState = p.conns.Track
	return p, nil
}

// AllIdle reports whether every connection that was opened before openedBefore
// is closed or has been idle for at least minIdle.
func (p *DrainableServer) AllIdle(openedBefore time.Time, minIdle time.Duration) bool {
	return p.conns.AllIdle(time.Now(), openedBefore, minIdle)
}

// Close drains the listener, waits until every connection is closed or has been
// idle for at least minIdle, or until the context ends, and shuts the server
// down. By then, responses should ask callers to close their connections. The
// server's own Shutdown, without this wait, also closes connections on which a
// request has just been read.
func (p *DrainableServer) Close(ctx context.Context, minIdle time.Duration) error {
	p.Listener.Drain()
	for ctx.Err() == nil && !p.conns.AllIdle(time.Now(), time.Now(), minIdle) {
		Sleep(ctx, idlePollInterval)
	}
	return p.Server.Shutdown(ctx)
}
