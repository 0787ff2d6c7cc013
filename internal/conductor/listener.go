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

// drainGap is how long no connection may have come before a drained listener is
// closed: those that wait to be accepted when a socket is closed are reset.
const drainGap = 5 * time.Millisecond

// Listener is a TCP listener that can be drained before it is closed, so that no
// caller that has connected finds its connection reset.
type Listener struct {
	*net.TCPListener

	draining atomic.Bool
	drained  chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// Listen opens a TCP listener on an address.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Listener{
		TCPListener: listener.(*net.TCPListener), drained: make(chan struct{}), closed: make(chan struct{}),
	}, nil
}

// Accept returns the next connection. Once the listener is drained, it waits for
// Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining := l.draining.Load()
		armed := time.Now()
		if draining {
			_ = l.SetDeadline(armed.Add(drainGap)) // a closed listener fails in Accept
		}
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if draining && time.Since(armed) >= drainGap {
			_ = l.TCPListener.Close() // nothing is lost by a socket that fails to close
			close(l.drained)
			<-l.closed
			return nil, net.ErrClosed
		}
	}
}

// Drain accepts what still comes and closes the listener in a moment in which
// nothing does, or when the context ends.
func (l *Listener) Drain(ctx context.Context) {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now()) // wakes Accept
	select {
	case <-l.drained:
	case <-ctx.Done():
	}
}

// Close closes the listener. It is idempotent.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	if err := l.TCPListener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return trace.Wrap(err)
	}
	return nil
}
