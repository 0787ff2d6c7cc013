package sender_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/sender"
)

// TestRequestIsLostOnDiscardedConnection guards against a request that gets a connection
// which was closed after another request's response, and fails though nothing was sent.
func TestRequestIsLostOnDiscardedConnection(t *testing.T) {
	const requests = 3000
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1)%2 == 0 {
			_, _ = io.WriteString(w, `{"whole":1}`)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, refusalWithID("Boragehead-Request-Id: other\r\n"))
		_, _ = io.Copy(io.Discard, conn) // until the sender closes it
	}))
	defer server.Close()
	f := &fakeDependencies{servers: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}}
	s := sender.New(f, f, f, f, 1)
	for range requests {
		x, _ := newExchange(`{}`, false)
		x.ID = "request"
		x.Request.Header.Set(exchanger.HeaderRequestID, x.ID)
		_ = s.Handle(context.Background(), x) // a refusal if no retry is left
	}
	assert.Equal(t, int(arrived.Load()), requests, "some requests reached no server")
}
