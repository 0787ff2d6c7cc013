package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/placer"
)

// servicesFleet records the service of the last call that was placed, and the time that was
// left until its objective.
type servicesFleet struct {
	*movingFleet
	service        string
	untilObjective time.Duration
}

func (f *servicesFleet) Place(request placer.Request) placer.Decision {
	f.service, f.untilObjective = request.Service.Name, time.Until(request.Objective)
	return f.movingFleet.Place(request)
}

// slowBodyTime is how long the body of slowBody takes.
const slowBodyTime = 300 * time.Millisecond

// slowBody returns a body that goes on after a while, before which it calls a function.
func slowBody(beforeRest func()) io.ReadCloser {
	body, rest := io.Pipe()
	go func() {
		_, _ = io.WriteString(rest, "the beginning")
		time.Sleep(slowBodyTime) // the call is decided meanwhile
		beforeRest()
		_, _ = io.WriteString(rest, " and the end")
		_ = rest.Close()
	}()
	return body
}

// TestSlowBodyIsHandledByReplacedDefinition has a newer definition come into force while a
// body is under way: what an instance does once it has the request whole must not be older
// than what it did for others before.
func TestSlowBodyIsHandledByReplacedDefinition(t *testing.T) {
	cases := []struct {
		name    string
		change  func(next *definer.Definition)
		status  int
		service string
		charged float64
	}{
		{"other change", func(*definer.Definition) {}, 200, "s", 1},
		{"route moves", func(d *definer.Definition) { d.Routes[0].Targets = []definer.Target{{Service: "t", Weight: 1}} }, 200, "t", 1},
		{"route is dropped", func(d *definer.Definition) { d.Routes[0].Prefix = "/b/" }, 404, "", 0},
		{"key is dropped", func(d *definer.Definition) { d.Workspaces = []definer.Workspace{{Name: "one"}} }, 401, "", 0},
		{"route needs no key", func(d *definer.Definition) { d.Routes[0].Open = true }, 200, "s", 0},
		{"home moves away", func(d *definer.Definition) { d.Routes[0].Homes = []string{"south"} }, 503, "s", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, moving := newMovingGateway(t, onceRoute, nil, respond(200, "whole"))
			fleet := &servicesFleet{movingFleet: moving}
			g.server.Config.Handler = New(testDialect{}, fleet, measurer.New(), retryLimit)
			next := moving.View().Definition
			next.Version++
			next.Routes = append([]definer.Route{}, next.Routes...)
			next.Services = append(next.Services, definer.Service{Name: "t"})
			c.change(&next)
			request := g.newRequest(http.MethodPost, "/a", "")
			request.Body, request.ContentLength, request.GetBody = slowBody(func() { moving.current.Store(definer.NewView(next)) }), -1, nil
			status, text := answerTo(t, request)
			assert.Equal(t, status, c.status, text)
			assert.Equal(t, fleet.service, c.service)
			assert.Equal(t, fleet.charged, c.charged)
		})
	}
}

// TestSlowRelayIsServedByReplacedDefinition has a newer definition come into force while the
// body of a relayed call is under way.
func TestSlowRelayIsServedByReplacedDefinition(t *testing.T) {
	_, moving := newMovingGateway(t, onceRoute, nil, respond(200, "whole"))
	server := httptest.NewServer(New(testDialect{}, moving, measurer.New(), retryLimit).RelayHandler())
	t.Cleanup(server.Close)
	call := &Call{ID: "r1", Route: &moving.View().Routes[0], Service: &moving.View().Services[0], Deadline: time.Now().Add(time.Second)}
	call.record.definitionVersion = moving.View().Version
	header, err := encodeRelayedCall(call, "", "", 1)
	assert.NilError(t, err)
	next := moving.View().Definition
	next.Version, next.Routes = 2, nil
	request, err := http.NewRequest(http.MethodPost, server.URL, slowBody(func() { moving.current.Store(definer.NewView(next)) }))
	assert.NilError(t, err)
	request.Host = "gateway"
	request.Header.Set(headerRelay, header)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.Header.Get(headerReason), "decided-otherwise")
	assert.Equal(t, response.Header.Get(headerOutcome), outcomeNotRun)
}

// TestSlowBodyIsRefusedAsOverloaded has the body of a call take longer than its objective.
// The time that the caller takes is no load: an idle server refused the call as overloaded.
func TestSlowBodyIsRefusedAsOverloaded(t *testing.T) {
	const objective = 2 * slowBodyTime / 3
	for _, relay := range []bool{false, true} {
		t.Run(map[bool]string{false: "caller", true: "relay"}[relay], func(t *testing.T) {
			route := onceRoute
			route.Objective = objective
			g, moving := newMovingGateway(t, route, nil, respond(200, "whole"))
			fleet := &servicesFleet{movingFleet: moving}
			forwarder := New(testDialect{}, fleet, measurer.New(), retryLimit)
			g.server.Config.Handler = forwarder
			request := g.newRequest(http.MethodPost, "/a", "")
			request.Body, request.ContentLength, request.GetBody = slowBody(func() {}), -1, nil
			if relay {
				g.server.Config.Handler = forwarder.RelayHandler()
				call := &Call{ID: "r1", Route: &moving.View().Routes[0], Service: &moving.View().Services[0], Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
				header, err := encodeRelayedCall(call, "", "", 1)
				assert.NilError(t, err)
				request.Header.Set(headerRelay, header)
			}
			status, text := answerTo(t, request)
			assert.Equal(t, status, 200, text)
			assert.Assert(t, fleet.untilObjective > 0, "%v", fleet.untilObjective)
		})
	}
}
