package conductor

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCloseResetsRequestThatWaitsToBeRead has a process that stood still close a connection
// on which a request has arrived: it counts as idle until the process reads.
func TestCloseResetsRequestThatWaitsToBeRead(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	conn := accepted.(*portConn)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(caller, "request")
	assert.NilError(t, err)
	time.Sleep(minCloseIdle)
	assert.Assert(t, !conn.closeIfUnread())
	_, err = conn.Read(make([]byte, len("request")))
	assert.NilError(t, err)
	conn.endRequest()
	assert.Assert(t, conn.closeIfUnread(), "with nothing left to read")
}
