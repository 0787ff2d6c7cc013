package conductor

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// drainIdleTime is how long no new connection may have arrived before a
// draining listener is closed: closing a socket resets the connections that
// wait to be accepted.
const drainIdleTime = 5 * time.Millisecond

// Listener is a TCP listener that can be drained before it is closed, so that
// no caller that has already connected has its connection reset.
type Listener struct {
	*net.TCPListener

	draining  atomic.Bool
	drained   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen opens a TCP listener on an address, given as host and port.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Listener{
		TCPListener: listener.(*net.TCPListener), drained: make(chan struct{}), closed: make(chan struct{}),
	}, nil
}

// Accept returns the next connection. Once the listener is drained, it blocks
// until Close is called and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining := l.draining.Load()
		deadlineSetAt := time.Now()
		if draining {
			_ = l.SetDeadline(deadlineSetAt.Add(drainIdleTime)) // on a closed listener, Accept below fails
		}
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if draining && time.Since(deadlineSetAt) >= drainIdleTime {
			_ = l.TCPListener.Close() // nothing is lost if the socket fails to close
			close(l.drained)
			<-l.closed
			return nil, net.ErrClosed
		}
	}
}

// Drain closes the listener at a moment when no new connection is arriving;
// until then Accept returns those that do. It waits until the listener is
// closed or the context ends. Accept must be running in another goroutine.
func (l *Listener) Drain(ctx context.Context) {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now()) // wakes Accept
	select {
	case <-l.drained:
	case <-ctx.Done():
	}
}

// Close closes the listener. It can be called more than once.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if err := l.TCPListener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return trace.Wrap(err)
	}
	return nil
}
