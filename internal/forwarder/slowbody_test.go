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

// servicesFleet records the service of the last call that was placed.
type servicesFleet struct {
	*movingFleet
	service string
}

func (f *servicesFleet) Place(request placer.Request) placer.Decision {
	f.service = request.Service.Name
	return f.movingFleet.Place(request)
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
			body, rest := io.Pipe()
			request := g.newRequest(http.MethodPost, "/a", "")
			request.Body, request.ContentLength, request.GetBody = body, -1, nil
			go func() {
				_, _ = io.WriteString(rest, "the beginning")
				time.Sleep(50 * time.Millisecond) // the call is decided meanwhile
				moving.current.Store(definer.NewView(next))
				_, _ = io.WriteString(rest, " and the end")
				_ = rest.Close()
			}()
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
	body, rest := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, server.URL, body)
	assert.NilError(t, err)
	request.Host = "gateway"
	request.Header.Set(headerRelay, header)
	go func() {
		_, _ = io.WriteString(rest, "the beginning")
		time.Sleep(50 * time.Millisecond) // the call is checked meanwhile
		moving.current.Store(definer.NewView(next))
		_ = rest.Close()
	}()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.Header.Get(headerReason), "decided-otherwise")
	assert.Equal(t, response.Header.Get(headerOutcome), outcomeNotRun)
}
