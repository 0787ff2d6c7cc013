package forwarder

import (
	"net/http"
	"slices"
	"testing"
	"time"

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
	assert.DeepEqual(t, g.fleet.awaitOutcomes(3), []placer.Outcome{placer.OutcomeUnreachable, placer.OutcomeDeclined, placer.OutcomeAnswered})
}

// awaitOutcomes returns the outcomes of all placements once there are as many as given, or
// after some seconds: the caller has its answer before the last placement ends.
func (f *testFleet) awaitOutcomes(count int) []placer.Outcome {
	const patience = 5 * time.Second
	for deadline := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		outcomes := slices.Clone(f.outcomes)
		f.mu.Unlock()
		if len(outcomes) >= count || time.Now().After(deadline) {
			return outcomes
		}
	}
}
