package sender_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/imitator"
	"github.com/boragehead/boragehead/internal/sender"
	"github.com/boragehead/boragehead/internal/tabler"
	"github.com/boragehead/boragehead/internal/tracker"
)

// fakeDependencies implements the interfaces that a sender needs, with a real
// dispatcher model and counters that tests read.
type fakeDependencies struct {
	servers    []netip.AddrPort
	model      dispatcher.Model
	next       uint64
	mismatched int
	retries    int
	resumes    int
	// announced are the usable servers, by name.
	announced map[string]tracker.Announcement
	// recheck, if set, replaces the check before each send, which allows all.
	recheck func(x *exchanger.Exchange) *exchanger.Refusal
}

func (f *fakeDependencies) Recheck(x *exchanger.Exchange) *exchanger.Refusal {
	if f.recheck == nil {
		return nil
	}
	return f.recheck(x)
}

func (f *fakeDependencies) Acquire(_ context.Context, request dispatcher.Enqueue) (dispatcher.Cmd, error) {
	now := time.Unix(100, 0)
	for i, address := range f.servers {
		f.model.Update(now, dispatcher.Announce{Announcement: tracker.Announcement{
			Name: fmt.Sprintf("s%d", i), Address: address, Pools: []string{"p"}, State: tracker.StateReady, Counter: f.next + 1, MaxRunning: 4,
		}})
	}
	f.next++
	request.ID = f.next
	request.Deadline = now.Add(time.Hour)
	return f.model.Update(now, request)[0], nil
}

func (f *fakeDependencies) Servers() map[string]tracker.Announcement { return f.announced }

func (f *fakeDependencies) FirstToken(context.Context, uint64) {}

func (f *fakeDependencies) Release(_ context.Context, done dispatcher.Done) {
	f.model.Update(time.Unix(100, 0), done)
}

func (f *fakeDependencies) RelayTransport(string) (http.RoundTripper, string, bool) {
	return nil, "", false
}
func (f *fakeDependencies) CountMismatched() { f.mismatched++ }
func (*fakeDependencies) CountDisbelieved()  {}
func (f *fakeDependencies) CountRetry()      { f.retries++ }
func (f *fakeDependencies) CountResume()     { f.resumes++ }

// startServers starts imitated backend servers and returns a sender for them.
func startServers(t *testing.T, servers ...*imitator.Server) (*sender.Sender, *fakeDependencies) {
	f := &fakeDependencies{}
	for _, server := range servers {
		listener := httptest.NewServer(server)
		t.Cleanup(listener.Close)
		f.servers = append(f.servers, netip.MustParseAddrPort(listener.Listener.Addr().String()))
	}
	return sender.New(f, f, f, f, 1), f
}

const streamedRequest = `{"model":"m","stream":true,"max_tokens":6,"messages":[]}`

// newExchange returns an exchange and the recorder of its response. With once, the
// request must not run twice.
func newExchange(body string, once bool) (*exchanger.Exchange, *httptest.ResponseRecorder) {
	path := "/v1/chat/completions"
	if once {
		path = "/swaps"
	}
	writer := httptest.NewRecorder()
	x := &exchanger.Exchange{
		Writer: writer, Request: httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)), ID: "request-1",
		Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), Body: []byte(body), Pools: []string{"p"}, Local: true,
		Route: tabler.Route{Name: "r", Once: once},
	}
	if once {
		x.ClaimID = x.ID
	}
	return x, writer
}

// streamedWords returns the tokens of a streamed response, in order.
func streamedWords(answer string) string {
	var found []string
	for _, part := range strings.Split(answer, `"content":"`)[1:] {
		word, _, _ := strings.Cut(part, `"`)
		found = append(found, strings.TrimSpace(word))
	}
	return strings.Join(found, " ")
}

