// Package messenger carries calls between the processes of a fleet: net/rpc
// over mutual TLS, with typed requests and answers encoded in CBOR. The same
// port serves net/http for streamed relays; the protocol is negotiated in the
// TLS handshake. On trusted networks, calls can also be made without TLS.
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
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/decoder"
)

// Protocols of the peer port, as negotiated with ALPN.
const (
	protocolRPC  = "boragehead-rpc"
	protocolHTTP = "http/1.1"
)

// handshakeTimeout bounds how long a new connection may take to authenticate.
const handshakeTimeout = 5 * time.Second

// handler answers the calls of one method. Body and result are in CBOR.
type handler func(ctx context.Context, from certifier.Identity, body []byte) ([]byte, error)

// Mux maps method names to their handlers. The zero value is empty and ready to
// use.
type Mux struct {
	handlers map[string]handler
}

// Handle registers the handler of a method, which only callers in one of the
// roles may call. It must not be called once a server uses the mux.
func Handle[Q, A any](mux *Mux, method string, roles []certifier.Role, serve func(context.Context, certifier.Identity, Q) (A, error)) {
	if mux.handlers == nil {
		mux.handlers = map[string]handler{}
	}
	mux.handlers[method] = func(ctx context.Context, from certifier.Identity, body []byte) ([]byte, error) {
		if !from.HasRole(roles...) {
			return nil, trace.AccessDenied("%s %q may not call %s", from.Role, from.Name, method)
		}
		var query Q
		if err := decoder.Message(body, &query); err != nil {
			return nil, trace.BadParameter("%s: %v", method, err)
		}
		answer, err := serve(ctx, from, query)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(answer)
	}
}

// callFrame is the argument of a net/rpc call.
type callFrame struct {
	Method string `cbor:"method"`
	Body   []byte `cbor:"body"`
}

// answerFrame is the reply of a net/rpc call: a body, or an error with the code
// of its sentinel, if that is registered.
type answerFrame struct {
	Body  []byte `cbor:"body,omitempty"`
	Error string `cbor:"error,omitempty"`
	Code  string `cbor:"code,omitempty"`
}

// Server accepts connections on the peer port. It is started with Run.
type Server struct {
	listener net.Listener
	// tlsConfig is nil on a server without TLS.
	tlsConfig    *tls.Config
	mux          *Mux
	httpListener *handoffListener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// closed is true once the server accepts no more connections.
	closed  bool
	serving sync.WaitGroup
}

// NewServer returns a server of a mux on a listener, over TLS.
func NewServer(listener net.Listener, credentials certifier.Credentials, mux *Mux) *Server {
	return &Server{
		listener:     listener,
		tlsConfig:    credentials.ServerConfig(protocolRPC, protocolHTTP),
		mux:          mux,
		httpListener: newHandoffListener(listener.Addr()),
		conns:        map[net.Conn]struct{}{},
	}
}

// NewPlainServer returns a server of a mux on a listener without TLS. It trusts
// every caller to be who it claims to be.
func NewPlainServer(listener net.Listener, mux *Mux) *Server {
	return &Server{
		listener:     listener,
		mux:          mux,
		httpListener: newHandoffListener(listener.Addr()),
		conns:        map[net.Conn]struct{}{},
	}
}

// HTTPListener returns the listener that accepts the peer port's HTTP
// connections, for use by net/http.
func (s *Server) HTTPListener() net.Listener {
	return s.httpListener
}

// acceptRetryDelay is the delay after an error of the listener, such as too many open
// files.
const acceptRetryDelay = 50 * time.Millisecond

// Run accepts connections until the context ends or the listener is closed. It then
// closes the listener and the connections that carry calls, and returns when these have
// ended. Other errors of the listener are logged and do not end it.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	defer s.serving.Wait()
	defer s.close()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			klog.ErrorS(err, "cannot accept a connection")
			conductor.Sleep(ctx, acceptRetryDelay)
			continue
		}
		s.serving.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Server) close() {
	_ = s.listener.Close()
	_ = s.httpListener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serve authenticates the caller on a connection. It serves the connection if it
// is for calls, and passes it on to net/http otherwise.
func (s *Server) serve(ctx context.Context, raw net.Conn) {
	if s.tlsConfig == nil {
		s.servePlain(ctx, raw)
		return
	}
	conn := tls.Server(raw, s.tlsConfig)
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := conn.HandshakeContext(handshakeCtx)
	cancel()
	if err != nil {
		_ = raw.Close()
		return
	}
	identity, err := certifier.PeerIdentity(conn.ConnectionState())
	if err != nil {
		_ = conn.Close()
		return
	}
	if conn.ConnectionState().NegotiatedProtocol != protocolRPC {
		s.httpListener.deliver(conn)
		return
	}
	s.serveRPC(ctx, conn, identity)
}

func (s *Server) servePlain(ctx context.Context, raw net.Conn) {
	if !s.track(raw) {
		_ = raw.Close()
		return
	}
	defer s.untrack(raw)
	identity, err := readHello(raw)
	if err != nil {
		_ = raw.Close()
		return
	}
	s.serveRPC(ctx, raw, identity)
}

func (s *Server) serveRPC(ctx context.Context, conn net.Conn, identity certifier.Identity) {
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	defer s.untrack(conn)
	setEstablished(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &peerService{ctx: ctx, mux: s.mux, from: identity}); err != nil {
		_ = conn.Close()
		return
	}
	server.ServeConn(conn)
}

// setEstablished tells the listener of a connection that its peer is known: the connection is
// not closed any more to make room for others.
func setEstablished(conn net.Conn) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if accepted, ok := conn.(interface{ Established() }); ok {
		accepted.Established()
	}
}

// track records a connection, so that it is closed together with the server. It
// reports false if the server was closed while the connection was being opened.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = struct{}{}
	}
	return !s.closed
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// peerService is the net/rpc service of one connection.
type peerService struct {
	ctx  context.Context
	mux  *Mux
	from certifier.Identity
}

// Do answers one call. Its signature is the one that net/rpc requires.
func (s *peerService) Do(frame []byte, reply *[]byte) error {
	var call callFrame
	if err := decoder.Message(frame, &call); err != nil {
		return trace.BadParameter("frame: %v", err)
	}
	handle, known := s.mux.handlers[call.Method]
	if !known {
		return trace.NotFound(unknownMethodText+"%q", call.Method)
	}
	body, err := handle(s.ctx, s.from, call.Body)
	answer := answerFrame{Body: body}
	if err != nil {
		answer = answerFrame{Error: trace.UserMessage(err), Code: errorCode(err)}
	}
	*reply, err = cbor.Marshal(answer)
	return trace.Wrap(err)
}

// handoffListener is a net.Listener whose connections have been accepted
// elsewhere and are passed on to net/http.
type handoffListener struct {
	addr      net.Addr
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

func newHandoffListener(addr net.Addr) *handoffListener {
	return &handoffListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *handoffListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoffListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *handoffListener) Addr() net.Addr {
	return l.addr
}
