package forwarder

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
)

// TestCallWithOddIDIsRelayed relays a call whose id is not UTF-8.
func TestCallWithOddIDIsRelayed(t *testing.T) {
	route := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}
	local, remote := newTestGateway(t, route, respond(200, "local")), newTestGateway(t, route, respond(200, "remote"))
	relayTo(t, local, remote, retryLimit)
	status, body, err := local.do("GET", "/a", "", "Id", "r\xff1")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "remote")
}
