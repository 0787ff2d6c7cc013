package conductor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startPort starts a server on a port, and returns a connection to it.
func startPort(t *testing.T, handler http.HandlerFunc) (*DrainableServer, net.Conn, *bufio.Reader) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	port, err := NewPort(server, "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(port.Listener) }() // returns when the port is closed
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", port.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return port, conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, reader *bufio.Reader) (status int, body string, asksToClose bool) {
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text), response.Close
}

// TestCloseDoesNotCutRequestBeingRead closes a port while the head of the second
// request of a connection is half read: net/http still calls that connection idle.
func TestCloseDoesNotCutRequestBeingRead(t *testing.T) {
	port, conn, reader := startPort(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nfirst")
	assert.NilError(t, err)
	_, body, _ := readResponse(t, reader)
	assert.Equal(t, body, "first")
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: te")
	assert.NilError(t, err)
	time.Sleep(2 * minCloseIdle)
	closed := make(chan error, 1)
	go func() { closed <- port.Close(t.Context(), 0) }()
	time.Sleep(4 * minCloseIdle)
	_, err = io.WriteString(conn, "st\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n")
	assert.NilError(t, err)
	time.Sleep(4 * minCloseIdle)
	_, err = io.WriteString(conn, "3\r\nond\r\n0\r\n\r\n")
	assert.NilError(t, err)
	_, body, asksToClose := readResponse(t, reader)
	assert.Equal(t, body, "second")
	assert.Assert(t, asksToClose)
	assert.NilError(t, <-closed)
}

// TestRequestsOpenAtStopLimitAreAnswered has the stop limit pass while a request is open.
func TestRequestsOpenAtStopLimitAreAnswered(t *testing.T) {
	begun := make(chan struct{})
	port, conn, reader := startPort(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), ErrStopping) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	assert.NilError(t, err)
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.NilError(t, port.Close(ctx, 0))
	status, _, _ := readResponse(t, reader)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// TestCloseReportsCutRequests has a handler take longer than answerTime.
func TestCloseReportsCutRequests(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	port, conn, _ := startPort(t, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-end
	})
	defer close(end)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	assert.NilError(t, err)
	<-begun
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, errors.Is(port.Close(ctx, 0), ErrRequestsCut))
}

// TestSlowCallerLosesRestOfAnswer has a caller take the rest of a whole answer only some time
// after the end of a stop.
func TestSlowCallerLosesRestOfAnswer(t *testing.T) {
	answer := make([]byte, 8<<20) // more than a connection buffers
	port, conn, reader := startPort(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
	})
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	assert.NilError(t, err)
	_, err = reader.Peek(1)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	closed := make(chan error, 1)
	go func() { closed <- port.Close(ctx, 0) }()
	time.Sleep(answerTime * 3 / 2)
	_, body, _ := readResponse(t, reader)
	assert.Equal(t, len(body), len(answer))
	assert.NilError(t, <-closed)
}
