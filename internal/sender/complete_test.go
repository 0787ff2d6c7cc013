package sender_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// resetDelay gives the sender time to read what was sent before a reset, which
// discards it otherwise. The verdict does not depend on it.
const resetDelay = 20 * time.Millisecond

// respondPart sends all but the last missing bytes of a body with a framing, and
// then closes or resets the connection.
func respondPart(contentType, framing, body string, missing int, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		part := body[:len(body)-missing]
		head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
		switch framing {
		case "length":
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), part)
		case "chunks":
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(part), part)
			if missing == 0 {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
		default:
			_, _ = fmt.Fprintf(conn, "%s\r\n%s", head, part)
		}
		if reset {
			time.Sleep(resetDelay)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// TestMalformedHeadIsPassedOn guards against responses whose head no server may send, and whose
// body may therefore be another one than the server meant.
func TestMalformedHeadIsPassedOn(t *testing.T) {
	const whole = "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	for _, head := range []string{"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 200 OK\r\nX Odd: a\r\n", "HTTP/1.1 200 OK\r\nX\x01Odd: a\r\n"} {
		x, writer := newExchange("{}", true)
		refusal := startHandlers(t, respondRaw(head+whole)).Handle(context.Background(), x)
		assert.Assert(t, refusal != nil && writer.Body.Len() == 0, "%q: status %d", head, writer.Code)
	}
}

// TestBrokenResponseLooksComplete sends responses of every framing and ending. A
// part of a stream must end with the error event, and no part of another response
// may reach the caller.
func TestBrokenResponseLooksComplete(t *testing.T) {
	const booking = `{"booking":12,"server":"s"}`
	const events = firstEvent + "id: request-1/2\ndata: two\n\n" + doneEvent
	bodies := []struct{ contentType, body string }{{"application/json", booking}, {"text/event-stream", events}}
	endings := []struct {
		name    string
		missing int
		reset   bool
	}{{"complete", 0, false}, {"closed early", 9, false}, {"reset", 9, true}, {"closed between events", len(doneEvent), false}}
	for _, b := range bodies {
		for _, framing := range []string{"length", "chunks", "neither"} {
			for _, end := range endings {
				t.Run(fmt.Sprintf("%s, framing %s, %s", b.contentType, framing, end.name), func(t *testing.T) {
					x, writer := newExchange("swap", true)
					refusal := startHandlers(t, respondPart(b.contentType, framing, b.body, end.missing, end.reset)).Handle(context.Background(), x)
					received := writer.Body.String()
					switch {
					case end.missing == 0:
						assert.Assert(t, refusal == nil)
						assert.Equal(t, received, b.body)
					case refusal != nil:
						assert.Equal(t, refusal.OutcomeOrNotRun(), exchanger.OutcomeUnknown)
						assert.Equal(t, received, "")
					default:
						assert.Equal(t, b.contentType, "text/event-stream")
						part, _, hasError := strings.Cut(received, "event: error\n")
						assert.Assert(t, hasError && strings.HasPrefix(events, part), "%s", received)
						assert.Equal(t, x.Result.StreamError.Outcome, exchanger.OutcomePartial)
					}
				})
			}
		}
	}
}

// TestNextAnswerEndsInBrokenStream breaks a stream off after its first event. Whatever answers
// next that is not the rest of the stream, the caller gets an error event in place of its end.
func TestNextAnswerEndsInBrokenStream(t *testing.T) {
	const done = "data: [DONE]\n\n"
	raw := func(status, headers, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
	const stream, notRun = "Content-Type: text/event-stream\r\n", "Boragehead-Outcome: not-run\r\n"
	tests := []struct{ name, next string }{
		{"404", raw("404 Not Found", "", "no such part")},
		{"500", raw("500 Internal Server Error", "", "engine failed")},
		{"refused before running", raw("503 Service Unavailable", notRun, "full")},
		{"200 that is no stream", raw("200 OK", "Content-Type: application/json\r\n", `{"sorry":1}`)},
		{"empty stream framed as whole", raw("200 OK", stream, "")},
		{"shorter stream again", raw("200 OK", stream, firstEvent)},
		{"stream of another request", raw("200 OK", stream+exchanger.HeaderRequestID+": other\r\n", "id: other/2\ndata: two\n\n"+done)},
		{"events of another request", raw("200 OK", stream, "id: other/2\ndata: two\n\n"+done)},
		{"head cut off", "HTTP/1.1 200 OK\r\n" + stream},
		{"no answer", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, writer := newExchange(streamedRequest, false)
			s := startHandlers(t, respondInTurn(respondRaw(streamHead+firstEvent), respondRaw(test.next)))
			assert.Assert(t, s.Handle(context.Background(), x) == nil)
			received := writer.Body.String()
			assert.Assert(t, strings.HasPrefix(received, firstEvent+"event: error\n"), "%s", received)
			assert.Equal(t, x.Result.StreamError.Outcome, exchanger.OutcomePartial)
		})
	}
}

// TestHeadCutOffLooksComplete cuts the head of a response off after every byte.
func TestHeadCutOffLooksComplete(t *testing.T) {
	for _, contentType := range []string{"application/json", "text/event-stream"} {
		for _, framing := range []string{"Content-Length: 0\r\n", "Content-Length: 25\r\n", ""} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %q, reset=%v", contentType, framing, reset), func(t *testing.T) {
					t.Parallel()
					head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n" + framing + "\r\n"
					var cut atomic.Int64
					s := startHandlers(t, func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						conn, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							return
						}
						_, _ = io.WriteString(conn, head[:cut.Load()])
						if reset {
							time.Sleep(2 * time.Millisecond)
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					})
					for ; int(cut.Load()) <= len(head); cut.Add(1) {
						x, writer := newExchange("swap", true)
						refusal := s.Handle(context.Background(), x)
						assert.Assert(t, refusal != nil && writer.Body.Len() == 0, "%d bytes: status %d, %q", cut.Load(), writer.Code, writer.Body)
						assert.Equal(t, refusal.OutcomeOrNotRun(), exchanger.OutcomeUnknown)
					}
				})
			}
		}
	}
}
