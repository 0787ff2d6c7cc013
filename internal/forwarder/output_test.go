package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
)

// respondEvents returns a handler that streams events from one number to another.
// Unless complete is set, it then breaks off within an event.
func respondEvents(from, to int, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		signResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		}
		_ = http.NewResponseController(w).Flush()
		if !complete {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// eventsText returns the stream of the events from 1 to a number.
func eventsText(to int) string {
	var text strings.Builder
	for i := 1; i <= to; i++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return text.String()
}

func TestStreams(t *testing.T) {
	plain := definer.Route{Kind: definer.KindStream, Attempts: 2}
	resumable := definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}
	resume := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		respondEvents(last+1, 6, true)(w, r)
	}
	restart := func(w http.ResponseWriter, r *http.Request) { respondEvents(2, 6, true)(w, r) }
	tests := []struct {
		name     string
		route    definer.Route
		handlers []http.HandlerFunc
		body     string
		complete bool
	}{
		{"complete stream", plain, []http.HandlerFunc{respondEvents(1, 6, true)}, eventsText(6), true},
		{"stream broken off within an event", plain, []http.HandlerFunc{respondEvents(1, 3, false), resume}, eventsText(3), false},
		{"stream resumed at another server", resumable, []http.HandlerFunc{respondEvents(1, 3, false), resume}, eventsText(6), true},
		{"duplicate events are dropped", resumable, []http.HandlerFunc{respondEvents(1, 3, false), restart}, eventsText(6), true},
		{"stream cannot be resumed", resumable, []http.HandlerFunc{respondEvents(1, 3, false), respond(500, "x")}, eventsText(3), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, test.route, test.handlers...)
			status, body, err := g.do("POST", "/a", "prompt")
			if status == 0 {
				assert.ErrorContains(t, err, "EOF")
				return
			}
			assert.Equal(t, status, 200)
			assert.Equal(t, body, test.body)
			assert.Equal(t, err == nil, test.complete, "%v", err)
		})
	}
}

// serverHead is the head of a signed response that declares neither a length nor
// chunks, up to the blank line.
const serverHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"

// TestStreamEndingWithinEventIsNotComplete covers streams whose connection, or
// last chunk, ends them in order within an event.
func TestStreamEndingWithinEventIsNotComplete(t *testing.T) {
	plain := definer.Route{Kind: definer.KindStream, Attempts: 2}
	resumable := definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}
	resume := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		respondEvents(last+1, 6, true)(w, r)
	}
	unframed := func(tail string) http.HandlerFunc { return respondRaw(serverHead + "\r\n" + eventsText(3) + tail) }
	chunked := func(tail string) http.HandlerFunc {
		body := eventsText(3) + tail
		return respondRaw(fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", serverHead, len(body), body))
	}
	tests := []struct {
		name     string
		route    definer.Route
		server   http.HandlerFunc
		body     string
		complete bool
	}{
		{"no framing, within a field", plain, unframed("id: 4\ndata: pie"), eventsText(3), false},
		{"no framing, between two fields", plain, unframed("id: 4\n"), eventsText(3), false},
		{"no framing, before the blank line", plain, unframed("id: 4\ndata: piece 4\n"), eventsText(3), false},
		{"no framing, resumed at another server", resumable, unframed("id: 4\nda"), eventsText(6), true},
		{"no framing, complete", plain, unframed(""), eventsText(3), true},
		{"no framing, complete with a comment", plain, unframed(": bye\n"), eventsText(3) + ": bye\n", true},
		{"no framing, within a comment", plain, unframed(": by"), eventsText(3), false},
		{"last chunk within an event", plain, chunked("id: 4\nda"), eventsText(3), false},
		{"last chunk within an event, resumed", resumable, chunked("id: 4\nda"), eventsText(6), true},
		{"last chunk after an event", plain, chunked(""), eventsText(3), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, test.route, test.server, resume)
			status, body, err := g.do("POST", "/a", "prompt")
			assert.Equal(t, status, 200, "%v", err)
			assert.Equal(t, body, test.body)
			assert.Equal(t, err == nil, test.complete, "%v", err)
		})
	}
}

// TestUnframedStreamWithoutEventsIsNotComplete covers a server that closes its
// connection in order right after the header.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	route := definer.Route{Kind: definer.KindStream, Attempts: 2}
	g := newTestGateway(t, route, respondRaw(serverHead+"\r\n"))
	status, body, err := g.do("POST", "/a", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, body, "no-answer")
	g = newTestGateway(t, route, respondRaw(serverHead+"Content-Length: 0\r\n\r\n"))
	status, body, err = g.do("POST", "/a", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "")
}

