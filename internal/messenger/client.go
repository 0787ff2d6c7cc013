package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
)

// ErrUnreachable means that the other process could not be reached, or that
// the connection broke before an answer came.
var ErrUnreachable = errors.New("unreachable")

const dialTimeout = 2 * time.Second

// Endpoint is a process as others reach it.
type Endpoint struct {
	Name    string
	Address netip.AddrPort
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls other processes, over one connection for each.
type Client struct {
	credentials certifier.Credentials
	// plain, unless nil, is what this process says of itself on links without
	// TLS.
	plain   *certifier.Identity
	dialRaw Dial

	mu    sync.Mutex
	conns map[Endpoint]*rpc.Client
}

// Option sets up a client.
type Option func(*Client)

// WithDial sets how connections are opened.
func WithDial(dial Dial) Option {
	return func(c *Client) { c.dialRaw = dial }
}

// NewClient returns a client with a process's credentials.
func NewClient(credentials certifier.Credentials, options ...Option) *Client {
	c := &Client{credentials: credentials, conns: map[Endpoint]*rpc.Client{}}
	c.dialRaw = newDialer().DialContext
	for _, option := range options {
		option(c)
	}
	return c
}

// NewPlainClient returns a client for links without TLS. The other side takes
// the identity as said: use it only where the network itself is trusted.
func NewPlainClient(identity certifier.Identity, options ...Option) *Client {
	c := NewClient(certifier.Credentials{}, options...)
	c.plain = &identity
	return c
}

// Call performs one call. Errors of the other side keep their sentinel.
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
	reply, err := client.do(ctx, to, frame)
	if err != nil {
		return answer, err
	}
	var decoded answerFrame
	if err := cbor.Unmarshal(reply, &decoded); err != nil {
		return answer, trace.Wrap(err)
	}
	if decoded.Error != "" {
		return answer, errorOf(decoded)
	}
	return answer, trace.Wrap(cbor.Unmarshal(decoded.Body, &answer))
}

// Post starts a call and returns at once, without its answer. The returned
// channel is closed when the call has ended.
func Post[Q any](ctx context.Context, client *Client, to Endpoint, method string, query Q) (<-chan struct{}, error) {
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
	ended := make(chan struct{})
	go func() {
		<-call.Done
		if broken(call.Error) {
			client.drop(to, conn)
		}
		close(ended)
	}()
	return ended, nil
}

func (c *Client) do(ctx context.Context, to Endpoint, frame []byte) ([]byte, error) {
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
	case !broken(call.Error):
		return nil, trace.BadParameter("%s: %v", to.Name, call.Error)
	}
	c.drop(to, conn)
	return nil, trace.Wrap(ErrUnreachable, "%s: %v", to.Name, call.Error)
}

// broken reports whether a call failed with its connection, and not by the
// other side's word. A broken connection must be dropped, or every later call
// would fail on it.
func broken(err error) bool {
	var served rpc.ServerError
	return err != nil && !errors.As(err, &served)
}

// conn returns the connection to a process, and dials when there is none.
func (c *Client) conn(ctx context.Context, to Endpoint) (*rpc.Client, error) {
	c.mu.Lock()
	conn, open := c.conns[to]
	c.mu.Unlock()
	if open {
		return conn, nil
	}
	raw, err := c.dial(ctx, to, protocolRPC)
	if err != nil {
		return nil, err
	}
	dialed := rpc.NewClient(deadlineConn{raw})
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, open := c.conns[to]; open {
		_ = dialed.Close()
		return conn, nil
	}
	c.conns[to] = dialed
	return dialed, nil
}

func (c *Client) dial(ctx context.Context, to Endpoint, protocol string) (net.Conn, error) {
	limit := dialTimeout
	if c.plain != nil {
		limit = plainDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := c.dialRaw(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, err
	}
	if c.plain != nil {
		return greet(ctx, raw, *c.plain)
	}
	conn := tls.Client(raw, c.credentials.Client(to.Name, protocol))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// deadlineConn fails a write that the other side does not take, so that a
// silently cut connection is noticed.
type deadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(dialTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Reset drops the connection to a process, so that the next call dials anew.
// Use it when calls time out: the connection may be cut silently.
func (c *Client) Reset(to Endpoint) {
	c.mu.Lock()
	conn, open := c.conns[to]
	c.mu.Unlock()
	if open {
		c.drop(to, conn)
	}
}

func (c *Client) drop(to Endpoint, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[to] == conn {
		delete(c.conns, to)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close drops all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[Endpoint]*rpc.Client{}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// StreamTransport returns an http.RoundTripper that reaches the process of a
// name over the peer port.
func (c *Client) StreamTransport(to Endpoint) *http.Transport {
	return &http.Transport{
		DialTLSContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return c.dial(ctx, to, protocolHTTP)
		},
		MaxIdleConnsPerHost: maxIdleStreams,
		IdleConnTimeout:     idleStreamTimeout,
		DisableCompression:  true,
	}
}

const (
	maxIdleStreams    = 16
	idleStreamTimeout = 30 * time.Second
)
