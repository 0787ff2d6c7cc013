package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
)

// ending is how a test server ends a response.
type ending string

const (
	endComplete ending = "complete"
	// endClose closes the connection in order after a part of the body.
	endClose ending = "closed early"
	// endReset resets it after a part of the body.
	endReset ending = "reset"
)

// brokenOffBytes is how much is missing of a broken response: less than an event.
const brokenOffBytes = 9

// resetDelay gives the gateway time to read what was sent before a reset, which
// discards it otherwise. The verdict does not depend on it.
const resetDelay = 20 * time.Millisecond

// respondFramed sends a body, or a part of it that ends within an event, with one of
// the three framings of HTTP/1.1.
func respondFramed(contentType string, frame framing, end ending, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		part := body
		if end != endComplete {
			part = body[:len(body)-brokenOffBytes]
		}
		head := "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nSignature: s\r\nContent-Type: " + contentType + "\r\n"
		switch frame {
		case framingLength:
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), part)
		case framingChunked:
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(part), part)
			if end == endComplete {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
		case framingClose:
			_, _ = fmt.Fprintf(conn, "%s\r\n%s", head, part)
		}
		if end == endReset {
			time.Sleep(resetDelay)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// TestBrokenResponseLooksCompleteAfterHop sends responses of every framing and
// ending over one instance and over two.
func TestBrokenResponseLooksCompleteAfterHop(t *testing.T) {
	const plain, stream = "application/octet-stream", "text/event-stream"
	for _, contentType := range []string{plain, stream} {
		for _, frame := range []framing{framingLength, framingChunked, framingClose} {
			for _, end := range []ending{endComplete, endClose, endReset} {
				for _, relayed := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, framing %s, %s, relayed=%v", contentType, frame, end, relayed), func(t *testing.T) {
						body := eventsText(6)
						route := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}
						if contentType == stream {
							route.Kind = definer.KindStream
						}
						g := newTestGateway(t, route, respondFramed(contentType, frame, end, body))
						if relayed {
							remote := g
							g = newTestGateway(t, route)
							relayTo(t, g, remote, retryLimit)
						}
						status, received, err := g.do("POST", "/a", "prompt")
						isComplete := status == http.StatusOK && err == nil
						if end == endComplete {
							assert.Assert(t, isComplete, "status %d, %v", status, err)
							assert.Equal(t, received, body)
							return
						}
						if contentType == plain && frame == framingClose && end == endClose {
							// An orderly close is all that ends such a body.
							assert.Assert(t, isComplete, "status %d, %v", status, err)
							return
						}
						assert.Assert(t, !isComplete, "%q", received)
						if status == http.StatusOK {
							assert.Assert(t, strings.HasPrefix(body, received), "%q", received)
						}
					})
				}
			}
		}
	}
}
