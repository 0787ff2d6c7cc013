package forwarder

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/placer"
)

// movingFleet is a testFleet whose definition changes, and which places requests
// only where their homes allow it.
type movingFleet struct {
	*testFleet
	region   string
	current  atomic.Pointer[definer.View]
	behind   atomic.Int64 // a time.Duration
	starting atomic.Bool
	// reachable means that somebody in contact has a newer definition.
	reachable atomic.Bool
	// unconfirmed is a time.Duration.
	unconfirmed atomic.Int64
	// noServers hides the servers.
	noServers atomic.Bool
}

func (f *movingFleet) View() *definer.View             { return f.current.Load() }
func (f *movingFleet) Region() string                  { return f.region }
func (f *movingFleet) RecentlyStarted() bool           { return f.starting.Load() }
func (f *movingFleet) DefinitionBehind() time.Duration { return time.Duration(f.behind.Load()) }

func (f *movingFleet) DefinitionReachable() bool { return f.reachable.Load() }

func (f *movingFleet) DefinitionUnconfirmed() time.Duration {
	return time.Duration(f.unconfirmed.Load())
}

func (f *movingFleet) Place(request placer.Request) placer.Decision {
	if f.noServers.Load() || request.HomeRegionsOnly && !slices.Contains(request.HomeRegions, f.region) {
		return placer.Decision{RefusalReason: placer.ReasonNoServer, RetryAfter: time.Second}
	}
	return f.testFleet.Place(request)
}

// viewWithHomes returns a version of the definition of newView whose route is bound
// to regions.
func viewWithHomes(version definer.Version, route definer.Route, homes ...string) *definer.View {
	route.Homes = homes
	definition := newView(route).Definition
	definition.Version = version
	return definer.NewView(definition)
}

// newMovingGateway starts a gateway of the region north, with homes in version 1.
func newMovingGateway(t *testing.T, route definer.Route, homes []string, handlers ...http.HandlerFunc) (*testGateway, *movingFleet) {
	g := newTestGateway(t, route, handlers...)
	fleet := &movingFleet{testFleet: g.fleet, region: "north"}
	fleet.current.Store(viewWithHomes(1, route, homes...))
	g.server.Config.Handler = New(testDialect{}, fleet, measurer.New(), retryLimit)
	return g, fleet
}

var onceRoute = definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}

// TestRetryAfterHomeHasMoved guards against an attempt in a region that a newer
// definition, in force since the call arrived, no longer allows.
func TestRetryAfterHomeHasMoved(t *testing.T) {
	moves := []struct {
		name     string
		homes    []string
		newHomes []string
		served   bool
	}{
		{"home stays", []string{"north"}, []string{"north", "south"}, true},
		{"home moves", []string{"north"}, []string{"south"}, false},
		{"call becomes bound", nil, []string{"south"}, false},
		{"call is no longer bound", []string{"north"}, nil, true},
	}
	routes := []struct {
		name  string
		route definer.Route
		first http.HandlerFunc
	}{
		{"retry", definer.Route{Kind: definer.KindIdempotent, Attempts: 2}, respond(500, "failed")},
		{"declined", onceRoute, decline},
		{"resumed stream", definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}, respondEvents(1, 3, false)},
	}
	for _, move := range moves {
		for _, c := range routes {
			t.Run(move.name+", "+c.name, func(t *testing.T) {
				var fleet *movingFleet
				second := atomic.Int32{}
				g, fleet := newMovingGateway(t, c.route, move.homes, func(w http.ResponseWriter, r *http.Request) {
					fleet.current.Store(viewWithHomes(2, c.route, move.newHomes...))
					c.first(w, r)
				}, func(w http.ResponseWriter, r *http.Request) {
					second.Add(1)
					respondEvents(4, 6, true)(w, r)
				})
				_, _, _ = g.do("POST", "/a", "x")
				assert.Equal(t, second.Load() == 1, move.served)
			})
		}
	}
}

// TestFirstDefinitionIsOutdated guards against an instance that has just started, with its region,
// and serves by the definition from before, though its home has moved meanwhile.
func TestFirstDefinitionIsOutdated(t *testing.T) {
	g, fleet := newMovingGateway(t, onceRoute, []string{"north"}, respond(200, "outside its home"))
	fleet.starting.Store(true)
	fleet.unconfirmed.Store(int64(time.Minute))
	confirmed := time.AfterFunc(50*time.Millisecond, func() {
		fleet.current.Store(viewWithHomes(2, onceRoute, "south"))
		fleet.unconfirmed.Store(0)
		fleet.starting.Store(false)
	})
	defer confirmed.Stop()
	status, body, err := g.do("POST", "/a", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, 503)
	assert.Equal(t, body, string(placer.ReasonNoServer))
	assert.Equal(t, g.serverRequests.Load(), int32(0))
}

// TestWaitForServerAfterHomeHasMoved has a call wait at an instance that has just
// started and knows no server, until a definition arrives that moves its home.
func TestWaitForServerAfterHomeHasMoved(t *testing.T) {
	g, fleet := newMovingGateway(t, onceRoute, []string{"north"}, respond(200, "outside its home"))
	fleet.starting.Store(true)
	fleet.noServers.Store(true)
	moved := time.AfterFunc(50*time.Millisecond, func() {
		fleet.current.Store(viewWithHomes(2, onceRoute, "south"))
		fleet.noServers.Store(false)
		time.Sleep(50 * time.Millisecond)
		fleet.starting.Store(false)
	})
	defer moved.Stop()
	status, body, err := g.do("POST", "/a", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, 503)
	assert.Equal(t, body, string(placer.ReasonNoServer))
	assert.Equal(t, g.serverRequests.Load(), int32(0))
}
