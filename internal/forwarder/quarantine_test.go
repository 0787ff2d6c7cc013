package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/detector"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// fixedQuarantine has one level for all parts and records what is reported.
type fixedQuarantine struct {
	mu        sync.Mutex
	admission quarantiner.Admission
	crashes   int
	begins    int
}

func (q *fixedQuarantine) Admit(quarantiner.Traits) quarantiner.Admission {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission
}

func (q *fixedQuarantine) Level(traits quarantiner.Traits) quarantiner.Level {
	return q.Admit(traits).Level
}

func (q *fixedQuarantine) RecordCrash(time.Time, registrar.Server, quarantiner.Traits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes++
}

func (q *fixedQuarantine) RecordSoundBegin(time.Time, registrar.Server, quarantiner.Traits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.begins++
}

func (q *fixedQuarantine) counts() (crashes, begins int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.crashes, q.begins
}

// quarantineGateway starts a gateway with a quarantine in front of one server for
// each handler.
func quarantineGateway(t *testing.T, q Quarantine, route definer.Route, handlers ...http.HandlerFunc) *testGateway {
	g := newTestGateway(t, route, handlers...)
	g.server.Close()
	forwarder := New(partsDialect{}, g.fleet, measurer.New(), retryLimit)
	forwarder.UseQuarantine(q)
	g.server = httptest.NewServer(forwarder)
	t.Cleanup(g.server.Close)
	return g
}

// TestSuspectedPartRunsOnce guards against retries and resumed streams that crash
// one more server.
func TestSuspectedPartRunsOnce(t *testing.T) {
	repeatable := definer.Route{Kind: definer.KindIdempotent, Attempts: 3}
	resumable := definer.Route{Kind: definer.KindStream, Attempts: 3, Resumable: true}
	suspected := quarantiner.Admission{Level: quarantiner.LevelSuspected}
	quarantined := quarantiner.Admission{Level: quarantiner.LevelQuarantined, RetryAfter: time.Minute}
	probe := quarantiner.Admission{Level: quarantiner.LevelQuarantined, Probe: true}
	lost := respondRaw("")
	tests := []struct {
		name      string
		admission quarantiner.Admission
		route     definer.Route
		parts     string
		handlers  []http.HandlerFunc
		status    int
		runs      int32
		charged   float64
	}{
		{"clear", quarantiner.Admission{}, repeatable, "1 2", []http.HandlerFunc{lost, respond(200, "whole")}, 200, 2, 1},
		{"suspected", suspected, repeatable, "1 2", []http.HandlerFunc{lost, respond(200, "whole")}, 502, 1, 1},
		{"suspected, declined", suspected, repeatable, "1 2", []http.HandlerFunc{decline, respond(200, "whole")}, 200, 2, 1},
		{"suspected stream", suspected, resumable, "1 2", []http.HandlerFunc{respondEvents(1, 3, false), respondEvents(4, 6, true)}, 200, 1, 1},
		{"probe", probe, repeatable, "1 2", []http.HandlerFunc{lost, respond(200, "whole")}, 502, 1, 1},
		{"quarantined", quarantined, repeatable, "1 2", []http.HandlerFunc{respond(200, "whole")}, 503, 0, 0},
		{"quarantined, no shared part", quarantined, repeatable, "1", []http.HandlerFunc{respond(200, "whole")}, 503, 0, 0},
		{"quarantined, no part", quarantined, repeatable, "", []http.HandlerFunc{respond(200, "whole")}, 503, 0, 0},
		{"suspected, no part", suspected, repeatable, "", []http.HandlerFunc{lost, respond(200, "whole")}, 502, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := quarantineGateway(t, &fixedQuarantine{admission: test.admission}, test.route, test.handlers...)
			status, body, _ := g.do("POST", "/a", "x", "Parts", test.parts) // the suspected stream breaks off
			assert.Equal(t, status, test.status)
			assert.Equal(t, g.serverRequests.Load(), test.runs)
			assert.Equal(t, g.fleet.charged, test.charged)
			if test.runs == 0 {
				assert.Equal(t, body, reasonQuarantined)
			}
		})
	}
}

