package forwarder

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
)

// relayTo makes a gateway relay to another one, as to another region, once before it
// uses its own servers.
func relayTo(t *testing.T, from, to *testGateway, limit RetryLimit) {
	relays := httptest.NewServer(New(testDialect{}, to.fleet, measurer.New(), limit).RelayHandler())
	t.Cleanup(relays.Close)
	from.fleet.relayRegion, from.fleet.relayAddress = "south", netip.MustParseAddrPort(relays.Listener.Addr().String())
}

// TestAttemptsAreCountedOverRelays makes the servers of both regions fail: together
// they get no more attempts than the route allows.
func TestAttemptsAreCountedOverRelays(t *testing.T) {
	route := definer.Route{Kind: definer.KindIdempotent, Attempts: 2}
	local, remote := newTestGateway(t, route, respond(200, "too many")), newTestGateway(t, route, respond(500, "a"), respond(500, "b"))
	relayTo(t, local, remote, retryLimit)
	status, body, err := local.do("GET", "/a", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 500)
	assert.Equal(t, body, "b")
	assert.Equal(t, local.serverRequests.Load()+remote.serverRequests.Load(), int32(2))
}

func TestRelays(t *testing.T) {
	once := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}
	resumable := definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}
	resume := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		respondEvents(last+1, 6, true)(w, r)
	}
	tests := []struct {
		name          string
		route         definer.Route
		local, remote http.HandlerFunc
		status        int
		body          string
	}{
		{"answered in the other region", once, respond(200, "local"), respond(200, "remote"), 200, "remote"},
		{"declined there, answered here", once, respond(200, "local"), decline, 200, "local"},
		{"lost there, not run here", once, respond(200, "local"), respondRaw(""), 502, "no-answer"},
		{"stream broken off there, resumed here", resumable, resume, respondEvents(1, 3, false), 200, eventsText(6)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			local := newTestGateway(t, test.route, test.local)
			relayTo(t, local, newTestGateway(t, test.route, test.remote), retryLimit)
			status, body, err := local.do("POST", "/a?q=1", "x")
			assert.NilError(t, err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, body, test.body)
		})
	}
}

// TestStreamThatBreaksTwiceRunsOnThreeServers has another region resume a relayed stream
// after its first events are here, so that the head of its response counts one server only.
func TestStreamThatBreaksTwiceRunsOnThreeServers(t *testing.T) {
	first, second, rest := respondEvents(1, 2, false), respondEvents(3, 4, false), respondEvents(5, 6, true)
	tests := []struct {
		name     string
		attempts int
		remote   []http.HandlerFunc
		local    http.HandlerFunc
		// remoteRequests are those that servers of the other region got.
		remoteRequests, localRequests int32
		body                          string
		complete                      bool
	}{
		{"resumed there, both attempts used", 2, []http.HandlerFunc{first, second}, rest, 2, 0, eventsText(4), false},
		{"resumed there, one attempt left", 3, []http.HandlerFunc{first, second}, rest, 2, 1, eventsText(6), true},
		{"resumed there to the end", 2, []http.HandlerFunc{first, respondEvents(3, 6, true)}, rest, 2, 0, eventsText(6), true},
		{"resumed there in vain", 2, []http.HandlerFunc{first, respondRaw("")}, rest, 2, 0, eventsText(2), false},
		{"no second server there", 2, []http.HandlerFunc{first}, respondEvents(3, 6, true), 1, 1, eventsText(6), true},
		{"second server there declines", 2, []http.HandlerFunc{first, decline}, respondEvents(3, 6, true), 2, 1, eventsText(6), true},
		{"second server there declines, third resumes", 2, []http.HandlerFunc{first, decline, second}, rest, 3, 0, eventsText(4), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route := definer.Route{Kind: definer.KindStream, Attempts: test.attempts, Resumable: true}
			local, remote := newTestGateway(t, route, test.local), newTestGateway(t, route, test.remote...)
			relayTo(t, local, remote, retryLimit)
			status, body, err := local.do("POST", "/a", "x")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, test.body)
			assert.Equal(t, err == nil, test.complete, "whether the stream looks complete")
			assert.Equal(t, remote.serverRequests.Load(), test.remoteRequests)
			assert.Equal(t, local.serverRequests.Load(), test.localRequests)
		})
	}
}

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
			local := newTestGateway(t, route, respond(200, "whole"))
			relayTo(t, local, remote, noRetries)
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
	local := newTestGateway(t, route, respond(200, "run twice"))
	relayTo(t, local, remote, retryLimit)
	status, body, err := local.do("POST", "/b", "booking")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "far")
	assert.Equal(t, remote.serverRequests.Load()+local.serverRequests.Load(), int32(1))
}

// TestRelayedBodyIsBoundedByDefault has a definition allow bodies above the default
// limit: another region must take what the first instance has taken.
func TestRelayedBodyIsBoundedByDefault(t *testing.T) {
	local, remote := newTestGateway(t, onceRoute), newTestGateway(t, onceRoute, respond(200, "remote"))
	definition := local.fleet.view.Definition
	definition.Limits.MaxBody = defaultMaxBodyBytes + 2<<20
	local.fleet.view = definer.NewView(definition)
	relayTo(t, local, remote, retryLimit)
	status, body, err := local.do("POST", "/a", strings.Repeat("x", defaultMaxBodyBytes+1<<20))
	assert.NilError(t, err)
	assert.Equal(t, status, 200, body)
}

// TestRefusedRelayClosesConnection relays requests that the other instance refuses. Only the
// rest of a body may cost the connection on which it would follow.
func TestRefusedRelayClosesConnection(t *testing.T) {
	tests := []struct {
		name, method, body string
		homes              []string
	}{
		{"no server, no body", http.MethodGet, "", nil},
		{"no server, empty body", http.MethodPost, "", nil},
		{"no server", http.MethodPost, "x", nil},
		{"not home, no body", http.MethodGet, "", []string{"east"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			remote := newTestGateway(t, definer.Route{Homes: test.homes})
			local := newTestGateway(t, definer.Route{Homes: test.homes}, respond(http.StatusOK, "local"))
			var connections atomic.Int32
			relays := httptest.NewUnstartedServer(New(testDialect{}, remote.fleet, measurer.New(), retryLimit).RelayHandler())
			relays.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			relays.Start()
			t.Cleanup(relays.Close)
			local.fleet.relayRegion, local.fleet.relayAddress = "south", netip.MustParseAddrPort(relays.Listener.Addr().String())
			for range 3 {
				status, text, err := local.do(test.method, "/a", test.body)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK, text)
			}
			assert.Equal(t, connections.Load(), int32(1))
		})
	}
}
