package forwarder

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/detector"
)

// TestUnframedAnswerIsNotSound guards against clearing a culprit: a server that
// crashes after the first event of a stream without length or chunks closes the
// connection in order, as if the stream were complete.
func TestUnframedAnswerIsNotSound(t *testing.T) {
	t.Parallel()
	q := &fixedQuarantine{}
	const stream = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
	g := quarantineGateway(t, q, definer.Route{Kind: definer.KindStream, Attempts: 1}, respondRaw(stream))
	status, _, err := g.do("POST", "/a", "x", "Parts", "1 2")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	time.Sleep(detector.SoundAfter + 300*time.Millisecond)
	_, begins := q.counts()
	assert.Equal(t, begins, 0)
}

// resetEarly answers as soon as the head has arrived and resets the connection while the body
// is still sent.
func resetEarly(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(raw, "ID", r.Header.Get("Id")))
		time.Sleep(20 * time.Millisecond) // the body fills the buffers of the connection
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// TestAnswerResetDuringUploadIsWhole guards against a part of an answer without a length that
// callers take for all of it: the write of the request takes the reset, and the reader is
// told that the connection has ended in order.
func TestAnswerResetDuringUploadIsWhole(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n"
	tests := []struct {
		name, raw string
		kind      definer.Kind
	}{
		{"plain", head + "\r\na part", definer.KindAtMostOnce},
		{"stream", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", definer.KindStream},
	}
	upload := strings.Repeat("a", 4<<20)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, definer.Route{Kind: test.kind, Attempts: 1}, resetEarly(test.raw))
			for range 40 {
				status, body, err := g.do("POST", "/a", upload)
				assert.Assert(t, status != http.StatusOK || err != nil, "status %d, body %q", status, body)
			}
		})
	}
}