// TestStreamSurvivesServerFaults injects faults into the first server. In every
// case the caller gets each token once, in order, and one end marker.
func TestStreamSurvivesServerFaults(t *testing.T) {
	const whole = "word1 word2 word3 word4 word5 word6"
	tests := []struct {
		name       string
		faults     []imitator.Fault
		mismatched int
		resumes    int
		retries    int
	}{
		{name: "no fault"},
		{name: "cut midway", faults: []imitator.Fault{imitator.FaultConnectionDropped}, resumes: 1},
		{name: "cut twice", faults: []imitator.Fault{imitator.FaultConnectionDropped, imitator.FaultConnectionDropped}, resumes: 2},
		{name: "no end mark", faults: []imitator.Fault{imitator.FaultMissingEnd}, resumes: 1},
		{name: "every event doubled", faults: []imitator.Fault{imitator.FaultDuplicateEvents}},
		{name: "an event of another request", faults: []imitator.Fault{imitator.FaultWrongEventID}, mismatched: 1},
		{name: "the answer of another request", faults: []imitator.Fault{imitator.FaultWrongRequestID}, mismatched: 1, retries: 1},
		{name: "refused before running", faults: []imitator.Fault{imitator.FaultRefuse}, retries: 1},
		{name: "dropped before answering", faults: []imitator.Fault{imitator.FaultNoAnswer}, retries: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := &imitator.Server{Name: "s"}
			server.InjectFaults(test.faults...)
			s, f := startServers(t, server, &imitator.Server{Name: "other"})
			f.servers = append(f.servers[:1:1], f.servers[1:]...)
			x, writer := newExchange(streamedRequest, false)
			assert.Assert(t, s.Handle(context.Background(), x) == nil)
			assert.Equal(t, streamedWords(writer.Body.String()), whole)
			assert.Equal(t, strings.Count(writer.Body.String(), "[DONE]"), 1)
			assert.Assert(t, !strings.Contains(writer.Body.String(), "stray"))
			assert.Equal(t, f.mismatched, test.mismatched)
			assert.Equal(t, f.resumes, test.resumes)
			assert.Equal(t, f.retries, test.retries)
		})
	}
}

// startHandlers starts scripted backend servers and returns a sender for them.
func startHandlers(t *testing.T, handlers ...http.HandlerFunc) *sender.Sender {
	f := &fakeDependencies{}
	for _, handler := range handlers {
		listener := httptest.NewServer(handler)
		t.Cleanup(listener.Close)
		f.servers = append(f.servers, netip.MustParseAddrPort(listener.Listener.Addr().String()))
	}
	return sender.New(f, f, f, f, 1)
}

// respondInTurn calls one handler for each request, the last one for all further
// requests.
func respondInTurn(handlers ...http.HandlerFunc) http.HandlerFunc {
	var calls atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		handlers[min(int(calls.Add(1)), len(handlers))-1](w, r)
	}
}

// respondRaw writes raw bytes and closes the connection in order.
func respondRaw(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	}
}

// The headers of responses that declare neither a length nor chunks.
const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	jsonHead   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	firstEvent = "id: request-1/1\ndata: one\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// TestResumedStreamGetsSecondAnswer covers a resumed stream that is answered 200
// with something else than a stream.
func TestResumedStreamGetsSecondAnswer(t *testing.T) {
	s := startHandlers(t, respondInTurn(respondRaw(streamHead+firstEvent+"id: request-1/2\nda"), respondRaw(jsonHead+`{"second":1}`)))
	x, writer := newExchange(streamedRequest, false)
	assert.Assert(t, s.Handle(context.Background(), x) == nil)
	body := writer.Body.String()
	assert.Assert(t, strings.HasPrefix(body, firstEvent+"event: error\n"), "%s", body)
	assert.Assert(t, !strings.Contains(body, "second"), "%s", body)
	assert.Assert(t, x.Result.StreamError != nil)
}

// TestResumeRepeatsEventsWithoutID covers a stream that breaks off after an event
// that no Last-Event-ID can name.
func TestResumeRepeatsEventsWithoutID(t *testing.T) {
	const piece, comment = "data: two\n\n", ": keep-alive\n\n"
	tests := []struct {
		name    string
		events  string
		resumed bool
	}{
		{"last event without an id", firstEvent + piece, false},
		{"id after the event without one", piece + firstEvent, true},
		{"last event is a comment", firstEvent + comment, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startHandlers(t, respondInTurn(respondRaw(streamHead+test.events), respondRaw(streamHead+piece+doneEvent)))
			x, writer := newExchange(streamedRequest, false)
			assert.Assert(t, s.Handle(context.Background(), x) == nil)
			body := writer.Body.String()
			if test.resumed {
				assert.Equal(t, body, test.events+piece+doneEvent)
				return
			}
			assert.Assert(t, strings.HasPrefix(body, test.events+"event: error\n"), "%s", body)
		})
	}
}

