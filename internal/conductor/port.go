package conductor

import (
	"context"
	"net/http"
	"time"
)

// portPoll is the time between two looks at the open connections of a port.
const portPoll = 20 * time.Millisecond

// Port is an HTTP server with its listener, which can be closed without cutting
// a request that a caller has begun to send.
type Port struct {
	Server   *http.Server
	Listener *Listener

	connections Connections
}

// NewPort opens a port for a server.
func NewPort(server *http.Server, address string) (*Port, error) {
	listener, err := Listen(address)
	if err != nil {
		return nil, err
	}
	p := &Port{Server: server, Listener: listener}
	server.ConnState = p.connections.Track
	return p, nil
}

// Quiet reports whether every connection that was opened before some moment has
// been idle for a time or is closed.
func (p *Port) Quiet(before time.Time, least time.Duration) bool {
	return p.connections.Quiet(time.Now(), before, least)
}

// Close drains the listener, waits until every connection has been idle for a
// time or the context ends, and shuts the server down. Answers should ask callers
// to close their connections by then. The server alone closes connections on
// which a request has just been read.
func (p *Port) Close(ctx context.Context, idle time.Duration) error {
	p.Listener.Drain(ctx)
	for ctx.Err() == nil && !p.connections.Quiet(time.Now(), time.Now(), idle) {
		Pause(ctx, portPoll)
	}
	return p.Server.Shutdown(ctx)
}
