package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
	port, err := conductor.NewPort(&http.Server{Handler: f, ReadHeaderTimeout: time.Minute}, "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = port.Server.Serve(port.Listener) }() // returns when the port is closed
	t.Cleanup(func() { _ = port.Server.Close() })
	g.server.URL = "http://" + port.Listener.Addr().String()
	return g, f, port
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

// writeHalfRequest sends the head and a chunk of a request that has another chunk.
func writeHalfRequest(t *testing.T, port *conductor.DrainableServer) net.Conn {
	conn, err := net.Dial("tcp", port.Listener.Addr().String())
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
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestRequestWhoseBodyEndsDuringStopIsRefused has a stop begin between the head of a
// request and the end of its body.
func TestRequestWhoseBodyEndsDuringStopIsRefused(t *testing.T) {
	g, f, port := newStoppableGateway(t, respond(http.StatusOK, "answer"))
	conn := writeHalfRequest(t, port)
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
	conn := writeHalfRequest(t, port)
	assert.Equal(t, readStatus(t, conn), http.StatusServiceUnavailable)
	assert.Equal(t, f.ActiveRequests(), 0)
	assert.Equal(t, len(f.OpenRequests()), 0)
	assert.Equal(t, f.RefusedRequests(), 1, "it is not read on")
	assert.NilError(t, conn.Close())
	for limit := time.Now().Add(time.Second); f.RefusedRequests() > 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(limit), "the connection is not given up")
	}
}

// TestRequestsOpenAtEndOfStopAreAnswered ends a stop while a request is being read, and
// while its server works.
func TestRequestsOpenAtEndOfStopAreAnswered(t *testing.T) {
	for _, c := range []struct {
		phase, rest string
		status      int
	}{
		{"body", "", http.StatusServiceUnavailable}, {"server", "0\r\n\r\n", http.StatusBadGateway},
	} {
		t.Run(c.phase, func(t *testing.T) {
			reached := make(chan struct{})
			_, f, port := newStoppableGateway(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(reached)
				<-r.Context().Done()
			})
			conn := writeHalfRequest(t, port)
			_, err := io.WriteString(conn, c.rest)
			assert.NilError(t, err)
			waitForPhase(t, f, c.phase)
			if c.phase == "server" {
				<-reached // until then, the request may be refused as not run
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			assert.NilError(t, port.Close(ctx, 0))
			assert.Equal(t, readStatus(t, conn), c.status)
		})
	}
}
