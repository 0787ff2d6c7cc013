package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/imitator"
	"github.com/boragehead/boragehead/internal/registrar"
)

// refusalText is a server's refusal of a request, without an id if that is empty.
func refusalText(status int, id string, headers string) string {
	if id != "" {
		headers = "Id: " + id + "\r\n" + headers
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\nNot-Run: 1\r\n%s\r\n", status, headers)
}

// newRepeater returns a server that writes a refusal once more before it runs a request.
func newRepeater(first, repeated string) *imitator.Repeater {
	return &imitator.Repeater{
		IDHeader: "Id", First: []string{first}, Repeated: repeated, Work: 4 * time.Second,
		Answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwhole",
	}
}

// startRepeater lets a server listen until the end of the test.
func startRepeater(t *testing.T, server *imitator.Repeater) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() { server.Serve(listener) })
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestEarlierRefusalIsTakenForLaterRequest guards against a server that writes a refusal
// once more on a kept connection: its caller is told that the request has not run, or
// another server runs it, too.
func TestEarlierRefusalIsTakenForLaterRequest(t *testing.T) {
	const empty = "Content-Length: 0\r\n"
	large := strings.Repeat("x", 1<<20)
	tests := []struct {
		name            string
		first, repeated string
		id, body        string // of the later request
		early           bool
	}{
		{"without id", refusalText(503, "", empty), refusalText(503, "", empty), "r2", "x", false},
		{"id only in the first", refusalText(503, "r1", empty), refusalText(503, "", empty), "r2", "x", false},
		{"429 without id", refusalText(429, "r1", empty), refusalText(429, "", empty), "r2", "x", false},
		{"421 of another server without id", refusalText(421, "r1", empty), refusalText(421, "", "Other-Server: 1\r\n"+empty), "r2", "x", false},
		{"400 without id", refusalText(400, "r1", empty), refusalText(400, "", empty), "r2", "x", false},
		{"id of the earlier request", refusalText(503, "r1", empty), refusalText(503, "r1", empty), "r2", "x", false},
		{"the same id, sent again", refusalText(503, "r1", empty), refusalText(503, "r1", empty), "r1", "x", false},
		{"the same id, sent again, 421", refusalText(421, "r1", empty), refusalText(421, "r1", empty), "r1", "x", false},
		{"after an interim response", refusalText(503, "r1", empty), "HTTP/1.1 103 Early Hints\r\n\r\n" + refusalText(503, "", empty), "r2", "x", false},
		{"without length", refusalText(503, "r1", empty), refusalText(503, "", ""), "r2", "x", false},
		{"body shorter than its length", refusalText(503, "r1", empty), refusalText(503, "", "Content-Length: 9\r\n") + "half", "r2", "x", false},
		{"body longer than its length", refusalText(503, "r1", empty), refusalText(503, "", "Content-Length: 1\r\n") + "longer", "r2", "x", false},
		{"before the body is in", refusalText(503, "r1", empty), refusalText(503, "", empty), "r2", large, true},
		{"id of the earlier request, before the body is in", refusalText(503, "r1", empty), refusalText(503, "r1", empty), "r2", large, true},
		{"without body", refusalText(503, "r1", empty), refusalText(503, "", empty), "r2", "", false},
		{"after the head of the answer", refusalText(503, "r1", empty),
			"HTTP/1.1 200 OK\r\nId: r2\r\nSignature: s\r\nContent-Length: 9999\r\n\r\n" + refusalText(503, "r2", empty), "r2", "x", false},
	}
	for _, test := range tests {
		for _, setting := range []string{"alone", "beside a sound server", "relayed"} {
			t.Run(test.name+", "+setting, func(t *testing.T) {
				t.Parallel()
				server := newRepeater(test.first, test.repeated)
				server.Early = test.early
				g, runsElsewhere := repeatingGateway(t, server, setting)
				_, _, err := g.do("POST", "/a", "x", "Id", "r1")
				assert.NilError(t, err)
				before := runsElsewhere()

				status, _, err := g.do("POST", "/a", test.body, "Id", test.id)
				assert.NilError(t, err)
				assert.Assert(t, status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "status %d promises something", status)
				assert.Equal(t, runsElsewhere(), before, "the request ran at two servers")
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if server.Working() == 0 {
						return poll.Success()
					}
					return poll.Continue("the server works on a request that nobody waits for")
				}, poll.WithTimeout(time.Second))
			})
		}
	}
}

// repeatingGateway returns a gateway in front of a repeating server, and a function that
// counts the runs at the sound server that may be beside it. The gateway relays its
// requests to them in one setting.
func repeatingGateway(t *testing.T, server *imitator.Repeater, setting string) (*testGateway, func() int32) {
	route := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1, Timeout: 2 * time.Second}
	g := newTestGateway(t, route, respond(200, "elsewhere"))
	g.fleet.servers = append([]registrar.Server{{Name: "repeating", Address: startRepeater(t, server)}}, g.fleet.servers...)
	switch setting {
	case "alone":
		g.fleet.servers = g.fleet.servers[:1]
	case "relayed":
		first := newTestGateway(t, route)
		relayTo(t, first, g, retryLimit)
		return first, g.serverRequests.Load
	}
	return g, g.serverRequests.Load
}

