package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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

// TestHeadCutOffLooksComplete cuts the head of a response off after every byte. Only a whole head
// whose body is complete may reach the caller as a success.
func TestHeadCutOffLooksComplete(t *testing.T) {
	heads := map[string]bool{ // whether the whole head has its whole body
		serverHead + "Content-Length: 0\r\n\r\n":          true,
		serverHead + "Content-Length: 100\r\n\r\n":        false,
		serverHead + "Transfer-Encoding: chunked\r\n\r\n": false,
		serverHead + "\r\n":                               false, // a stream without an event
		strings.Replace(serverHead, "text/event-stream", "text/plain", 1) + "Content-Length: 0\r\n\r\n": true,
		strings.Replace(serverHead, "text/event-stream", "text/plain", 1) + "Content-Length: 9\r\n\r\n": false,
	}
	for head, whole := range heads {
		for _, end := range []ending{endClose, endReset} {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q, %s, relayed=%v", head[len(serverHead)-4:], end, relayed), func(t *testing.T) {
					t.Parallel()
					g := newTestGateway(t, definer.Route{Kind: definer.KindStream, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
						cut, _ := strconv.Atoi(r.URL.Query().Get("cut"))
						conn, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							return
						}
						_, _ = io.WriteString(conn, strings.Replace(head, "ID", r.Header.Get("Id"), 1)[:cut])
						if end == endReset {
							time.Sleep(2 * time.Millisecond)
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					})
					if relayed {
						remote := g
						g = newTestGateway(t, definer.Route{Kind: definer.KindStream, Attempts: 1})
						relayTo(t, g, remote, retryLimit)
					}
					for cut := range len(head) + 1 {
						status, body, err := g.do("POST", "/a?cut="+strconv.Itoa(cut), "prompt")
						complete := status == http.StatusOK && err == nil
						if cut < len(head) || !whole {
							assert.Assert(t, !complete, "%d bytes: status %d, %q", cut, status, body)
						} else if end == endClose {
							assert.Assert(t, complete, "status %d, %v", status, err)
						}
					}
				})
			}
		}
	}
}
