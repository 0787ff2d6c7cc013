package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
)

// TestLateRequestCancelsNextOnConnection sends a request on a connection that has carried one
// whose deadline passed before its body was there, or before it was looked for. net/http ends
// the contexts of all requests on a connection after a read that failed or timed out.
func TestLateRequestCancelsNextOnConnection(t *testing.T) {
	const patience = 100 * time.Millisecond
	tests := []struct {
		name, head string
		// rest follows the head after pause.
		rest  string
		pause time.Duration
	}{
		{"no body, deadline passed", "GET /a HTTP/1.1\r\nPatience: 1ns\r\n", "", 0},
		{"body ends late", "POST /a HTTP/1.1\r\nContent-Length: 10\r\nPatience: " + patience.String() + "\r\n", "0123456789", patience + 20*time.Millisecond},
		{"chunks end late", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nPatience: " + patience.String() + "\r\n", "1\r\nx\r\n0\r\n\r\n", patience + 20*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, definer.Route{}, respond(http.StatusOK, "whole"))
			conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			reader := bufio.NewReader(conn)
			const common = "Host: gateway\r\nKey: key-one\r\nId: "
			_, err = io.WriteString(conn, test.head+common+"r1\r\n\r\n")
			assert.NilError(t, err)
			time.Sleep(test.pause)
			_, err = io.WriteString(conn, test.rest)
			assert.NilError(t, err)
			late, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			defer func() { _ = late.Body.Close() }()
			text, err := io.ReadAll(late.Body)
			assert.NilError(t, err)
			assert.Assert(t, late.StatusCode >= http.StatusBadRequest, "%d %s", late.StatusCode, text)
			if late.Close {
				return // the next request comes on another connection
			}
			_, err = io.WriteString(conn, "GET /a HTTP/1.1\r\n"+common+"r2\r\n\r\n")
			assert.NilError(t, err)
			next, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			defer func() { _ = next.Body.Close() }()
			assert.Equal(t, next.StatusCode, http.StatusOK)
		})
	}
}