// fakePeers relays to one instance.
type fakePeers struct{ baseURL string }

func (p fakePeers) RelayTransport(string) (http.RoundTripper, string, bool) {
	return http.DefaultTransport, p.baseURL, true
}

// TestBrokenRelayJoinsTwoRuns covers streams that break off between two instances.
// The other instance would run the request anew, so the stream is not resumed.
func TestBrokenRelayJoinsTwoRuns(t *testing.T) {
	const peerError = "event: error\ndata: {\"peer\":1}\n\n"
	tests := []struct{ name, events string }{
		{"connection closed after an event", firstEvent},
		{"connection closed within an event", firstEvent + "id: request-1/2\nda"},
		{"the other instance gave up", firstEvent + peerError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var runs atomic.Int32
			run := respondInTurn(respondRaw(streamHead+test.events), respondRaw(streamHead+firstEvent+"id: request-1/2\ndata: second run\n\n"+doneEvent))
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				run(w, r)
			}))
			t.Cleanup(peer.Close)
			f := &fakeDependencies{}
			x, writer := newExchange(streamedRequest, false)
			x.Local, x.Relay = false, "peer"
			assert.Assert(t, sender.New(f, fakePeers{peer.URL}, f, f, 1).Handle(context.Background(), x) == nil)
			body := writer.Body.String()
			assert.Assert(t, strings.HasPrefix(body, firstEvent+"event: error\n"), "%s", body)
			assert.Equal(t, strings.Count(body, "event: error"), 1, "%s", body)
			assert.Equal(t, runs.Load(), int32(1))
			assert.Equal(t, x.Result.StreamError.Outcome, exchanger.OutcomePartial)
		})
	}
}

// TestStreamEndsWithErrorAfterMaxResumes cuts a stream more often than it is
// resumed. The caller gets an error event and no end marker.
func TestStreamEndsWithErrorAfterMaxResumes(t *testing.T) {
	server := &imitator.Server{Name: "s"}
	dropped := imitator.FaultConnectionDropped
	server.InjectFaults(dropped, dropped, dropped, dropped, dropped, dropped, dropped, dropped)
	s, _ := startServers(t, server)
	x, writer := newExchange(strings.Replace(streamedRequest, "6", "600", 1), false)
	assert.Assert(t, s.Handle(context.Background(), x) == nil)
	assert.Assert(t, strings.Contains(writer.Body.String(), "event: error"))
	assert.Assert(t, strings.Contains(writer.Body.String(), `"outcome":"partial"`))
	assert.Assert(t, !strings.Contains(writer.Body.String(), "[DONE]"))
	assert.Equal(t, x.Result.StreamError.Outcome, exchanger.OutcomePartial)
}

// TestBufferedAnswerIsNeverPartial checks that the caller gets a complete JSON
// response, never a part of one, when a server fails.
func TestBufferedAnswerIsNeverPartial(t *testing.T) {
	for _, fault := range []imitator.Fault{imitator.FaultNone, imitator.FaultConnectionDropped, imitator.FaultWrongRequestID, imitator.FaultNoAnswer} {
		t.Run("fault-"+string(fault), func(t *testing.T) {
			server := &imitator.Server{Name: "s"}
			server.InjectFaults(fault)
			s, _ := startServers(t, server, &imitator.Server{Name: "other"})
			x, writer := newExchange(`{"model":"m","max_tokens":3,"messages":[]}`, false)
			assert.Assert(t, s.Handle(context.Background(), x) == nil)
			assert.Assert(t, strings.Contains(writer.Body.String(), "word word word"))
			assert.Assert(t, x.Result.UsageKnown)
		})
	}
}

