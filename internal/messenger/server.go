// Package messenger carries calls between the system's own processes: net/rpc
// over mutual TLS, with typed requests and answers in CBOR frames. The same
// port serves net/http for streamed relays; the protocol is agreed in the TLS
// handshake.
package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
)

// The protocols of the peer port.
const (
	protocolRPC  = "boragehead-rpc"
	protocolHTTP = "http/1.1"
)

const handshakeTimeout = 5 * time.Second

// handler answers one kind of call.
type handler func(ctx context.Context, from certifier.Identity, body []byte) ([]byte, error)

// Mux maps the names of calls to their handlers. The zero value is empty.
type Mux struct {
	handlers map[string]handler
}

// Handle registers a typed handler. It must not be called once serving.
func Handle[Q, A any](mux *Mux, method string, roles []certifier.Role, serve func(context.Context, certifier.Identity, Q) (A, error)) {
	if mux.handlers == nil {
		mux.handlers = map[string]handler{}
	}
	mux.handlers[method] = func(ctx context.Context, from certifier.Identity, body []byte) ([]byte, error) {
		if !from.Allowed(roles...) {
			return nil, trace.AccessDenied("%s %q may not call %s", from.Role, from.Name, method)
		}
		var query Q
		if err := cbor.Unmarshal(body, &query); err != nil {
			return nil, trace.BadParameter("%s: %v", method, err)
		}
		answer, err := serve(ctx, from, query)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(answer)
	}
}

// callFrame is one call as net/rpc carries it.
type callFrame struct {
	Method string `cbor:"method"`
	Body   []byte `cbor:"body"`
}

// answerFrame is an answer as net/rpc carries it.
type answerFrame struct {
	Body  []byte `cbor:"body,omitempty"`
	Error string `cbor:"error,omitempty"`
	Code  string `cbor:"code,omitempty"`
}

// Server accepts connections on the peer port.
type Server struct {
	listener net.Listener
	// config is nil on links without TLS.
	config  *tls.Config
	mux     *Mux
	streams *streamListener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// closed servers take no connection.
	closed bool
	wait   sync.WaitGroup
}

// NewServer serves a mux on a listener.
func NewServer(listener net.Listener, credentials certifier.Credentials, mux *Mux) *Server {
	return &Server{
		listener: listener,
		config:   credentials.Server(protocolRPC, protocolHTTP),
		mux:      mux,
		streams:  newStreamListener(listener.Addr()),
		conns:    map[net.Conn]struct{}{},
	}
}

// NewPlainServer serves a mux on a listener without TLS. Every caller is
// believed to be who it says it is.
func NewPlainServer(listener net.Listener, mux *Mux) *Server {
	return &Server{
		listener: listener,
		mux:      mux,
		streams:  newStreamListener(listener.Addr()),
		conns:    map[net.Conn]struct{}{},
	}
}

// Streams returns the listener for net/http.
func (s *Server) Streams() net.Listener {
	return s.streams
}

// Run accepts connections until the context ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	defer s.wait.Wait()
	defer s.close()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return trace.Wrap(err)
		}
		s.wait.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Server) close() {
	_ = s.listener.Close()
	_ = s.streams.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serve(ctx context.Context, raw net.Conn) {
	if s.config == nil {
		s.servePlain(ctx, raw)
		return
	}
	conn := tls.Server(raw, s.config)
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := conn.HandshakeContext(handshake)
	cancel()
	if err != nil {
		_ = raw.Close()
		return
	}
	identity, err := certifier.IdentityOf(conn.ConnectionState())
	if err != nil {
		_ = conn.Close()
		return
	}
	if conn.ConnectionState().NegotiatedProtocol != protocolRPC {
		s.streams.hand(conn)
		return
	}
	s.serveRPC(ctx, conn, identity)
}

func (s *Server) servePlain(ctx context.Context, raw net.Conn) {
	identity, err := meet(raw)
	if err != nil {
		_ = raw.Close()
		return
	}
	s.serveRPC(ctx, raw, identity)
}

func (s *Server) serveRPC(ctx context.Context, conn net.Conn, identity certifier.Identity) {
	if !s.hold(conn) {
		_ = conn.Close()
		return
	}
	defer s.drop(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &endpoint{ctx: ctx, mux: s.mux, from: identity}); err != nil {
		_ = conn.Close()
		return
	}
	server.ServeConn(conn)
}

// hold notes a connection, to be closed with the server. It reports false when
// the server has been closed while the connection was opened.
func (s *Server) hold(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = struct{}{}
	}
	return !s.closed
}

func (s *Server) drop(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// endpoint is what net/rpc calls for one connection.
type endpoint struct {
	ctx  context.Context
	mux  *Mux
	from certifier.Identity
}

// Do answers one call. Its shape is net/rpc's.
func (e *endpoint) Do(frame []byte, reply *[]byte) error {
	var call callFrame
	if err := cbor.Unmarshal(frame, &call); err != nil {
		return trace.BadParameter("frame: %v", err)
	}
	serve, known := e.mux.handlers[call.Method]
	if !known {
		return trace.NotFound("no call %q", call.Method)
	}
	body, err := serve(e.ctx, e.from, call.Body)
	answer := answerFrame{Body: body}
	if err != nil {
		answer = answerFrame{Error: trace.UserMessage(err), Code: codeOf(err)}
	}
	*reply, err = cbor.Marshal(answer)
	return trace.Wrap(err)
}

// streamListener hands accepted connections to net/http.
type streamListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newStreamListener(addr net.Addr) *streamListener {
	return &streamListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *streamListener) hand(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr {
	return l.addr
}
