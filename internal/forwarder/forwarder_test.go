package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// testDialect is a plain dialect for tests.
type testDialect struct{}

func (testDialect) Read(r *http.Request) (Call, error) {
	call := Call{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEvent: r.Header.Get("Last-Event-Id")}
	if text := r.Header.Get("Patience"); text != "" {
		call.Patience, _ = time.ParseDuration(text)
	}
	if call.ID == "" {
		return call, errors.New("no id")
	}
	return call, nil
}

func (testDialect) Strip(header http.Header) { header.Del("Key") }

func (testDialect) Dress(header http.Header, send Send) {
	header.Set("Server-Name", send.Server)
	header.Set("Left", send.Left.String())
	header.Set("Workspace", send.Workspace)
	if send.LastEvent != "" {
		header.Set("Last-Event-Id", send.LastEvent)
	}
}

func (testDialect) Judge(response *http.Response) Answer {
	return Answer{
		ID: response.Header.Get("Id"), NotRun: response.Header.Get("Not-Run") != "", Genuine: response.Header.Get("Signature") != "",
	}
}

func (testDialect) Refuse(w http.ResponseWriter, _ string, refusal Refusal) {
	w.Header().Set("Retry-After", refusal.RetryAfter.String())
	w.WriteHeader(refusal.Status)
	_, _ = io.WriteString(w, refusal.Reason)
}

// testFleet gives out the servers of one region in order, and relays to one
// other instance.
type testFleet struct {
	view    *definer.View
	servers []registrar.Server
	// away, unless empty, is preferred to the servers once.
	away     string
	relay    netip.AddrPort
	mu       sync.Mutex
	spent    float64
	outcomes []placer.Outcome
}

func (f *testFleet) View() *definer.View { return f.view }
func (f *testFleet) Region() string      { return "north" }
func (f *testFleet) Settling() bool      { return false }
func (f *testFleet) Instances() int      { return 2 }
func (f *testFleet) Began(uint64)        {}

func (f *testFleet) Place(request placer.Request) placer.Decision {
	if f.away != "" && !request.Local && len(request.TriedRegions) == 0 {
		return placer.Decision{Region: f.away}
	}
	for i, server := range f.servers {
		if !contains(request.Tried, server.Name) {
			return placer.Decision{Server: &f.servers[i]}
		}
	}
	return placer.Decision{Refused: placer.ReasonNoServer, RetryAfter: time.Second}
}

func contains(names []string, name string) bool {
	for _, known := range names {
		if known == name {
			return true
		}
	}
	return false
}

func (f *testFleet) Done(_ uint64, outcome placer.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcome)
}

func (f *testFleet) Spend(_ string, cost float64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spent += cost
	return 0, true
}

func (f *testFleet) Refund(_ string, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spent -= cost
}

func (f *testFleet) Relay(string) (netip.AddrPort, bool) {
	return f.relay, f.relay.IsValid()
}

var retryLimit = RetryLimit{Share: 0.2, Slack: 50, Window: 10 * time.Second}

// path is a gateway before servers that behave as told.
type path struct {
	t     *testing.T
	fleet *testFleet
	front *httptest.Server
	runs  atomic.Int32
}

var workspaces = []definer.Workspace{{Name: "one", Keys: []string{"key-one"}, Rate: 100, Burst: 100}}

