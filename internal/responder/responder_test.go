package responder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerLimit is how long an answer may be withheld from a client.
const answerLimit = 500 * time.Millisecond

const refusalText = "refused without reading the body"

// newRefuser starts a server that refuses every request without reading its body, and
// counts the requests.
func newRefuser(t *testing.T) (address string, requests *atomic.Int32) {
	requests = &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		Answer(w, r, func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, refusalText)
		})
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

func connect(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: test\r\n"+text)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	return conn, bufio.NewReader(conn)
}

// readRefusal reads an answer and checks that it is complete. It reports whether the
// connection is to be closed.
func readRefusal(t *testing.T, from *bufio.Reader) (closing bool) {
	response, err := http.ReadResponse(from, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Equal(t, string(body), refusalText)
	return response.Close
}

func TestAnswerWaitsForUnfinishedBody(t *testing.T) {
	cases := []struct {
		name, text string
	}{
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
		{"within a chunk", "Transfer-Encoding: chunked\r\n\r\n50\r\nhello"},
		{"length", "Content-Length: 50\r\n\r\nhello"},
		{"nothing yet", "Content-Length: 50\r\n\r\n"},
		{"asked for", "Expect: 100-continue\r\nContent-Length: 50\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, requests := newRefuser(t)
			started := time.Now()
			conn, reader := connect(t, address, c.text)
			closing := readRefusal(t, reader)
			assert.Assert(t, time.Since(started) < answerLimit, "answered after %v", time.Since(started))
			assert.Assert(t, closing, "the client may send another request")
			_, _ = io.WriteString(conn, "GET /rest HTTP/1.1\r\nHost: test\r\n\r\n")
			rest, err := io.ReadAll(reader)
			assert.NilError(t, err, "the connection must end without a reset")
			assert.Equal(t, len(rest), 0)
			assert.Equal(t, requests.Load(), int32(1), "the rest of a body was taken for a request")
		})
	}
}

func TestConnectionIsKeptAfterWholeBody(t *testing.T) {
	address, _ := newRefuser(t)
	conn, reader := connect(t, address, "Content-Length: 10\r\n\r\nhello")
	time.Sleep(endWait / 5)
	_, err := io.WriteString(conn, "hello")
	assert.NilError(t, err)
	assert.Assert(t, !readRefusal(t, reader))
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	readRefusal(t, reader)
}

// TestAnswerIsLostWhileClientWrites has a client read only once it has sent all of its body.
func TestAnswerIsLostWhileClientWrites(t *testing.T) {
	address, _ := newRefuser(t)
	conn, reader := connect(t, address, "Content-Length: 4194304\r\n\r\n")
	part := strings.Repeat("x", 64<<10)
	for range 64 {
		_, err := io.WriteString(conn, part)
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	readRefusal(t, reader)
}
