package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
)

// newStoppableGateway returns a gateway whose forwarder serves a port.
func newStoppableGateway(t *testing.T, handler http.HandlerFunc) (*testGateway, *Forwarder, *conductor.DrainableServer) {
	g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, handler)
	f := New(testDialect{}, g.fleet, measurer.New(), retryLimit)
	port := servePort(t, f)
	g.server.URL = "http://" + port.Listener.Addr().String()
	return g, f, port
}

func servePort(t *testing.T, handler http.Handler) *conductor.DrainableServer {
	port, err := conductor.NewPort(&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = port.Server.Serve(port.Listener) }() // returns when the port is closed
	t.Cleanup(func() { _ = port.Server.Close() })
	return port
}

// stopsRelays returns a gateway that relays to another one, as to another region, whose
// forwarder and port of relays it returns too.
func stopsRelays(t *testing.T, to *testGateway) (*testGateway, *Forwarder, *conductor.DrainableServer) {
	from := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1})
	f := New(testDialect{}, to.fleet, measurer.New(), retryLimit)
	port := servePort(t, f.RelayHandler())
	from.fleet.relayRegion, from.fleet.relayAddress = "south", netip.MustParseAddrPort(port.Listener.Addr().String())
	return from, f, port
}

// TestStoppingInstanceRefusesRequestsThatMayOutlastIt sends requests whose deadline is
// after the end of a stop, however soon their servers answer, and others.
func TestStoppingInstanceRefusesRequestsThatMayOutlastIt(t *testing.T) {
	g, f, _ := newStoppableGateway(t, respond(http.StatusOK, "answer"))
	f.RefuseEndingAfter(time.Now().Add(2 * time.Second))
	for _, c := range []struct {
		patience string
		status   int
		body     string
	}{
		{"1s", http.StatusOK, "answer"}, {"3s", http.StatusServiceUnavailable, "stopping"}, {"", http.StatusServiceUnavailable, "stopping"},
	} {
		status, body, err := g.do("POST", "/a", "x", "Patience", c.patience)
		assert.NilError(t, err)
		assert.Equal(t, status, c.status, c.patience)
		assert.Equal(t, body, c.body, c.patience)
	}
	assert.Equal(t, g.serverRequests.Load(), int32(1))
}

// TestStoppingInstanceRefusesRelaysThatMayOutlastIt has the instance that relays get its
// request back as not run, and serve it itself.
func TestStoppingInstanceRefusesRelaysThatMayOutlastIt(t *testing.T) {
	to := newTestGateway(t, onceRoute, respond(http.StatusOK, "relayed"))
	from, f, _ := stopsRelays(t, to)
	f.RefuseEndingAfter(time.Now().Add(2 * time.Second))
	from.fleet.servers = newTestGateway(t, onceRoute, respond(http.StatusOK, "own")).fleet.servers
	for _, c := range []struct{ patience, body string }{{"1s", "relayed"}, {"3s", "own"}} {
		status, body, err := from.do("POST", "/a", "x", "Patience", c.patience)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, c.body, c.patience)
	}
}

// writeHalfRequest sends the head and a chunk of a request that has another chunk.
func writeHalfRequest(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: gateway\r\nId: r1\r\nKey: key-one\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	assert.NilError(t, err)
	return conn
}

