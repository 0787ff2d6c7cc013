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

// TestRegionWithoutRoomCostsNoRetry has no budget for repeats: a region that
// refuses without offering the request to a server leaves the next place free.
func TestRegionWithoutRoomCostsNoRetry(t *testing.T) {
	cases := []struct {
		name   string
		away   []http.HandlerFunc
		status int
		body   string
	}{
		{"no server there", nil, 200, "whole"},
		{"declined by a server there", []http.HandlerFunc{decline}, 503, "declined"},
		{"served there", []http.HandlerFunc{respond(200, "far")}, 200, "far"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := definer.Route{Kind: definer.KindOnce, Attempts: 1}
			there := newPath(t, route, c.away...)
			none := RetryLimit{Window: time.Second}
			relays := httptest.NewServer(New(testDialect{}, there.fleet, measurer.New(), none).Relays())
			t.Cleanup(relays.Close)
			here := newPath(t, route, respond(200, "whole"))
			here.fleet.away, here.fleet.relay = "south", netip.MustParseAddrPort(relays.Listener.Addr().String())
			here.front.Config.Handler = New(testDialect{}, here.fleet, measurer.New(), none)
			status, body, err := here.ask("GET", "/b", "")
			assert.NilError(t, err)
			assert.Equal(t, body, c.body)
			assert.Equal(t, status, c.status)
		})
	}
}