// TestBrokenStreamLooksCompleteToHTTP10Caller covers callers that know no chunks:
// only a reset tells them that a stream is incomplete.
func TestBrokenStreamLooksCompleteToHTTP10Caller(t *testing.T) {
	tests := []struct {
		name     string
		complete bool
	}{{"broken off", false}, {"complete", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, definer.Route{Kind: definer.KindStream, Attempts: 1}, respondEvents(1, 3, test.complete))
			conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /a HTTP/1.0\r\nHost: gateway\r\nId: r1\r\nKey: key-one\r\n\r\n")
			assert.NilError(t, err)
			text, err := io.ReadAll(conn)
			if test.complete {
				assert.NilError(t, err)
				assert.Assert(t, strings.HasSuffix(string(text), "\r\n\r\n"+eventsText(3)), "%s", text)
				return
			}
			assert.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// TestResumeRepeatsEventsWithoutID covers a stream that breaks off after an event
// that no Last-Event-Id can name.
func TestResumeRepeatsEventsWithoutID(t *testing.T) {
	route := definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}
	const piece, comment = "data: piece 2\n\n", ": keep-alive\n\n"
	broken := func(events string) http.HandlerFunc {
		return respondRaw(serverHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(events), events))
	}
	tests := []struct {
		name     string
		events   string
		body     string
		complete bool
	}{
		{"last event without an id", eventsText(1) + piece, eventsText(1) + piece, false},
		{"no event with an id", piece, piece, false},
		{"id after the event without one", piece + eventsText(1), piece + eventsText(1) + "data: rest\n\n", true},
		{"last event is a comment", eventsText(1) + comment, eventsText(1) + comment + "data: rest\n\n", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, route, broken(test.events), respondRaw(serverHead+"\r\ndata: rest\n\n"))
			status, body, err := g.do("POST", "/a", "prompt")
			assert.Equal(t, status, 200, "%v", err)
			assert.Equal(t, body, test.body)
			assert.Equal(t, err == nil, test.complete, "%v", err)
		})
	}
}

// TestNextAnswerEndsInBrokenStream breaks a stream off after its third event. Whatever answers
// next that is not the rest of the stream, the caller gets nothing of it, and no end.
func TestNextAnswerEndsInBrokenStream(t *testing.T) {
	const plainHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Type: text/plain\r\n"
	const rest = "id: 4\ndata: piece 4\n\n"
	const comments = ": working\n\n: bye\n\n"
	raw := func(head, body string) http.HandlerFunc {
		return respondRaw(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
	}
	tests := []struct {
		name     string
		next     http.HandlerFunc
		complete bool
	}{
		{"rest", respondEvents(4, 6, true), true},
		{"whole stream again, nothing missing", raw(serverHead, eventsText(3)), true},
		{"404", respond(404, "no such part"), false},
		{"429 of a request that may have run", respond(429, "slow down"), false},
		{"declined", decline, false},
		{"500", respond(500, "engine failed"), false},
		{"503", respond(503, "engine failed"), false},
		{"200 that is no stream", raw(plainHead, "sorry"), false},
		{"200 without a type", raw(strings.Replace(serverHead, "Content-Type: text/event-stream\r\n", "", 1), rest), false},
		{"206 with a stream's type", raw(strings.Replace(serverHead, "200 OK", "206 Partial Content", 1), rest), false},
		{"empty stream framed as whole", raw(serverHead, ""), false},
		{"empty stream, last chunk", respondRaw(serverHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), false},
		{"empty stream, closed", respondRaw(serverHead + "\r\n"), false},
		{"comments alone", raw(serverHead, comments), false},
		{"shorter stream again", raw(serverHead, eventsText(2)), false},
		{"stream of another request", raw(strings.Replace(serverHead, "ID", "r2", 1), rest), false},
		{"stream without a proof", raw(strings.Replace(serverHead, "Signature: s\r\n", "", 1), rest), false},
		{"head cut off", respondRaw(serverHead), false},
		{"no answer", respondRaw(""), false},
	}
	for _, test := range tests {
		for _, way := range []string{"here", "relayed", "broken off there, next here", "broken off here, next there"} {
			t.Run(test.name+", "+way, func(t *testing.T) {
				route := definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}
				first := respondEvents(1, 3, false)
				var g *testGateway
				switch way {
				case "here":
					g = newTestGateway(t, route, first, test.next)
				case "relayed":
					g = newTestGateway(t, route)
					relayTo(t, g, newTestGateway(t, route, first, test.next), retryLimit)
				case "broken off there, next here":
					g = newTestGateway(t, route, test.next)
					relayTo(t, g, newTestGateway(t, route, first), retryLimit)
				default:
					g = newTestGateway(t, route, first)
					relayTo(t, g, newTestGateway(t, route, test.next), retryLimit)
					g.fleet.relayLast = true
				}
				status, body, err := g.do("POST", "/a", "prompt")
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, err == nil, test.complete, "whether the stream looks complete")
				body = strings.TrimSuffix(body, comments)
				assert.Assert(t, body == eventsText(3) || test.name == "rest" && body == eventsText(6), "%q", body)
			})
		}
	}
}

// TestPartOfNextEventDelaysEvent covers a server whose packet ends within the next
// event: the complete ones before it must not wait for the rest.
func TestPartOfNextEventDelaysEvent(t *testing.T) {
	const first = "id: 1\ndata: piece 1\n\n"
	received := make(chan struct{})
	g := newTestGateway(t, definer.Route{Kind: definer.KindStream, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		signResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, first+"id: 2\nda")
		_ = http.NewResponseController(w).Flush()
		<-received
		_, _ = io.WriteString(w, "ta: piece 2\n\n")
	})
	response, err := http.DefaultClient.Do(g.newRequest("POST", "/a", "prompt"))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	event := make([]byte, len(first))
	_, err = io.ReadFull(response.Body, event)
	close(received)
	assert.NilError(t, err)
	assert.Equal(t, string(event), first)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "id: 2\ndata: piece 2\n\n")
}
