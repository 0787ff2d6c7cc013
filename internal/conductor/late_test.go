package conductor

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrainWithLateAcceptResetsNoConnection has Accept get the processor only after a drain
// should long have ended.
func TestDrainWithLateAcceptResetsNoConnection(t *testing.T) {
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	port, err := NewPort(server, "127.0.0.1:0")
	assert.NilError(t, err)
	caller, err := net.Dial("tcp", port.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	assert.NilError(t, err)
	closed := make(chan error, 1)
	go func() { closed <- port.Close(t.Context(), 0) }()
	time.Sleep(2 * drainLimit)
	go func() { _ = server.Serve(port.Listener) }() // returns when the port is closed
	response, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Assert(t, len(response) > 0)
	assert.NilError(t, <-closed)
}
