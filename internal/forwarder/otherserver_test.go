package forwarder

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/placer"
)

// TestReplacedServerCountsAsDeclining guards against requests that go again and again to
// the address of a server that another one has taken over, while no control instance tells:
// what declines only counts as busy, and is not ejected.
func TestReplacedServerCountsAsDeclining(t *testing.T) {
	replaced := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Other-Server", "1")
		decline(w, r)
	}
	g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, replaced, decline, respond(200, "whole"))
	status, _, err := g.do("POST", "/a", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.DeepEqual(t, g.fleet.outcomes, []placer.Outcome{placer.OutcomeUnreachable, placer.OutcomeDeclined, placer.OutcomeAnswered})
}
