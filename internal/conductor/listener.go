package conductor

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// drainIdleTime is how long no new connection may have arrived before a
	// draining listener is closed: closing a socket resets the connections that
	// wait to be accepted.
	drainIdleTime = 25 * time.Millisecond
	// handshakeTime is how long handshakes that have begun have to end once new
	// connections are kept out.
	handshakeTime = 5 * time.Millisecond
	// arrivalLimit is how long connections that go on arriving hold up a drain. After
	// that they are kept out.
	arrivalLimit = 100 * time.Millisecond
	// drainLimit bounds the rest of a drain if new connections cannot be kept out.
	drainLimit = 200 * time.Millisecond
)

// Listener is a TCP listener that can be drained before it is closed, so that
// no caller that has already connected has its connection reset.
type Listener struct {
	*net.TCPListener
	// Limits, unless nil, limit the connections. They must be set before the first Accept.
	Limits *PortLimits

	draining atomic.Bool
	// keptOut means that new connections were to be kept out; keepOutErr is why they are not.
	keptOut     atomic.Bool
	keepOutOnce sync.Once
	keepOutErr  error

	drained   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen opens a TCP listener on an address, given as host and port.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // such sockets take no filter
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Listener{
		TCPListener: listener.(*net.TCPListener), drained: make(chan struct{}), closed: make(chan struct{}),
	}, nil
}

// acceptError is an error of an open listener. Servers of net/http end at most of them, such
// as a lack of memory for sockets, unless they are temporary.
type acceptError struct{ error }

// Unwrap returns the listener's own error.
func (e acceptError) Unwrap() error { return e.error }

// Timeout implements net.Error.
func (e acceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (e acceptError) Temporary() bool { return true }

// Accept returns the next connection. Once the listener is drained, it blocks
// until Close is called and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining, keptOut := l.draining.Load(), l.keptOut.Load()
		idleTime := drainIdleTime
		if keptOut {
			idleTime = handshakeTime
		}
		now := time.Now()
		if draining {
			_ = l.SetDeadline(now.Add(idleTime)) // on a closed listener, Accept below fails
		}
		conn, err := l.AcceptTCP()
		if err == nil {
			accepted := newPortConn(conn)
			if l.Limits != nil && !l.Limits.admit(accepted) {
				_ = conn.Close() // the caller may have closed it
				continue
			}
			return accepted, nil
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, acceptError{err}
		}
		// A passed deadline ends Accept without a look at the connections that wait.
		if !draining || time.Since(now) < idleTime || isReadable(l) {
			continue
		}
		if keptOut || l.keepOut() != nil {
			return nil, l.finishDrain()
		}
	}
}

// isReadable reports whether connections wait to be accepted on a listener, or bytes or the
// end of the stream to be read from a connection.
func isReadable(socket syscall.Conn) bool {
	return polls(socket, unix.POLLIN)
}

// polls reports whether one of the events of poll(2) holds for a socket, or an error.
func polls(socket syscall.Conn, events int16) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) {
		count, err = unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: events}}, 0)
	})
	return err == nil && count > 0
}

// finishDrain closes the socket and waits for Close.
func (l *Listener) finishDrain() error {
	_ = l.TCPListener.Close() // nothing is lost if the socket fails to close
	close(l.drained)
	<-l.closed
	return net.ErrClosed
}

// Drain closes the listener when Accept has returned all connections that callers
// have opened. Callers that connect in the last moments of it are refused. It waits until
// the listener is closed, or until the context has ended and drainLimit has passed; only for
// drainLimit if new connections cannot be kept out. Accept must be running in another
// goroutine. Drain may be called more than once.
func (l *Listener) Drain(ctx context.Context) {
	if !l.draining.Swap(true) {
		_ = l.SetDeadline(time.Now()) // wakes Accept
	}
	if l.awaitDrainedFor(arrivalLimit) {
		return
	}
	keepOutErr := l.keepOut()
	if !l.awaitDrainedFor(drainLimit) && keepOutErr == nil {
		l.awaitDrained(ctx) // Accept gets the processor late
	}
}

// awaitDrainedFor is awaitDrained with a limit.
func (l *Listener) awaitDrainedFor(limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return l.awaitDrained(ctx)
}

// awaitDrained waits until the listener is closed. It returns false if the context ends first.
func (l *Listener) awaitDrained(ctx context.Context) bool {
	select {
	case <-l.drained:
	case <-l.closed:
	case <-ctx.Done():
		return false
	}
	return true
}

// keepOut keeps new connections out of a draining listener.
func (l *Listener) keepOut() error {
	l.keepOutOnce.Do(func() {
		l.keepOutErr = l.ignoreNewConnections()
		if l.keepOutErr != nil {
			klog.ErrorS(l.keepOutErr, "port closes without a filter: connections that are just being opened may be reset")
		}
		l.keptOut.Store(true)
	})
	return l.keepOutErr
}

// Parts of a TCP header.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
)

// ignoreNewConnections makes the kernel drop the first packet of each new connection,
// while the handshakes that have begun go on. The callers send it again after a second
// and are refused then.
func (l *Listener) ignoreNewConnections() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	const keepWhole = 1<<32 - 1
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K},
		{Code: unix.BPF_RET | unix.BPF_K, K: keepWhole},
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return trace.Wrap(errors.Join(err, optionErr))
}

// Close closes the listener. It can be called more than once.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if err := l.TCPListener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return trace.Wrap(err)
	}
	return nil
}
