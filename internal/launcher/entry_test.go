package launcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/forwarder"
	"github.com/boragehead/boragehead/internal/measurer"
)

// TestStopCutsRequestThatArrivesWhilePortCloses has a caller connect just before the
// port closes, with a request that takes longer than stopReserve.
func TestStopCutsRequestThatArrivesWhilePortCloses(t *testing.T) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * stopReserve)
		_, _ = io.WriteString(w, "complete")
	})}
	port, err := conductor.NewPort(server, "127.0.0.1:0")
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", port.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(port.Listener) }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*stopReserve)
	defer cancel()
	assert.Assert(t, !closeAll(ctx, port))
	_ = server.Close() // as the process does when it ends
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
	text, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(text), "complete"), "%q", text)
}

// TestStopCutsRelayedRequest closes the ports while each of them serves a request, which
// arrives from a caller or from another instance. New connections must be refused before the
// last moments, in which a process without a processor cannot answer them.
func TestStopCutsRelayedRequest(t *testing.T) {
	begun := make(chan struct{}, 2)
	serve := func(work time.Duration) (*conductor.DrainableServer, net.Conn) {
		port, err := conductor.NewPort(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			begun <- struct{}{}
			time.Sleep(work)
			_, _ = io.WriteString(w, "complete")
		})}, "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = port.Server.Serve(port.Listener) }() // returns when the port is closed
		conn, err := net.Dial("tcp", port.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
		assert.NilError(t, err)
		<-begun
		return port, conn
	}
	e := &Entry{counters: measurer.New(), forwarder: forwarder.New(nil, nil, measurer.New(), forwarder.RetryLimit{})}
	var conns [2]net.Conn
	e.callerPort, conns[0] = serve(stopReserve / 2)
	e.relayPort, conns[1] = serve(stopReserve)
	ctx, cancel := context.WithTimeout(t.Context(), 10*stopReserve)
	defer cancel()
	e.awaitLast(ctx, time.Now().Add(-stopLinger))
	for _, conn := range conns {
		_, err := net.Dial("tcp", conn.RemoteAddr().String())
		assert.ErrorContains(t, err, "refused")
	}
	e.closePorts(ctx, time.Now())
	_, _ = e.callerPort.Server.Close(), e.relayPort.Server.Close() // as the process does when it ends
	for _, conn := range conns {
		text, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(string(text), "complete"), "%q", text)
	}
}

// TestStopCutsRequestSentThreeSecondsAfterSignal guards against requests that are taken
// until the stop itself counts 3 s, or until the end of a short stop.
func TestStopCutsRequestSentThreeSecondsAfterSignal(t *testing.T) {
	const lateArrival, noticed = 3 * time.Second, 200 * time.Millisecond
	cases := []struct {
		limit, latest time.Duration
	}{
		{defaultStopLimit - stopReserve, lateArrival - noticed},
		{time.Minute, lateArrival - noticed},
		{time.Second, time.Second / 2},
		{0, 0},
	}
	for _, c := range cases {
		assert.Assert(t, rejectAfter(c.limit) <= c.latest, "limit %v: %v", c.limit, rejectAfter(c.limit))
	}
}

// TestLateNoticeOfSignalCutsRequests has an instance without a processor notice a signal up to
// a second late: it must neither be killed at its limit, nor cut earlier what it may not.
func TestLateNoticeOfSignalCutsRequests(t *testing.T) {
	const exitTime = 250 * time.Millisecond
	signal := time.Now()
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, sent := range []time.Duration{0, late / 2, late} {
			end := stopEnd(signal.Add(-sent), signal.Add(late-sent), defaultStopLimit).Sub(signal)
			assert.Assert(t, end <= defaultStopLimit-exitTime && end >= defaultStopLimit*5/6, "%v late, sent after %v: %v", late, sent, end)
		}
	}
	assert.Equal(t, stopEnd(signal, signal, time.Second), signal.Add(time.Second-stopReserve))
}
