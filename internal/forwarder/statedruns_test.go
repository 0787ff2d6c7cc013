package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
)

var resumableTwice = definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}

// TestStatedRunsPassForStream has second instances end at any moment. The relaying one
// must take their counts neither for events nor for the end of a stream, must not use
// more servers than are left, and must use those that are.
func TestStatedRunsPassForStream(t *testing.T) {
	event, rest := eventsText(1), strings.TrimPrefix(eventsText(6), eventsText(1))
	const (
		head     = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\nBoragehead-Ran: 1\r\n"
		unframed = head + "\r\n"
		chunked  = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	tests := []struct {
		name, head string
		pieces     []string
		text       string
		resumed    bool
	}{
		{"ended before it resumed, or of an earlier release", chunked, []string{event}, eventsText(6), true},
		{"ended after it resumed", chunked, []string{event, ": MARK 2\n\n"}, event, false},
		{"attempt was declined", chunked, []string{event, ": MARK 2\n\n", ": MARK 1\n\n"}, eventsText(6), true},
		{"a server's comment", chunked, []string{event, ": mark 2\n\n"}, event + ": mark 2\n\n" + rest, true},
		{"broken off here, a later count is not read", chunked, []string{event, strings.Repeat(":\n", maxIdleBytes) + "\n"}, event, false},
		{"only a count, framed by the connection", unframed, []string{": MARK 1\n\n"}, eventsText(6), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				call, err := decodeRelayedCall(r)
				assert.Check(t, err == nil && call.runsMark != "")
				raw := test.head
				for _, piece := range test.pieces {
					piece = strings.ReplaceAll(piece, "MARK", call.runsMark)
					if test.head == chunked {
						piece = strconv.FormatInt(int64(len(piece)), 16) + "\r\n" + piece + "\r\n"
					}
					raw += piece
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				_, _ = io.WriteString(conn, raw)
				_ = conn.Close()
			}))
			t.Cleanup(second.Close)
			local := newTestGateway(t, resumableTwice, func(w http.ResponseWriter, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				respondEvents(last+1, 6, true)(w, r)
			})
			local.fleet.relayRegion, local.fleet.relayAddress = "south", netip.MustParseAddrPort(second.Listener.Addr().String())
			status, body, err := local.do("POST", "/a", "x")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, test.text)
			assert.Equal(t, err == nil, test.resumed, "whether the stream looks complete")
			assert.Equal(t, local.serverRequests.Load() == 1, test.resumed)
		})
	}
}

// TestStatedRunsReachCaller has instances of an earlier release relay a stream that breaks:
// they forward comments.
func TestStatedRunsReachCaller(t *testing.T) {
	remote := newTestGateway(t, resumableTwice, respondEvents(1, 2, false), respondEvents(3, 4, false))
	relays := httptest.NewServer(New(testDialect{}, remote.fleet, measurer.New(), retryLimit).RelayHandler())
	t.Cleanup(relays.Close)
	route := resumableTwice
	call := &Call{ID: "r1", Route: &route, Service: &definer.Service{Name: "s"}, Deadline: time.Now().Add(5 * time.Second)}
	for _, mark := range []string{"", "MARK"} {
		call.runsMark = mark
		header, err := encodeRelayedCall(call, "", "", 2)
		assert.NilError(t, err)
		request, err := http.NewRequest(http.MethodPost, relays.URL+"/a", strings.NewReader("x"))
		assert.NilError(t, err)
		request.Host = "gateway"
		request.Header.Set("Id", call.ID)
		request.Header.Set(headerRelay, header)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.Header.Get(headerRan), "1")
		want := eventsText(4)
		if mark != "" {
			want = eventsText(2) + ": MARK 2\n\n" + strings.TrimPrefix(eventsText(4), eventsText(2))
		}
		assert.Equal(t, string(body), want)
	}
}
