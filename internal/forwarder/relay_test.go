package forwarder

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
)

// TestUnofferedRelayCostsNoRetry runs without a retry budget. After a region
// refused a request without offering it to a server, the next attempt must not
// need the budget.
func TestUnofferedRelayCostsNoRetry(t *testing.T) {
	cases := []struct {
		name          string
		remoteServers []http.HandlerFunc
		status        int
		body          string
	}{
		{"no server in the other region", nil, 200, "whole"},
		{"declined by a server of the other region", []http.HandlerFunc{decline}, 503, "declined"},
		{"served in the other region", []http.HandlerFunc{respond(200, "far")}, 200, "far"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}
			remote := newTestGateway(t, route, c.remoteServers...)
			noRetries := RetryLimit{Window: time.Second}
			relays := httptest.NewServer(New(testDialect{}, remote.fleet, measurer.New(), noRetries).RelayHandler())
			t.Cleanup(relays.Close)
			local := newTestGateway(t, route, respond(200, "whole"))
			local.fleet.relayRegion, local.fleet.relayAddress = "south", netip.MustParseAddrPort(relays.Listener.Addr().String())
			local.server.Config.Handler = New(testDialect{}, local.fleet, measurer.New(), noRetries)
			status, body, err := local.do("GET", "/b", "")
			assert.NilError(t, err)
			assert.Equal(t, body, c.body)
			assert.Equal(t, status, c.status)
		})
	}
}

// TestServerHeadersPassForRelayOutcome covers a server that sends headers which
// instances use between each other.
func TestServerHeadersPassForRelayOutcome(t *testing.T) {
	forge := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.Header().Set(headerRan, "0")
		w.Header().Set(headerOffered, "0")
		respond(200, "far")(w, r)
	}
	route := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}
	remote := newTestGateway(t, route, forge)
	relays := httptest.NewServer(New(testDialect{}, remote.fleet, measurer.New(), retryLimit).RelayHandler())
	t.Cleanup(relays.Close)
	local := newTestGateway(t, route, respond(200, "run twice"))
	local.fleet.relayRegion, local.fleet.relayAddress = "south", netip.MustParseAddrPort(relays.Listener.Addr().String())
	status, body, err := local.do("POST", "/b", "booking")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "far")
	assert.Equal(t, remote.serverRequests.Load()+local.serverRequests.Load(), int32(1))
}