// TestRefusalIsTakenForLaterRequestAtReusedAddress guards against the same with one request
// alone: the address of a server that is listed under two names is tried twice.
func TestRefusalIsTakenForLaterRequestAtReusedAddress(t *testing.T) {
	refusal := refusalText(http.StatusMisdirectedRequest, "r1", "Content-Length: 0\r\n")
	server := newRepeater(refusal, refusal)
	g, runsElsewhere := repeatingGateway(t, server, "beside a sound server")
	g.fleet.servers = append([]registrar.Server{{Name: "replaced", Address: g.fleet.servers[0].Address}}, g.fleet.servers...)
	status, _, err := g.do("POST", "/a", "x", "Id", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, runsElsewhere(), int32(0), "the request ran at two servers")
}

// TestRefusalWrittenTwiceAtOnce guards against a refusal that is read together with the one
// before it and waits for the next request, which may take the connection at any moment.
func TestRefusalWrittenTwiceAtOnce(t *testing.T) {
	const callers, requests = 4, 100
	refusal := refusalText(http.StatusServiceUnavailable, "", "Content-Length: 0\r\n")
	server := newRepeater(strings.Replace(refusal, "Not-Run", "Id: ID\r\nNot-Run", 1)+refusal, "")
	server.Work = 0
	var mu sync.Mutex
	elsewhere := map[string]int{}
	g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		elsewhere[r.Header.Get("Id")]++
		mu.Unlock()
		respond(200, "elsewhere")(w, r)
	})
	g.fleet.servers = append([]registrar.Server{{Name: "repeating", Address: startRepeater(t, server)}}, g.fleet.servers...)
	var waiting sync.WaitGroup
	for caller := range callers {
		waiting.Go(func() {
			for number := range requests {
				_, _, err := g.do("POST", "/a", "x", "Id", fmt.Sprint("r", caller, "-", number))
				assert.Check(t, err == nil, "%v", err)
			}
		})
	}
	waiting.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, count := range elsewhere {
		assert.Check(t, count+server.Runs(id) <= 1, "%s ran %d times elsewhere, %d times here", id, count, server.Runs(id))
	}
}

// TestUnsignedResponseBreaksOffOthers guards against closing a connection whose responses
// are in order, as the next request may be on it already, and against keeping one whose
// responses may not be.
func TestUnsignedResponseBreaksOffOthers(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprint("names the request: ", named), func(t *testing.T) {
			addresses := make(chan string, 2)
			g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
				addresses <- r.RemoteAddr
				if named {
					w.Header().Set("Id", r.Header.Get("Id"))
				}
			})
			for range cap(addresses) {
				status, _, err := g.do("POST", "/a", "x")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusBadGateway)
			}
			first, second := <-addresses, <-addresses
			assert.Equal(t, first == second, named, "whether the connection is kept")
		})
	}
}

// TestRefusalOfAnsweredIDIsNotBelieved guards against a caller that is told nothing of a
// request that was refused, since an earlier one with its id was answered on the connection.
func TestRefusalOfAnsweredIDIsNotBelieved(t *testing.T) {
	var requests atomic.Int32
	g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			respond(200, "whole")(w, r)
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		status, _, err := g.do("POST", "/a", "x")
		assert.NilError(t, err)
		assert.Equal(t, status, want)
	}
}

// TestRequestIsLostOnDiscardedConnection guards against a request that gets a connection
// which was closed after another request's response, and fails though nothing was sent.
func TestRequestIsLostOnDiscardedConnection(t *testing.T) {
	var requests atomic.Int32
	g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%2 == 0 {
			respond(200, "whole")(w, r)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, refusalText(503, "other", "Content-Length: 0\r\n"))
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes it
	})
	for number := range 400 {
		status, _, err := g.do("POST", "/a", "x")
		assert.NilError(t, err)
		assert.Equal(t, status, []int{http.StatusBadGateway, http.StatusOK}[number%2], "request %d", number)
	}
}

// spentConn takes one request, and nothing after it.
type spentConn struct {
	net.Conn
	writes atomic.Int32
}

func (c *spentConn) Write(data []byte) (int, error) {
	if c.writes.Add(1) > 1 {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// TestRequestIsNotSentAgainThoughNothingWasWritten guards against the same without a race: the
// kept connection fails at the first byte of the second request.
func TestRequestIsNotSentAgainThoughNothingWasWritten(t *testing.T) {
	g, forwarder := versionGateway(t, &fixedOrigins{versions: map[string]string{}}, "v1", respond(200, "whole"))
	forwarder.serverTransport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &spentConn{Conn: conn}, err
	}
	for range 2 {
		status, body, err := g.do("POST", "/a", "x")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, "%s", body)
	}
}
