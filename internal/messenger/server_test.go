package messenger

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
)

// TestServerStopsWhenHelloArrivesAfterClose has a peer send its hello frame
// after the server has closed all connections that it tracks. A connection
// tracked later would never be closed, and Run would wait for it forever.
func TestServerStopsWhenHelloArrivesAfterClose(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewPlainServer(listener, &Mux{})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	lateConn, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = lateConn.Close() }()
	// Once a second connection is served, the first one has been accepted too.
	servedConn, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	_, err = sendHello(ctx, servedConn, certifier.Identity{Name: "b", Role: certifier.RoleKeeper})
	assert.NilError(t, err)
	for tracked := 0; tracked == 0; {
		server.mu.Lock()
		tracked = len(server.conns)
		server.mu.Unlock()
	}
	cancel()
	server.close()
	_, err = sendHello(context.Background(), lateConn, certifier.Identity{Name: "a", Role: certifier.RoleKeeper})
	assert.NilError(t, err)
	select {
	case err := <-stopped:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the server has not stopped after 5 s")
	}
}

// TestServerWaitsForHelloWhenStopped has a peer connect and send nothing, as one does that
// is suspended.
func TestServerWaitsForHelloWhenStopped(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewPlainServer(listener, &Mux{})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	time.Sleep(50 * time.Millisecond) // it is being accepted
	cancel()
	select {
	case err := <-stopped:
		assert.NilError(t, err)
	case <-time.After(handshakeTimeout / 2):
		t.Fatalf("the server still runs %v after its end", handshakeTimeout/2)
	}
}

// exhaustedListener fails once, as it does when the process has too many open files.
type exhaustedListener struct {
	net.Listener
	once sync.Once
}

func (l *exhaustedListener) Accept() (conn net.Conn, err error) {
	l.once.Do(func() { err = syscall.EMFILE })
	if err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// TestTooManyOpenFilesDoNotEndServer guards against the end of the whole process: it ends
// with the first task that returns.
func TestTooManyOpenFilesDoNotEndServer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewPlainServer(&exhaustedListener{Listener: listener}, &Mux{})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = sendHello(ctx, conn, certifier.Identity{Name: "a", Role: certifier.RoleKeeper})
	assert.NilError(t, err)
	select {
	case err := <-stopped:
		t.Fatalf("the server has ended: %v", err)
	case <-time.After(4 * acceptRetryDelay):
	}
	cancel()
	assert.NilError(t, <-stopped)
}