func newView(route definer.Route) *definer.View {
	route.Prefix, route.Host = "/", "gateway"
	route.Targets = []definer.Target{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	return definer.NewView(definer.Definition{
		Version: 1, Routes: []definer.Route{route}, Services: []definer.Service{{Name: "s"}}, Workspaces: workspaces,
	})
}

// newPath starts a gateway before one server for each handler.
func newPath(t *testing.T, route definer.Route, handlers ...http.HandlerFunc) *path {
	p := &path{t: t, fleet: &testFleet{view: newView(route)}}
	for i, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.runs.Add(1)
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		p.fleet.servers = append(p.fleet.servers, registrar.Server{
			Name: fmt.Sprintf("server-%d", i), Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	p.front = httptest.NewServer(New(testDialect{}, p.fleet, measurer.New(), retryLimit))
	t.Cleanup(p.front.Close)
	return p
}

// ask sends a request and returns the answer's status, 0 when none came, with as
// much of its body as came.
func (p *path) ask(method, uri, body string, headers ...string) (status int, answer string, err error) {
	request, err := http.NewRequest(method, p.front.URL+uri, strings.NewReader(body))
	assert.NilError(p.t, err)
	request.Host = "gateway"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "key-one")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// sign makes an answer a server's own.
func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// hijack answers with raw bytes and closes the connection.
func hijack(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(raw, "ID", r.Header.Get("Id")))
		_ = conn.Close()
	}
}

func decline(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestAnswers(t *testing.T) {
	once := definer.Route{Kind: definer.KindOnce, Attempts: 1}
	repeatable := definer.Route{Kind: definer.KindIdempotent, Attempts: 2}
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n"
	tests := []struct {
		name     string
		route    definer.Route
		handlers []http.HandlerFunc
		status   int
		body     string
		runs     int32
	}{
		{"answer", once, []http.HandlerFunc{respond(200, "whole")}, 200, "whole", 1},
		{"failure of a server is passed on", once, []http.HandlerFunc{respond(500, "bad")}, 500, "bad", 1},
		{"failure is repeated where that is allowed", repeatable, []http.HandlerFunc{respond(500, "bad"), respond(200, "good")}, 200, "good", 2},
		{"attempts are bounded", repeatable, []http.HandlerFunc{respond(500, "a"), respond(500, "b"), respond(200, "c")}, 500, "b", 2},
		{"declined goes elsewhere", once, []http.HandlerFunc{decline, respond(200, "whole")}, 200, "whole", 2},
		{"declined by all is a true refusal", once, []http.HandlerFunc{decline, decline}, 503, "no-server", 2},
		{"unavailable without a word may have run", once, []http.HandlerFunc{respond(503, "busy")}, 502, "no-answer", 1},
		{"half an answer is none", once, []http.HandlerFunc{hijack(head + "Content-Length: 10\r\n\r\nhalf")}, 502, "no-answer", 1},
		{"half an answer is repeated", repeatable, []http.HandlerFunc{hijack(head + "Content-Length: 10\r\n\r\nhalf"), respond(200, "whole")}, 200, "whole", 2},
		{"no length ends with its connection", once, []http.HandlerFunc{hijack(head + "\r\nwhole")}, 200, "whole", 1},
		{"answer of another request", once, []http.HandlerFunc{hijack("HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"unsigned answer", once, []http.HandlerFunc{hijack("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"encoded answer", once, []http.HandlerFunc{hijack(head + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"no answer", once, []http.HandlerFunc{hijack("")}, 502, "no-answer", 1},
		{"no answer is repeated", repeatable, []http.HandlerFunc{hijack(""), respond(200, "whole")}, 200, "whole", 2},
		{"no HTTP", once, []http.HandlerFunc{hijack("nonsense\r\n\r\n")}, 502, "no-answer", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPath(t, test.route, test.handlers...)
			status, body, err := p.ask("GET", "/a", "")
			assert.NilError(t, err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, body, test.body)
			assert.Equal(t, p.runs.Load(), test.runs)
		})
	}
}

// TestRequestsArriveUnchanged sends odd paths, queries and bodies.
func TestRequestsArriveUnchanged(t *testing.T) {
	type seen struct {
		method, uri, body, key, workspace, agent, encoding string
		length                                             int64
	}
	var last seen
	p := newPath(t, definer.Route{Kind: definer.KindOnce, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		last = seen{
			r.Method, r.RequestURI, string(body), r.Header.Get("Key"), r.Header.Get("Workspace"),
			r.Header.Get("User-Agent"), r.Header.Get("Accept-Encoding"), r.ContentLength,
		}
		sign(w, r)
	})
	tests := []struct{ method, uri, body string }{
		{"POST", "/a//b/../c?x=1&x=2", "body"},
		{"GET", "//a", ""},
		{"PUT", "/a%2Fb/%7e?%zz", "12"},
		{"DELETE", "/a?", ""},
		{"POST", "/;p=1/a+b", ""},
	}
	for _, test := range tests {
		conn, err := net.Dial("tcp", p.front.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: gateway\r\nId: r1\r\nKey: key-one\r\nWorkspace: forged\r\nConnection: close, Odd\r\nOdd: 1\r\nContent-Length: %d\r\n\r\n%s",
			test.method, test.uri, len(test.body), test.body)
		assert.NilError(t, err)
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 200"), "%s", answer)
		want := seen{test.method, test.uri, test.body, "", "one", "", "", int64(len(test.body))}
		assert.Equal(t, last, want)
	}
}

// TestCallerLeavingEndsTheWork cancels a request while a server works on it.
func TestCallerLeavingEndsTheWork(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	p := newPath(t, definer.Route{Kind: definer.KindOnce, Attempts: 1}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.front.URL+"/a", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "gateway"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "key-one")
	go func() {
		<-began
		leave()
	}()
	response, err := http.DefaultClient.Do(request)
	if response != nil {
		_ = response.Body.Close()
	}
	assert.ErrorIs(t, err, context.Canceled)
	<-ended
}

// TestDeadlineEndsTheCall bounds a call by its route's timeout, and refunds
// nothing that ran.
func TestDeadlineEndsTheCall(t *testing.T) {
	route := definer.Route{Kind: definer.KindOnce, Attempts: 1, Timeout: 30 * time.Millisecond}
	p := newPath(t, route, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	status, body, err := p.ask("POST", "/a", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Equal(t, body, "deadline")
	assert.Equal(t, p.fleet.spent, 1.0)
}

func TestRefusals(t *testing.T) {
	p := newPath(t, definer.Route{Kind: definer.KindOnce, Attempts: 1}, decline)
	tests := []struct {
		name    string
		headers []string
		status  int
		reason  string
	}{
		{"unknown key", []string{"Key", "other"}, 401, "unknown-key"},
		{"no id", []string{"Id", ""}, 400, "no id"},
		{"all servers decline", nil, 503, "no-server"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body, err := p.ask("POST", "/a", "x", test.headers...)
			assert.NilError(t, err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, body, test.reason)
		})
	}
	assert.Equal(t, p.fleet.spent, 0.0, "a request that did not run was charged")
	p.fleet.view = nil
	status, _, err := p.ask("POST", "/a", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, 503, "an instance without a definition knows no keys")
}
