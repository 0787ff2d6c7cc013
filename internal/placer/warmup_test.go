package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/registrar"
)

// TestRestartedInstancesAllWarmUp guards against instances of a failure domain that start
// together, have not heard each other yet and all send requests to the same cold server.
func TestRestartedInstancesAllWarmUp(t *testing.T) {
	cold := engineServer(1)
	cold.Warmup = 10 * time.Second
	service := engineService()
	service.WarmupRate = 1
	p := newPlacer(0)
	p.FailureDomain = cold.FailureDomain
	p.NeighboursKnownAt = start.Add(time.Second)
	p.SetServers(start, newView(service), []registrar.Server{cold})
	place := func(now time.Time) Decision {
		request := shortPromptRequest(now, 5)
		request.Service = service
		return p.Place(now, request)
	}
	assert.Assert(t, place(start).Server == nil)
	assert.Assert(t, place(start.Add(time.Second)).Server != nil)
}