// TestUnframedBodyThatMayGoOnIsNotComplete covers bodies that end with their
// connection. Only a JSON value that ends by itself is known to be complete.
func TestUnframedBodyThatMayGoOnIsNotComplete(t *testing.T) {
	tests := []struct {
		name, raw string
		complete  bool
	}{
		{"object", jsonHead + `{"booking":12}` + "\n", true},
		{"string", jsonHead + `"booked"`, true},
		{"part of an object", jsonHead + `{"booking":1`, false},
		{"number, perhaps its first digits", jsonHead + `12`, false},
		{"no JSON", strings.Replace(jsonHead, "application/json", "text/plain", 1) + "booked", false},
		{"number with a length", strings.Replace(jsonHead, "\r\n\r\n", "\r\nContent-Length: 2\r\n\r\n", 1) + `12`, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, writer := newExchange("swap", true)
			refusal := startHandlers(t, respondRaw(test.raw)).Handle(context.Background(), x)
			if test.complete {
				assert.Assert(t, refusal == nil)
				assert.Assert(t, strings.HasSuffix(test.raw, "\r\n\r\n"+writer.Body.String()))
				return
			}
			assert.Equal(t, refusal.OutcomeOrNotRun(), exchanger.OutcomeUnknown)
		})
	}
}

// TestReportedOutcomeMatchesRuns compares the outcome reported to the caller of a
// request that must not run twice with the number of runs that the servers counted.
func TestReportedOutcomeMatchesRuns(t *testing.T) {
	tests := []struct {
		fault   imitator.Fault
		outcome exchanger.Outcome
		runs    int
	}{
		{fault: imitator.FaultNone, runs: 1},
		{fault: imitator.FaultNoAnswer, outcome: exchanger.OutcomeUnknown, runs: 1},
		{fault: imitator.FaultConnectionDropped, outcome: exchanger.OutcomeUnknown, runs: 1},
		{fault: imitator.FaultWrongRequestID, outcome: exchanger.OutcomeUnknown, runs: 1},
		{fault: imitator.FaultRefuse, runs: 1}, // retried, because it was not run
	}
	for _, test := range tests {
		t.Run("fault-"+string(test.fault), func(t *testing.T) {
			first, second := &imitator.Server{Name: "s"}, &imitator.Server{Name: "t"}
			first.InjectFaults(test.fault)
			second.InjectFaults(test.fault)
			s, _ := startServers(t, first, second)
			x, _ := newExchange("swap", true)
			refusal := s.Handle(context.Background(), x)
			runs := first.TotalRuns() + second.TotalRuns()
			if refusal == nil {
				assert.Equal(t, test.outcome, exchanger.Outcome(""))
				assert.Equal(t, runs, 1)
				return
			}
			if refusal.OutcomeOrNotRun() == exchanger.OutcomeNotRun {
				assert.Equal(t, runs, 0)
				return
			}
			assert.Equal(t, refusal.OutcomeOrNotRun(), test.outcome)
			assert.Equal(t, runs, test.runs)
		})
	}
}

// TestUnreachableServerIsNotRun sends a request to a closed port.
func TestUnreachableServerIsNotRun(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	address := netip.MustParseAddrPort(listener.Listener.Addr().String())
	listener.Close()
	f := &fakeDependencies{servers: []netip.AddrPort{address}}
	x, _ := newExchange("swap", true)
	refusal := sender.New(f, f, f, f, 1).Handle(context.Background(), x)
	assert.Equal(t, refusal.OutcomeOrNotRun(), exchanger.OutcomeNotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
	assert.Assert(t, !x.Result.MayHaveRun)
}

// TestKeyIsNotForwarded searches all bytes that a server received for the key.
func TestKeyIsNotForwarded(t *testing.T) {
	server := &imitator.Server{Name: "s", RecordRequests: true}
	s, _ := startServers(t, server)
	x, _ := newExchange(streamedRequest, false)
	x.Secret = tabler.NewSecret()
	for _, name := range []string{"Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization", "X-Other", "Idempotency-Key"} {
		x.Request.Header.Set(name, "Bearer "+x.Secret)
	}
	assert.Assert(t, s.Handle(context.Background(), x) == nil)
	assert.Assert(t, strings.Contains(server.Received(), "Boragehead-Request-Id"))
	assert.Assert(t, !strings.Contains(server.Received(), x.Secret))
}