// TestQuarantineOfOtherRegionEndsCall guards against a request that the other region
// refuses because of a part that this instance has not heard of yet, and that then
// runs here.
func TestQuarantineOfOtherRegionEndsCall(t *testing.T) {
	route := definer.Route{Kind: definer.KindIdempotent, Attempts: 3}
	local := quarantineGateway(t, &fixedQuarantine{}, route, respond(200, "local"))
	remote := newTestGateway(t, route, respond(200, "remote"))
	forwarder := New(partsDialect{}, remote.fleet, measurer.New(), retryLimit)
	quarantined := quarantiner.Admission{Level: quarantiner.LevelQuarantined, RetryAfter: time.Minute}
	forwarder.UseQuarantine(&fixedQuarantine{admission: quarantined})
	relays := httptest.NewServer(forwarder.RelayHandler())
	t.Cleanup(relays.Close)
	local.fleet.relayRegion, local.fleet.relayAddress = "south", netip.MustParseAddrPort(relays.Listener.Addr().String())
	status, body, err := local.do("POST", "/a", "x", "Parts", "1 2")
	assert.NilError(t, err)
	assert.Equal(t, status, 503)
	assert.Equal(t, body, reasonQuarantined)
	assert.Equal(t, local.serverRequests.Load()+remote.serverRequests.Load(), int32(0))
}

// TestQuarantineSaysThatRunRequestHasNotRun guards against a refusal that promises that a
// request has not run, since its part was quarantined while a server had it.
func TestQuarantineSaysThatRunRequestHasNotRun(t *testing.T) {
	q := &fixedQuarantine{}
	g := quarantineGateway(t, q, definer.Route{Kind: definer.KindIdempotent, Attempts: 3}, func(w http.ResponseWriter, r *http.Request) {
		q.mu.Lock()
		q.admission = quarantiner.Admission{Level: quarantiner.LevelQuarantined, RetryAfter: time.Minute}
		q.mu.Unlock()
		respondRaw("")(w, r)
	}, respond(200, "whole"))
	status, body, err := g.do("POST", "/a", "x", "Parts", "1 2")
	assert.NilError(t, err)
	assert.Equal(t, status, 502, "%s", body)
}

// TestOnlyCrashesUnderBeginsAreEvidence breaks connections in ways that a crashing
// server does, and in others.
func TestOnlyCrashesUnderBeginsAreEvidence(t *testing.T) {
	t.Parallel()
	var server *httptest.Server
	end := func() {
		_ = server.Listener.Close()
		server.CloseClientConnections()
	}
	stream := func(pause time.Duration, breakOff func()) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
			breakOff()
		}
	}
	abort := func() { panic(http.ErrAbortHandler) }
	tests := []struct {
		name    string
		handler http.HandlerFunc
		crashes int
		begins  int
	}{
		{"server ends before the first event", func(http.ResponseWriter, *http.Request) { end() }, 1, 0},
		{"server ends soon after the first event", stream(100*time.Millisecond, end), 1, 0},
		{"server ends long after the first event", stream(detector.SoundAfter+300*time.Millisecond, end), 0, 1},
		{"server goes on after a reset", func(http.ResponseWriter, *http.Request) { abort() }, 0, 0},
		{"server goes on after breaking off a stream", stream(100*time.Millisecond, abort), 0, 0},
		{"answered", respond(200, "whole"), 0, 1},
		{"answered with an error", respond(500, "bad"), 0, 0},
		{"declined", decline, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := &fixedQuarantine{}
			g := quarantineGateway(t, q, definer.Route{Kind: definer.KindStream, Attempts: 1})
			server = httptest.NewServer(test.handler)
			t.Cleanup(server.Close)
			g.fleet.servers = []registrar.Server{{Name: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}}
			_, _, _ = g.do("POST", "/a", "x", "Parts", "1 2") // how the request ends is tested elsewhere
			time.Sleep(detector.SoundAfter + 300*time.Millisecond)
			crashes, begins := q.counts()
			assert.Equal(t, crashes, test.crashes)
			assert.Equal(t, begins, test.begins)
		})
	}
}

// TestClosedIdleConnectionIsNoCrash sends a request on a kept connection that the
// server closes without an answer while it goes on serving others.
func TestClosedIdleConnectionIsNoCrash(t *testing.T) {
	q := &fixedQuarantine{}
	requests := 0
	g := quarantineGateway(t, q, definer.Route{Kind: definer.KindIdempotent, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests == 2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		respond(200, "whole")(w, r)
	})
	for range 2 {
		_, _, err := g.do("POST", "/a", "x", "Parts", "1 2")
		assert.NilError(t, err)
	}
	time.Sleep(time.Second)
	crashes, _ := q.counts()
	assert.Equal(t, crashes, 0)
}
