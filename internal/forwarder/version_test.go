package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/versioner"
)

// fixedOrigins knows the versions of some streams and records those that begin.
type fixedOrigins struct {
	mu       sync.Mutex
	versions map[string]string
	outdated bool
	// ages makes what is known old once a stream has begun.
	ages  bool
	asked int
}

func (o *fixedOrigins) RecordOrigin(request, version string, left time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if left > 0 {
		o.versions[request] = version
	}
	o.outdated = o.outdated || o.ages
}

func (o *fixedOrigins) Origin(_ context.Context, request, _ string) (string, versioner.Source) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	if version, known := o.versions[request]; known {
		return version, versioner.SourceReported
	}
	return "", versioner.SourceUnknown
}

func (o *fixedOrigins) VersionsAge() time.Duration {
	if o.outdated {
		return maxVersionsAge + 1
	}
	return maxVersionsAge
}

// versionedFleet is a testFleet that places a request only at servers of its version.
type versionedFleet struct{ *testFleet }

func (f versionedFleet) Place(request placer.Request) placer.Decision {
	for i, server := range f.servers {
		if request.Version != "" && server.Version != request.Version {
			request.TriedServers = append(request.TriedServers, f.servers[i].Name)
		}
	}
	return f.testFleet.Place(request)
}

// versionGateway starts a gateway in front of one server for each handler, with their
// versions.
func versionGateway(t *testing.T, o Origins, versions string, handlers ...http.HandlerFunc) (*testGateway, *Forwarder) {
	g := newTestGateway(t, definer.Route{Kind: definer.KindStream, Attempts: 3, Resumable: true}, handlers...)
	for i, version := range strings.Split(versions, " ") {
		g.fleet.servers[i].Version = strings.Trim(version, "-")
	}
	g.server.Close()
	forwarder := New(resumesDialect{}, versionedFleet{g.fleet}, measurer.New(), retryLimit)
	forwarder.UseOrigins(o)
	g.server = httptest.NewServer(forwarder)
	t.Cleanup(g.server.Close)
	return g, forwarder
}

// resumesDialect is a testDialect that decodes what a call takes up.
type resumesDialect struct{ testDialect }

func (d resumesDialect) DecodeRequest(r *http.Request) (Call, error) {
	call, err := d.testDialect.DecodeRequest(r)
	call.Resumes = r.Header.Get("Resumes")
	return call, err
}

// TestStreamIsResumedAtOtherVersion breaks a stream off at the first server of three.
func TestStreamIsResumedAtOtherVersion(t *testing.T) {
	first, rest := respondEvents(1, 3, false), respondEvents(4, 6, true)
	tests := []struct {
		name, versions string
		outdated, ages bool
		runs           int32
		last           string
	}{
		{"the second has the version", "v1 v1 v2", false, false, 2, "piece 6"},
		{"the third has the version", "v1 v2 v1", false, false, 2, "piece 6"},
		{"none has the version", "v1 v2 v3", false, false, 1, "piece 3"},
		{"the version that began is not known", "- v1 v1", false, false, 1, "piece 3"},
		{"the versions of the others are not known", "v1 - -", false, false, 1, "piece 3"},
		{"what is known of servers is old", "v1 v1 v1", true, false, 1, "piece 3"},
		{"what is known of servers is old when the stream breaks", "v1 v1 v1", false, true, 1, "piece 3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			origins := &fixedOrigins{versions: map[string]string{}, outdated: test.outdated, ages: test.ages}
			g, _ := versionGateway(t, origins, test.versions, first, rest, rest)
			status, body, err := g.do("POST", "/a", "x")
			assert.Equal(t, status, 200)
			assert.Equal(t, g.serverRequests.Load(), test.runs)
			assert.Assert(t, strings.Contains(body, test.last), "%s", body)
			assert.Equal(t, err == nil, test.last == "piece 6", "whether the stream looks complete")
			recorded := strings.Trim(strings.Fields(test.versions)[0], "-")
			if test.outdated {
				recorded = "" // the server may have started again with another version
			}
			assert.Equal(t, origins.versions["r1"], recorded)
		})
	}
}

// TestStreamIsTakenUpAtOtherVersion takes up a stream that another call began.
func TestStreamIsTakenUpAtOtherVersion(t *testing.T) {
	rest := respondEvents(4, 6, true)
	tests := []struct {
		name, versions string
		resumes        string
		outdated       bool
		status         int
		server         string
	}{
		{"a server has the version", "v2 v1", "r0", false, 200, "server-1"},
		{"no server has the version", "v2 v3", "r0", false, 503, ""},
		{"the stream is not known", "v1 v1", "other", false, 503, ""},
		{"no stream is named", "v1 v1", "", false, 503, ""},
		{"what is known of servers is old", "v1 v1", "r0", true, 503, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			origins := &fixedOrigins{versions: map[string]string{"r0": "v1"}, outdated: test.outdated}
			served := ""
			handler := func(w http.ResponseWriter, r *http.Request) {
				served = r.Header.Get("Server-Name")
				rest(w, r)
			}
			g, _ := versionGateway(t, origins, test.versions, handler, handler)
			began := time.Now()
			status, body, err := g.do("POST", "/a", "x", "Last-Event-Id", "3", "Resumes", test.resumes)
			assert.NilError(t, err)
			assert.Equal(t, status, test.status, "%s", body)
			assert.Equal(t, served, test.server)
			if test.status != 200 {
				assert.Assert(t, time.Since(began) < 200*time.Millisecond, "refused after %s", time.Since(began))
				return
			}
			assert.Equal(t, len(origins.versions), 1, "the stream keeps the name of the call that began it: %v", origins.versions)
		})
	}
}

