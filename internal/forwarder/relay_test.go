package forwarder

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
)

// newRelay makes a second gateway, in another region, and lets the first one
// relay to it.
func newRelay(t *testing.T, p *path, handlers ...http.HandlerFunc) *path {
	there := newPath(t, definer.Route{Kind: definer.KindOnce}, handlers...)
	relays := httptest.NewServer(New(testDialect{}, there.fleet, measurer.New(), retryLimit).Relays())
	t.Cleanup(relays.Close)
	p.fleet.away = "south"
	p.fleet.relay = netip.MustParseAddrPort(relays.Listener.Addr().String())
	return there
}

// TestAttemptsAreCountedOverRelays makes servers of both regions fail: together
// they get no more attempts than the route allows.
func TestAttemptsAreCountedOverRelays(t *testing.T) {
	here := newPath(t, definer.Route{Kind: definer.KindIdempotent, Attempts: 2}, respond(200, "too many"))
	there := newRelay(t, here, respond(500, "a"), respond(500, "b"))
	status, body, err := here.ask("GET", "/a", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 500)
	assert.Equal(t, body, "b")
	assert.Equal(t, here.runs.Load()+there.runs.Load(), int32(2))
}

func TestRelays(t *testing.T) {
	once := definer.Route{Kind: definer.KindOnce, Attempts: 1}
	resumable := definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}
	resume := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		events(last+1, 6, true)(w, r)
	}
	tests := []struct {
		name        string
		route       definer.Route
		here, there http.HandlerFunc
		status      int
		body        string
	}{
		{"answered there", once, respond(200, "here"), respond(200, "there"), 200, "there"},
		{"declined there, answered here", once, respond(200, "here"), decline, 200, "here"},
		{"lost there is not run here", once, respond(200, "here"), hijack(""), 502, "no-answer"},
		{"stream cut there goes on here", resumable, resume, events(1, 3, false), 200, expected(6)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			here := newPath(t, test.route, test.here)
			newRelay(t, here, test.there)
			status, body, err := here.ask("POST", "/a?q=1", "x")
			assert.NilError(t, err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, body, test.body)
		})
	}
}
