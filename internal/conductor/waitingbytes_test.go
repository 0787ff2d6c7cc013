package conductor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// acceptOne returns a connection and its accepted end.
func acceptOne(t *testing.T) (caller net.Conn, accepted *portConn) {
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return caller, conn.(*portConn)
}

// TestCloseResetsRequestThatWaitsToBeRead has a process that stood still close a connection
// on which a request has arrived: it counts as idle until the process reads.
func TestCloseResetsRequestThatWaitsToBeRead(t *testing.T) {
	caller, conn := acceptOne(t)
	_, err := io.WriteString(caller, "request")
	assert.NilError(t, err)
	time.Sleep(minCloseIdle)
	assert.Assert(t, !conn.closeIfUnread())
	_, err = conn.Read(make([]byte, len("request")))
	assert.NilError(t, err)
	conn.endRequest()
	assert.Assert(t, conn.closeIfUnread(), "with nothing left to read")
}

// TestRequestIsRunOnClosedConnection has a process stand still between two requests that came
// together: the second one waits in net/http's buffer, where the close of the idle connection
// does not see it.
func TestRequestIsRunOnClosedConnection(t *testing.T) {
	var served atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }), ReadHeaderTimeout: time.Minute}
	port, err := NewPort(server, "127.0.0.1:0")
	assert.NilError(t, err)
	idle, goOn := make(chan struct{}), make(chan struct{})
	var once sync.Once
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		port.conns.Track(conn, state)
		if state == http.StateIdle {
			once.Do(func() {
				close(idle)
				<-goOn
			})
		}
	}
	go func() { _ = server.Serve(port.Listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", port.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: test\r\n\r\n", 2))
	assert.NilError(t, err)
	<-idle
	time.Sleep(minCloseIdle)
	assert.Equal(t, port.conns.CloseIdle(time.Now(), minCloseIdle), 0)
	close(goOn)
	readResponse(t, reader)
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	time.Sleep(minCloseIdle)
	assert.Equal(t, served.Load(), int32(1))
}
