package conductor

import (
	"bufio"
	"fmt"
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

func connectTo(t *testing.T, address, text string) *bufio.Reader {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	return bufio.NewReader(conn)
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
		served := connectTo(t, address, plainRequest)
		<-begun
		silent := connectTo(t, address, text)
		time.Sleep(minCloseIdle) // what was sent has been read
		other := connectTo(t, address, plainRequest)
		<-begun
		_, err := silent.ReadByte()
		assert.Assert(t, err != nil, "the silent connection is open")
		refused := connectTo(t, address, plainRequest)
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
	for size, want := range map[int]int{100: http.StatusOK, 64 << 10: http.StatusServiceUnavailable} {
		reader := connectTo(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)))
		status, _, _ := readResponse(t, reader)
		assert.Equal(t, status, want)
	}
}

// TestCompleteHeadsHoldMemoryOfBytesReadWithThem has two requests at an encrypted port, where
// all that is read counts as a head at its most until the head is complete: the second one
// found no memory.
func TestCompleteHeadsHoldMemoryOfBytesReadWithThem(t *testing.T) {
	resources := NewResources(0, 0, nil)
	resources.Memory = &reserver.Budget{Bytes: 128 << 10}
	begun, goOn := make(chan struct{}, 2), make(chan struct{})
	port, err := NewPort(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-goOn
	})}, "127.0.0.1:0")
	assert.NilError(t, err)
	port.Listener.Limits = resources.Port("test", 1).Secure()
	go func() { _ = port.Server.Serve(port.Listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = port.Server.Close() })
	request := "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("b", 4000)
	var readers []*bufio.Reader
	for range 2 {
		readers = append(readers, connectTo(t, port.Listener.Addr().String(), request))
		time.Sleep(minCloseIdle)
	}
	close(goOn)
	for _, reader := range readers {
		status, _, _ := readResponse(t, reader)
		assert.Equal(t, status, http.StatusOK)
	}
}