func waitForPhase(t *testing.T, f *Forwarder, phase string) {
	for range 200 {
		if open := f.OpenRequests(); len(open) == 1 && open[0].Phase == phase {
			assert.Equal(t, open[0].ID, "r1")
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no request in phase %s: %+v", phase, f.OpenRequests())
}

func readStatus(t *testing.T, conn net.Conn) int {
	status, _ := readAnswer(t, conn)
	return status
}

// readAnswer returns the status of a response and whether it is complete.
func readAnswer(t *testing.T, conn net.Conn) (status int, complete bool) {
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

// TestRequestWhoseBodyEndsDuringStopIsRefused has a stop begin between the head of a
// request and the end of its body.
func TestRequestWhoseBodyEndsDuringStopIsRefused(t *testing.T) {
	g, f, port := newStoppableGateway(t, respond(http.StatusOK, "answer"))
	conn := writeHalfRequest(t, port.Listener.Addr().String())
	waitForPhase(t, f, "body")
	f.RefuseEndingAfter(time.Now().Add(time.Second))
	_, err := io.WriteString(conn, "3\r\ndef\r\n0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, conn), http.StatusServiceUnavailable)
	assert.Equal(t, g.serverRequests.Load(), int32(0))
}

// TestRefusedRequestHoldsStop has a caller go on sending a request that is refused: the
// connection is read on for a moment, but the request is not in progress.
func TestRefusedRequestHoldsStop(t *testing.T) {
	_, f, port := newStoppableGateway(t, respond(http.StatusOK, "answer"))
	f.RefuseEndingAfter(time.Now())
	conn := writeHalfRequest(t, port.Listener.Addr().String())
	assert.Equal(t, readStatus(t, conn), http.StatusServiceUnavailable)
	assert.Equal(t, f.ActiveRequests(), 0)
	assert.Equal(t, len(f.OpenRequests()), 0)
	assert.Equal(t, f.RefusedRequests(), 1, "it is not read on")
	assert.NilError(t, conn.Close())
	for limit := time.Now().Add(time.Second); f.RefusedRequests() > 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(limit), "the connection is not given up")
	}
}

// TestRequestsOpenAtEndOfStopAreAnswered ends a stop while a request is in each of its
// phases at the instance that stops, whose caller may be another instance.
func TestRequestsOpenAtEndOfStopAreAnswered(t *testing.T) {
	const rest = "0\r\n\r\n"
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	streamAndHang := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respondEvents(1, 1, true)(w, r)
		<-r.Context().Done()
	}
	for _, c := range []struct {
		name, phase, rest string
		server            http.HandlerFunc
		// relayed is "here" for a request that another instance relays to this one, and
		// "away" for the opposite.
		relayed  string
		starting bool
		status   int
		cut      bool
	}{
		{name: "body", phase: "body", server: hang, status: http.StatusServiceUnavailable},
		{name: "wait for definition", phase: "checks", rest: rest, starting: true, status: http.StatusServiceUnavailable},
		{name: "wait for server", phase: "choice", rest: rest, starting: true, status: http.StatusServiceUnavailable},
		{name: "server", phase: "server", rest: rest, server: hang, status: http.StatusBadGateway},
		{name: "stream", phase: "answer", rest: rest, server: streamAndHang, status: http.StatusOK, cut: true},
		{name: "relayed here, wait for server", phase: "choice", rest: rest, relayed: "here", starting: true, status: http.StatusServiceUnavailable},
		{name: "relayed here, server", phase: "server", rest: rest, server: hang, relayed: "here", status: http.StatusBadGateway},
		{name: "relayed here, stream", phase: "answer", rest: rest, server: streamAndHang, relayed: "here", status: http.StatusOK, cut: true},
		{name: "relayed away, server", phase: "relay", rest: rest, server: hang, relayed: "away", status: http.StatusBadGateway},
		{name: "relayed away, stream", phase: "answer", rest: rest, server: streamAndHang, relayed: "away", status: http.StatusOK, cut: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			reached := make(chan struct{})
			servers := newTestGateway(t, onceRoute)
			if c.server != nil {
				servers = newTestGateway(t, onceRoute, func(w http.ResponseWriter, r *http.Request) {
					close(reached)
					c.server(w, r)
				})
			}
			servers.fleet.starting = c.starting
			caller := servers
			var f *Forwarder
			var port *conductor.DrainableServer
			switch c.relayed {
			case "here":
				caller, f, port = stopsRelays(t, servers)
			case "away":
				from, _, _ := stopsRelays(t, servers)
				f = New(testDialect{}, from.fleet, measurer.New(), retryLimit)
				port = servePort(t, f)
			default:
				if c.phase == "checks" {
					servers.fleet.view = nil
				}
				f = New(testDialect{}, servers.fleet, measurer.New(), retryLimit)
				port = servePort(t, f)
			}
			address := port.Listener.Addr().String()
			if c.relayed == "here" {
				address = caller.server.Listener.Addr().String()
			}
			conn := writeHalfRequest(t, address)
			_, err := io.WriteString(conn, c.rest)
			assert.NilError(t, err)
			waitForPhase(t, f, c.phase)
			if c.server != nil && c.rest != "" {
				<-reached // until then, the request may be refused as not run
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			assert.NilError(t, port.Close(ctx, 0))
			status, complete := readAnswer(t, conn)
			assert.Equal(t, status, c.status)
			assert.Equal(t, complete, !c.cut)
		})
	}
}
