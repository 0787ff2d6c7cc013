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
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// testDialect is a minimal Dialect for tests.
type testDialect struct{}

func (testDialect) DecodeRequest(r *http.Request) (Call, error) {
	call := Call{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last-Event-Id")}
	if text := r.Header.Get("Patience"); text != "" {
		call.Timeout, _ = time.ParseDuration(text)
	}
	if call.ID == "" {
		return call, errors.New("no id")
	}
	return call, nil
}

func (testDialect) StripReservedHeaders(header http.Header) { header.Del("Key") }

func (testDialect) SetServerHeaders(header http.Header, request ServerRequest) {
	header.Set("Server-Name", request.Server)
	header.Set("Left", request.TimeLeft.String())
	header.Set("Workspace", request.Workspace)
	if request.LastEventID != "" {
		header.Set("Last-Event-Id", request.LastEventID)
	}
}

func (testDialect) DecodeResponse(response *http.Response) ResponseInfo {
	return ResponseInfo{
		ID: response.Header.Get("Id"), NotRun: response.Header.Get("Not-Run") != "",
		OtherServer: response.Header.Get("Other-Server") != "", Signed: response.Header.Get("Signature") != "",
	}
}

func (testDialect) WriteRefusal(w http.ResponseWriter, _ string, refusal Refusal) {
	w.Header().Set("Retry-After", refusal.RetryAfter.String())
	w.WriteHeader(refusal.Status)
	_, _ = io.WriteString(w, refusal.Reason)
}

var retryLimit = RetryLimit{Share: 0.2, Slack: 50, Window: 10 * time.Second}

// testGateway is a gateway in front of servers with scripted responses.
type testGateway struct {
	t              *testing.T
	fleet          *testFleet
	server         *httptest.Server
	serverRequests atomic.Int32
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

// newTestGateway starts a gateway in front of one server for each handler.
func newTestGateway(t *testing.T, route definer.Route, handlers ...http.HandlerFunc) *testGateway {
	g := &testGateway{t: t, fleet: &testFleet{view: newView(route)}}
	for i, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			g.serverRequests.Add(1)
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		g.fleet.servers = append(g.fleet.servers, registrar.Server{
			Name: fmt.Sprintf("server-%d", i), Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	g.server = httptest.NewServer(New(testDialect{}, g.fleet, measurer.New(), retryLimit))
	t.Cleanup(g.server.Close)
	return g
}

// do sends a request and returns the status of the response, or 0 if there was
// none, and as much of its body as arrived.
func (g *testGateway) do(method, uri, body string, headers ...string) (status int, responseBody string, err error) {
	response, err := http.DefaultClient.Do(g.newRequest(method, uri, body, headers...))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// newRequest returns a caller's request with an id, a key and other headers.
func (g *testGateway) newRequest(method, uri, body string, headers ...string) *http.Request {
	request, err := http.NewRequest(method, g.server.URL+uri, strings.NewReader(body))
	assert.NilError(g.t, err)
	request.Host = "gateway"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "key-one")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

// signResponse sets the headers that mark a response as a server's.
func signResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		signResponse(w, r)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// respondRaw writes raw bytes, with ID replaced by the request's id, and closes
// the connection.
func respondRaw(raw string) http.HandlerFunc {
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
	signResponse(w, r)
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestServerAnswers(t *testing.T) {
	once := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}
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
		{"response is forwarded", once, []http.HandlerFunc{respond(200, "whole")}, 200, "whole", 1},
		{"server error is forwarded", once, []http.HandlerFunc{respond(500, "bad")}, 500, "bad", 1},
		{"server error is retried on an idempotent route", repeatable, []http.HandlerFunc{respond(500, "bad"), respond(200, "good")}, 200, "good", 2},
		{"attempts are limited by the route", repeatable, []http.HandlerFunc{respond(500, "a"), respond(500, "b"), respond(200, "c")}, 500, "b", 2},
		{"declined request goes to another server", once, []http.HandlerFunc{decline, respond(200, "whole")}, 200, "whole", 2},
		{"request declined by all servers is refused as not run", once, []http.HandlerFunc{decline, decline}, 503, "no-server", 2},
		{"503 without a statement that it did not run may have run", once, []http.HandlerFunc{respond(503, "busy")}, 502, "no-answer", 1},
		{"429 without such a statement", once, []http.HandlerFunc{respond(429, "busy")}, 502, "no-answer", 1},
		{"408 without such a statement", once, []http.HandlerFunc{respond(408, "late")}, 502, "no-answer", 1},
		{"truncated response is not forwarded", once, []http.HandlerFunc{respondRaw(head + "Content-Length: 10\r\n\r\nhalf")}, 502, "no-answer", 1},
		{"status that is none", once, []http.HandlerFunc{respondRaw("HTTP/1.1 000 Trouble\r\nId: ID\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"status of no class", once, []http.HandlerFunc{respondRaw("HTTP/1.1 799 Trouble\r\nId: ID\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"blank in a field name", once, []http.HandlerFunc{respondRaw(head + "X Odd: a\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"blank after a field name", once, []http.HandlerFunc{respondRaw(head + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")}, 502, "no-answer", 1},
		{"control byte in a field name", once, []http.HandlerFunc{respondRaw(head + "X\x01Odd: a\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"control byte in a field value", once, []http.HandlerFunc{respondRaw(head + "X-Odd: a\x01b\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"truncated response is retried", repeatable, []http.HandlerFunc{respondRaw(head + "Content-Length: 10\r\n\r\nhalf"), respond(200, "whole")}, 200, "whole", 2},
		{"response without a length ends with its connection", once, []http.HandlerFunc{respondRaw(head + "\r\nwhole")}, 200, "whole", 1},
		{"response to another request", once, []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"unsigned response", once, []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"response with a content encoding", once, []http.HandlerFunc{respondRaw(head + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx")}, 502, "no-answer", 1},
		{"no response", once, []http.HandlerFunc{respondRaw("")}, 502, "no-answer", 1},
		{"no server is left after a missing response", repeatable, []http.HandlerFunc{respondRaw("")}, 502, "no-answer", 1},
		{"missing response is retried", repeatable, []http.HandlerFunc{respondRaw(""), respond(200, "whole")}, 200, "whole", 2},
		{"response is not HTTP", once, []http.HandlerFunc{respondRaw("nonsense\r\n\r\n")}, 502, "no-answer", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, test.route, test.handlers...)
			status, body, err := g.do("GET", "/a", "")
			assert.NilError(t, err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, body, test.body)
			assert.Equal(t, g.serverRequests.Load(), test.runs)
		})
	}
}

// TestRequestsReachServersUnchanged sends unusual paths, queries and bodies. The
// server must see neither the caller's key, nor a forged workspace, nor headers
// that net/http adds.
func TestRequestsReachServersUnchanged(t *testing.T) {
	type receivedRequest struct {
		method, uri, body, key, workspace, agent, encoding string
		length                                             int64
	}
	var received receivedRequest
	g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received = receivedRequest{
			r.Method, r.RequestURI, string(body), r.Header.Get("Key"), r.Header.Get("Workspace"),
			r.Header.Get("User-Agent"), r.Header.Get("Accept-Encoding"), r.ContentLength,
		}
		signResponse(w, r)
	})
	tests := []struct{ method, uri, body string }{
		{"POST", "/a//b/../c?x=1&x=2", "body"},
		{"GET", "//a", ""},
		{"PUT", "/a%2Fb/%7e?%zz", "12"},
		{"DELETE", "/a?", ""},
		{"POST", "/;p=1/a+b", ""},
	}
	for _, test := range tests {
		conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: gateway\r\nId: r1\r\nKey: key-one\r\nWorkspace: forged\r\nConnection: close, Odd\r\nOdd: 1\r\nContent-Length: %d\r\n\r\n%s",
			test.method, test.uri, len(test.body), test.body)
		assert.NilError(t, err)
		response, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(response), "HTTP/1.1 200"), "%s", response)
		want := receivedRequest{test.method, test.uri, test.body, "", "one", "", "", int64(len(test.body))}
		assert.Equal(t, received, want)
	}
}

// TestEmptyRequestRunsTwiceOnBrokenConnection covers a kept connection that a
// server closes after it has run a request: net/http resends a request that has no
// body and an idempotency key of the caller's, or one whose body it can rewind.
func TestEmptyRequestRunsTwiceOnBrokenConnection(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "x"} {
			for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key", "Other"} {
				t.Run(method+" "+body+" "+name, func(t *testing.T) {
					var runs atomic.Int32
					g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
						if runs.Add(1) == 2 {
							panic(http.ErrAbortHandler)
						}
						assert.Check(t, r.Header.Get(name) == "k" && r.ContentLength == int64(len(body)), "%v", r.Header)
						respond(200, "run")(w, r)
					})
					status, _, err := g.do(method, "/a", body, name, "k")
					assert.NilError(t, err)
					assert.Equal(t, status, 200)
					status, _, err = g.do(method, "/a", body, name, "k")
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusBadGateway)
					assert.Equal(t, runs.Load(), int32(2))
				})
			}
		}
	}
}

// TestCallerDisconnectCancelsServerRequest cancels a request while a server is
// working on it.
func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL+"/a", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "gateway"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "key-one")
	go func() {
		<-started
		cancel()
	}()
	response, err := http.DefaultClient.Do(request)
	if response != nil {
		_ = response.Body.Close()
	}
	assert.ErrorIs(t, err, context.Canceled)
	<-canceled
}

// TestDeadlineEndsCall checks that a call ends at its route's timeout and that a
// request that may have run is not refunded.
func TestDeadlineEndsCall(t *testing.T) {
	route := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1, Timeout: 30 * time.Millisecond}
	g := newTestGateway(t, route, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	status, body, err := g.do("POST", "/a", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Equal(t, body, "deadline")
	assert.Equal(t, g.fleet.charged, 1.0)
}

func TestRefusals(t *testing.T) {
	g := newTestGateway(t, definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}, decline)
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
			status, body, err := g.do("POST", "/a", "x", test.headers...)
			assert.NilError(t, err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, body, test.reason)
		})
	}
	assert.Equal(t, g.fleet.charged, 0.0, "a request that did not run was charged")
	g.fleet.view = nil
	status, _, err := g.do("POST", "/a", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, 503, "a key was rejected before any definition was known")
}
