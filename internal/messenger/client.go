package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/decoder"
)

// ErrUnreachable means that the other process could not be reached, that the
// connection broke before an answer arrived, or that the context ended first.
// The call may have been carried out.
var ErrUnreachable = errors.New("unreachable")

// ErrUnknownMethod means that the other process does not serve a method, as one of an
// earlier release does not.
var ErrUnknownMethod = errors.New("unknown method")

// unknownMethodText begins the error that servers of all releases return for such a
// call; net/rpc carries only the text.
const unknownMethodText = "no call "

// dialTimeout bounds the opening of a connection over TLS, and every write of a
// call.
const dialTimeout = 2 * time.Second

// Endpoint is the name of a process and the address of its peer port.
type Endpoint struct {
	Name    string
	Address netip.AddrPort
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls other processes, over one shared connection to each. It is safe
// for concurrent use.
type Client struct {
	credentials certifier.Credentials
	// plainIdentity, unless nil, is the identity that this process claims on
	// connections without TLS.
	plainIdentity *certifier.Identity
	dialTCP       Dial

	mu              sync.Mutex
	connsByEndpoint map[Endpoint]*rpc.Client
}

// Option configures a client.
type Option func(*Client)

// WithDial replaces the function that opens TCP connections.
func WithDial(dial Dial) Option {
	return func(c *Client) { c.dialTCP = dial }
}

// NewClient returns a client that authenticates itself with a process's
// credentials, over TLS.
func NewClient(credentials certifier.Credentials, options ...Option) *Client {
	c := &Client{credentials: credentials, connsByEndpoint: map[Endpoint]*rpc.Client{}}
	c.dialTCP = newDialer().DialContext
	for _, option := range options {
		option(c)
	}
	return c
}

// NewPlainClient returns a client for connections without TLS. The other side
// accepts the identity without proof: use it only where the network itself is
// trusted.
func NewPlainClient(identity certifier.Identity, options ...Option) *Client {
	c := NewClient(certifier.Credentials{}, options...)
	c.plainIdentity = &identity
	return c
}

// Clone returns a client with the same identity, but with connections of its own.
// Use it for large answers: calls that share a connection wait behind them, and
// closing it because of one call ends the others.
func (c *Client) Clone() *Client {
	return &Client{
		credentials: c.credentials, plainIdentity: c.plainIdentity, dialTCP: c.dialTCP, connsByEndpoint: map[Endpoint]*rpc.Client{},
	}
}

// Call calls a method of another process and waits for its answer. Errors of
// the other side match the sentinel that was registered for them with
// RegisterError, if any; ErrUnreachable is returned if no answer arrives.
func Call[Q, A any](ctx context.Context, client *Client, to Endpoint, method string, query Q) (A, error) {
	var answer A
	body, err := cbor.Marshal(query)
	if err != nil {
		return answer, trace.Wrap(err)
	}
	frame, err := cbor.Marshal(callFrame{Method: method, Body: body})
	if err != nil {
		return answer, trace.Wrap(err)
	}
	reply, err := client.roundTrip(ctx, to, frame)
	if err != nil {
		return answer, err
	}
	var decoded answerFrame
	if err := decoder.Message(reply, &decoded); err != nil {
		return answer, trace.Wrap(err)
	}
	if decoded.Error != "" {
		return answer, decodeError(decoded)
	}
	return answer, trace.Wrap(decoder.Message(decoded.Body, &answer))
}

// StartCall starts a call and returns without waiting for its answer, which is
// discarded. The returned channel is closed when the call has ended.
func StartCall[Q any](ctx context.Context, client *Client, to Endpoint, method string, query Q) (<-chan struct{}, error) {
	body, err := cbor.Marshal(query)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	frame, err := cbor.Marshal(callFrame{Method: method, Body: body})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := client.conn(ctx, to)
	if err != nil {
		return nil, trace.Wrap(ErrUnreachable, "%s: %v", to.Name, err)
	}
	var reply []byte
	call := conn.Go("Peer.Do", frame, &reply, make(chan *rpc.Call, 1))
	done := make(chan struct{})
	go func() {
		<-call.Done
		if connectionBroken(call.Error) {
			client.discard(to, conn)
		}
		close(done)
	}()
	return done, nil
}

// roundTrip sends a call and waits for its reply, or for the end of the context.
func (c *Client) roundTrip(ctx context.Context, to Endpoint, frame []byte) ([]byte, error) {
	conn, err := c.conn(ctx, to)
	if err != nil {
		return nil, trace.Wrap(ErrUnreachable, "%s: %v", to.Name, err)
	}
	var reply []byte
	call := conn.Go("Peer.Do", frame, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return nil, trace.Wrap(ErrUnreachable, "%s: %v", to.Name, ctx.Err())
	}
	switch {
	case call.Error == nil:
		return reply, nil
	case strings.HasPrefix(call.Error.Error(), unknownMethodText):
		return nil, trace.Wrap(ErrUnknownMethod, "%s: %v", to.Name, call.Error)
	case !connectionBroken(call.Error):
		return nil, trace.BadParameter("%s: %v", to.Name, call.Error)
	}
	c.discard(to, conn)
	return nil, trace.Wrap(ErrUnreachable, "%s: %v", to.Name, call.Error)
}

// connectionBroken reports whether a call failed because of its connection, and
// not with an error that the other side returned. A broken connection must be
// discarded, or every later call on it would fail.
func connectionBroken(err error) bool {
	var serverErr rpc.ServerError
	return err != nil && !errors.As(err, &serverErr)
}

// conn returns the connection to a process, and opens one if there is none.
func (c *Client) conn(ctx context.Context, to Endpoint) (*rpc.Client, error) {
	c.mu.Lock()
	conn, open := c.connsByEndpoint[to]
	c.mu.Unlock()
	if open {
		return conn, nil
	}
	raw, err := c.dial(ctx, to, protocolRPC)
	if err != nil {
		return nil, err
	}
	dialed := rpc.NewClient(writeTimeoutConn{raw})
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, open := c.connsByEndpoint[to]; open {
		_ = dialed.Close()
		return conn, nil
	}
	c.connsByEndpoint[to] = dialed
	return dialed, nil
}

// dial opens a connection and authenticates this process on it.
func (c *Client) dial(ctx context.Context, to Endpoint, protocol string) (net.Conn, error) {
	timeout := dialTimeout
	if c.plainIdentity != nil {
		timeout = plainDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := c.dialTCP(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, err
	}
	if c.plainIdentity != nil {
		return sendHello(ctx, raw, *c.plainIdentity)
	}
	conn := tls.Client(raw, c.credentials.ClientConfig(to.Name, protocol))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// writeTimeoutConn bounds each write by dialTimeout, so that a connection that
// was cut without a reset is detected.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(dialTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Reset closes the connection to a process, so that the next call opens a new
// one. Use it when calls time out: the connection may have been cut without a
// reset.
func (c *Client) Reset(to Endpoint) {
	c.mu.Lock()
	conn, open := c.connsByEndpoint[to]
	c.mu.Unlock()
	if open {
		c.discard(to, conn)
	}
}

func (c *Client) discard(to Endpoint, conn *rpc.Client) {
	c.mu.Lock()
	if c.connsByEndpoint[to] == conn {
		delete(c.connsByEndpoint, to)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.connsByEndpoint
	c.connsByEndpoint = map[Endpoint]*rpc.Client{}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// HTTPTransport returns an HTTP transport that connects to the peer port of a
// process, whatever host a request's URL names.
func (c *Client) HTTPTransport(to Endpoint) *http.Transport {
	return &http.Transport{
		DialTLSContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return c.dial(ctx, to, protocolHTTP)
		},
		MaxIdleConnsPerHost:    maxIdleStreams,
		IdleConnTimeout:        idleStreamTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
}

const (
	maxIdleStreams    = 16
	idleStreamTimeout = 30 * time.Second
	// maxResponseHeadBytes bounds the head of an HTTP response. It leaves room for
	// what an instance adds to the 64 KiB that it accepts from a backend server.
	maxResponseHeadBytes = 68 << 10
)