// TestRelayedStreamGoesOnAtOtherVersion has another region begin a stream that goes on
// here, and take up one that began here.
func TestRelayedStreamGoesOnAtOtherVersion(t *testing.T) {
	first, rest := respondEvents(1, 3, false), respondEvents(4, 6, true)
	tests := []struct {
		name          string
		local, remote string
		remoteCurrent bool
		localRuns     int32
		remoteRuns    int32
		headers       []string
		complete      bool
	}{
		{"resumed here at the version", "v2 v1", "v1", true, 1, 1, nil, true},
		{"not resumed here at another", "v2 v2", "v1", true, 0, 1, nil, false},
		{"begun by an instance that tells no version", "v1 v1", "-", true, 0, 1, nil, false},
		{"begun by an instance whose knowledge is old", "v1 v1", "v1", false, 0, 1, nil, false},
		{"taken up there", "v1 v1", "v2 v1", true, 0, 1, []string{"Last-Event-Id", "3", "Resumes", "r0"}, true},
		{"not taken up there at another version, but here", "v1 v1", "v2 v2", true, 1, 0, []string{"Last-Event-Id", "3", "Resumes", "r0"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			origins := &fixedOrigins{versions: map[string]string{"r0": "v1"}}
			g, _ := versionGateway(t, origins, test.local, rest, rest)
			there := []http.HandlerFunc{first}
			if test.headers != nil {
				there = []http.HandlerFunc{rest, rest}
			}
			remote, forwarder := versionGateway(t, &fixedOrigins{versions: map[string]string{}, outdated: !test.remoteCurrent}, test.remote, there...)
			relays := httptest.NewServer(forwarder.RelayHandler())
			t.Cleanup(relays.Close)
			g.fleet.relayRegion, g.fleet.relayAddress = "south", netip.MustParseAddrPort(relays.Listener.Addr().String())
			_, body, err := g.do("POST", "/a", "x", test.headers...)
			assert.Equal(t, err == nil && strings.Contains(body, "piece 6"), test.complete, "%v, %s", err, body)
			assert.Equal(t, g.serverRequests.Load(), test.localRuns)
			assert.Equal(t, remote.serverRequests.Load(), test.remoteRuns)
		})
	}
}

// TestStreamGoesOnWithWorkOfNewOne guards against streams that are refused since all of their
// output would not end in time, though most of it is there.
func TestStreamGoesOnWithWorkOfNewOne(t *testing.T) {
	work := placer.Work{Prompt: 100, Output: 1000, Expected: 300}
	service := &definer.Service{Engine: &definer.Engine{EventTokens: 5}}
	for _, test := range []struct {
		name, after string
		service     *definer.Service
		want        placer.Work
	}{
		{"new", "", service, work},
		{"after 20 events", "20", service, placer.Work{Prompt: 200, Output: 900, Expected: 200}},
		{"after an event without a number", "x20", service, work},
		{"no engines", "20", &definer.Service{}, work},
	} {
		t.Run(test.name, func(t *testing.T) {
			out := &callerResponse{call: &Call{Service: test.service, Work: work}, lastEventID: test.after}
			assert.DeepEqual(t, out.remainingWork(), test.want)
		})
	}
}

// TestVersionIsNotTakenFromServersHeader guards against a server's own header that looks
// like that of an instance.
func TestVersionIsNotTakenFromServersHeader(t *testing.T) {
	g, _ := versionGateway(t, &fixedOrigins{versions: map[string]string{}}, "v1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerServerVersion, "v9")
		respondEvents(1, 3, true)(w, r)
	})
	response, err := http.DefaultClient.Do(g.newRequest("POST", "/a", "x"))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.Header.Get(headerServerVersion), "")
}

// TestStreamDoesNotGoOnAtServerThatBrokeOff has the only other server of the version break
// off a connection first: it may have started again with another version.
func TestStreamDoesNotGoOnAtServerThatBrokeOff(t *testing.T) {
	crash := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/crash" {
			panic(http.ErrAbortHandler)
		}
		respondEvents(4, 6, true)(w, r)
	}
	g, forwarder := versionGateway(t, &fixedOrigins{versions: map[string]string{"r0": "v1"}}, "v1", crash)
	forwarder.UseQuarantine(&fixedQuarantine{})
	_, _, _ = g.do("POST", "/crash", "x") // breaks off
	status, body, err := g.do("POST", "/a", "x", "Last-Event-Id", "3", "Resumes", "r0")
	assert.NilError(t, err)
	assert.Equal(t, status, 503, "%s", body)
	assert.Equal(t, body, fmt.Sprint(placer.ReasonNoServer))
}
