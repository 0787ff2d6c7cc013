package conductor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// idlePollInterval is the time between two checks whether all connections are
	// idle.
	idlePollInterval = 20 * time.Millisecond
	// minCloseIdle is how long a connection must have been idle before it is closed.
	// A request that came together with the one before it is being served by then.
	minCloseIdle = 50 * time.Millisecond
	// answerTime is how long requests that are being read at the end of a shutdown have
	// for a response that says so.
	answerTime = 200 * time.Millisecond
	// writeTime is how long those that are being served have for one, and callers to take
	// the rest of a response.
	writeTime = 500 * time.Millisecond
)

// ErrStopping is the cause with which the contexts of requests end that are still open
// at the end of a shutdown.
var ErrStopping = errors.New("the instance stops")

// ErrRequestsCut means that connections were closed on which a request was open.
var ErrRequestsCut = errors.New("requests cut")

// DrainableServer is an HTTP server with its listener. It can be closed without
// cutting off a request that a caller has started to send.
type DrainableServer struct {
	Server   *http.Server
	Listener *Listener

	conns       ConnTracker
	endRequests context.CancelCauseFunc
	closing     atomic.Bool
}

// NewPort opens a listener for a server on an address and sets the server's hooks,
// as NewDrainableServer does. The caller starts the server.
func NewPort(server *http.Server, address string) (*DrainableServer, error) {
	listener, err := Listen(address)
	if err != nil {
		return nil, err
	}
	p := NewDrainableServer(server)
	p.Listener = listener
	return p, nil
}

// NewDrainableServer wraps the handler of a server and sets its ConnState, BaseContext and
// ConnContext hooks. The server has no listener of its own: its connections come from a
// [Listener] that is closed elsewhere.
func NewDrainableServer(server *http.Server) *DrainableServer {
	p := &DrainableServer{Server: server}
	ctx, cancel := context.WithCancelCause(context.Background())
	p.endRequests = cancel
	server.ConnState = p.conns.Track
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, portConnOf(conn))
	}
	server.Handler = p.closeAfterResponse(server.Handler)
	return p
}

// connKey is the key of a request's *portConn in its context.
type connKey struct{}

// CloseConnections makes every further response ask the caller to close its
// connection.
func (p *DrainableServer) CloseConnections() {
	p.closing.Store(true)
}

func (p *DrainableServer) closeAfterResponse(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		if conn, _ := r.Context().Value(connKey{}).(*portConn); conn != nil {
			if !conn.beginRequest() {
				panic(http.ErrAbortHandler) // nobody would get the response
			}
			conn.head.settle(r)
			if !r.ProtoAtLeast(1, 1) {
				conn.setUnframed()
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// AllIdle reports whether every connection that was opened before openedBefore
// is closed or has been idle for at least minIdle.
func (p *DrainableServer) AllIdle(openedBefore time.Time, minIdle time.Duration) bool {
	return p.conns.AllIdle(time.Now(), openedBefore, minIdle)
}

// Close drains the listener, closes each connection when it has been idle for at
// least minIdle, and shuts the server down when none is left. The server's own
// Shutdown also closes connections on which a request has just been read.
//
// When the context ends, the contexts of the requests that are still open end with
// ErrStopping, and their handlers have writeTime to respond. Close returns
// ErrRequestsCut if one has not.
func (p *DrainableServer) Close(ctx context.Context, minIdle time.Duration) error {
	p.CloseConnections()
	defer context.AfterFunc(ctx, func() { p.endRequests(ErrStopping) })()
	var draining sync.WaitGroup
	if p.Listener != nil {
		draining.Go(func() { p.Listener.Drain(ctx) })
	}
	if ctx.Err() == nil {
		draining.Wait()
	}
	minIdle = max(minIdle, minCloseIdle)
	for ctx.Err() == nil && p.conns.CloseIdle(time.Now(), minIdle) > 0 {
		Sleep(ctx, idlePollInterval)
	}
	for ended := time.Now(); p.conns.CloseIdle(time.Now(), minCloseIdle) > 0 && p.mayAnswer(time.Since(ended)); {
		Sleep(context.Background(), idlePollInterval)
	}
	draining.Wait()
	cut := p.conns.Active()
	p.conns.ResetUnframed()
	if err := p.Server.Close(); err != nil {
		return trace.Wrap(err)
	}
	if cut > 0 {
		return trace.Wrap(ErrRequestsCut, "%d connections", cut)
	}
	return nil
}

// mayAnswer reports whether requests may still be answered some time after the end of a
// shutdown.
func (p *DrainableServer) mayAnswer(after time.Duration) bool {
	return p.conns.Active() > 0 && after < answerTime || p.conns.Served() > 0 && after < writeTime
}
