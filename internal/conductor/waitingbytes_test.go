package conductor

import (
	"io"
	"net"
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
