package conductor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrainServesPendingConnections has callers connect before the server
// accepts, and then drains the listener: each caller must get its response, not
// a reset.
func TestDrainServesPendingConnections(t *testing.T) {
	const callers = 20
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})}
	port, err := NewPort(server, "127.0.0.1:0")
	assert.NilError(t, err)
	listener := port.Listener
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	assert.NilError(t, port.Close(context.Background(), 0))
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.ErrorContains(t, err, "refused")
	assert.Assert(t, errors.Is(<-serveErr, http.ErrServerClosed))
	for _, conn := range conns {
		response, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Assert(t, len(response) > 0, "a connection was closed without a response")
		_ = conn.Close()
	}
}

func TestListenerClosesWithoutDrain(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = listener.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed))
	assert.NilError(t, listener.Close())
}

// TestFailedAcceptEndsServer has a listener fail with an error that net/http does not take for a
// temporary one, as the network's errors on Linux and a lack of memory for sockets: the process
// would end with its server, and all requests with it.
func TestFailedAcceptEndsServer(t *testing.T) {
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	port, err := NewPort(server, "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(port.Listener) }()
	raw, err := port.Listener.SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		assert.NilError(t, syscall.Shutdown(int(descriptor), syscall.SHUT_RD)) // accept fails with EINVAL
	}))
	select {
	case err := <-served:
		t.Fatalf("the server has ended: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	assert.NilError(t, server.Close())
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}
