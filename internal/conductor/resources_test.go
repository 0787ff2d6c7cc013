package conductor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/reserver"
)

// startLimited starts a server on a port that may have two connections.
func startLimited(t *testing.T, resources *Resources, handler http.Handler) (address string) {
	port, err := NewPort(&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, "127.0.0.1:0")
	assert.NilError(t, err)
	port.Listener.Limits = resources.Port("test", 1./64)
	go func() { _ = port.Server.Serve(port.Listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = port.Server.Close() })
	return port.Listener.Addr().String()
}

func connectTo(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	return conn, bufio.NewReader(conn)
}

const plainRequest = "GET / HTTP/1.1\r\nHost: test\r\n\r\n"

// TestSilentConnectionsKeepNewOneOut fills a port with connections that send nothing, or half
// a head. Requests that are being served must not be closed to make room.
func TestSilentConnectionsKeepNewOneOut(t *testing.T) {
	for _, text := range []string{"", "GET / HTTP/1.1\r\nHo"} {
		begun, goOn := make(chan struct{}, 4), make(chan struct{})
		address := startLimited(t, NewResources(0, 128, nil), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			begun <- struct{}{}
			<-goOn
		}))
		_, served := connectTo(t, address, plainRequest)
		<-begun
		_, silent := connectTo(t, address, text)
		time.Sleep(minCloseIdle) // what was sent has been read
		_, other := connectTo(t, address, plainRequest)
		<-begun
		_, err := silent.ReadByte()
		assert.Assert(t, err != nil, "the silent connection is open")
		_, refused := connectTo(t, address, plainRequest)
		_, err = refused.ReadByte()
		assert.Assert(t, err != nil, "a third request is served")
		close(goOn)
		for _, reader := range []*bufio.Reader{served, other} {
			status, _, _ := readResponse(t, reader)
			assert.Equal(t, status, http.StatusOK)
		}
	}
}

// TestBodyWithoutMemoryIsAnswered503 has a handler read a body that does not fit, and call it
// invalid: the sender would not send it again.
func TestBodyWithoutMemoryIsAnswered503(t *testing.T) {
	resources := NewResources(0, 0, nil)
	resources.Memory = &reserver.Budget{Bytes: 32 << 10}
	address := startLimited(t, resources, resources.LimitBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	})))
	for size, want := range map[string]int{"100": http.StatusOK, "65536": http.StatusServiceUnavailable} {
		count := map[string]int{"100": 100, "65536": 65536}[size]
		_, reader := connectTo(t, address, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: "+size+"\r\n\r\n"+strings.Repeat("b", count))
		status, _, _ := readResponse(t, reader)
		assert.Equal(t, status, want)
	}
}
