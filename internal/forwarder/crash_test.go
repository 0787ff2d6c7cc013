package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/warden"
)

// partsDialect is a testDialect whose requests have the prompt parts that the
// header Parts lists.
type partsDialect struct{ testDialect }

func (d partsDialect) DecodeRequest(r *http.Request) (Call, error) {
	call, err := d.testDialect.DecodeRequest(r)
	for _, text := range strings.Fields(r.Header.Get("Parts")) {
		var id uint64
		if _, err := fmt.Sscanf(text, "%x", &id); err != nil {
			return call, err
		}
		call.Work.Parts = append(call.Work.Parts, placer.PromptPart{ID: id, Tokens: 10})
	}
	return call, err
}

// crashingFleet has servers that crash when they begin to answer certain requests,
// and that are back under another name after a while.
type crashingFleet struct {
	*testFleet
	t *testing.T
	// isCulprit reports whether a request crashes each server that begins to answer it.
	isCulprit func(*http.Request) bool
	// restart is how long a crashed server is away.
	restart time.Duration

	mu sync.Mutex
	// up holds the servers that announce themselves, in the order of their starts.
	up      []registrar.Server
	starts  int
	placed  int
	crashes []time.Time
	// reached holds when such requests reached a server.
	reached []arrivalAt
}

// arrivalAt is when a request reached a server, and its path.
type arrivalAt struct {
	path string
	at   time.Time
}

// reachedByPath returns when the requests reached servers, in order, by their path.
// f.mu must be held.
func (f *crashingFleet) reachedByPath() map[string][]time.Time {
	times := map[string][]time.Time{}
	for _, arrival := range f.reached {
		times[arrival.path] = append(times[arrival.path], arrival.at)
	}
	return times
}

// newCrashingFleet starts some servers.
func newCrashingFleet(t *testing.T, servers int, route definer.Route, isCulprit func(*http.Request) bool) *crashingFleet {
	f := &crashingFleet{testFleet: &testFleet{view: newView(route)}, t: t, isCulprit: isCulprit, restart: 400 * time.Millisecond}
	for range servers {
		f.startServer()
	}
	return f
}

// startServer starts a server under a new name.
func (f *crashingFleet) startServer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	name := fmt.Sprint("server-", f.starts)
	server := &crashingServer{fleet: f, name: name}
	server.http = httptest.NewServer(server)
	f.t.Cleanup(server.crash)
	f.up = append(f.up, registrar.Server{
		Name: name, StartedAtMillis: int64(f.starts), Address: netip.MustParseAddrPort(server.http.Listener.Addr().String()),
	})
}

// Place uses the known servers in turn.
func (f *crashingFleet) Place(request placer.Request) placer.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.up {
		f.placed++
		server := f.up[f.placed%len(f.up)]
		if !contains(request.TriedServers, server.Name) {
			return placer.Decision{Server: &server}
		}
	}
	return placer.Decision{RefusalReason: placer.ReasonNoServer, RetryAfter: time.Second}
}

// crashingServer is one start of a server.
type crashingServer struct {
	fleet *crashingFleet
	name  string
	http  *httptest.Server
	once  sync.Once
}

// answerTime is how long a server works before it begins an answer.
const answerTime = 30 * time.Millisecond

func (s *crashingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isCulprit := s.fleet.isCulprit(r)
	if isCulprit {
		s.fleet.mu.Lock()
		s.fleet.reached = append(s.fleet.reached, arrivalAt{path: r.URL.Path, at: time.Now()})
		s.fleet.mu.Unlock()
	}
	time.Sleep(answerTime)
	if isCulprit {
		s.crash()
		return
	}
	respond(http.StatusOK, "whole")(w, r)
}

// crash closes the port and resets all connections at once, and starts another
// server later.
func (s *crashingServer) crash() {
	s.once.Do(func() {
		_ = s.http.Listener.Close()
		s.http.CloseClientConnections()
		f := s.fleet
		if f.t.Context().Err() != nil {
			return // the test has ended
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashes = append(f.crashes, time.Now())
		time.AfterFunc(f.restart, func() {
			if f.t.Context().Err() != nil {
				return
			}
			f.forget(s.name)
			f.startServer()
		})
	})
}

// forget takes a server out of the placement.
func (f *crashingFleet) forget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, server := range f.up {
		if server.Name == name {
			f.up = append(f.up[:i:i], f.up[i+1:]...)
			return
		}
	}
}

// contactTime is how long after the fifth crash requests with the part may still
// reach servers freely.
const contactTime = 5 * time.Second

// TestPromptPartCrashesServerAfterServer guards against retries and new requests
// that carry a prompt part from server to server although each crashed under it. The
// part comes with others: a popular first one, which sound requests have too.
func TestPromptPartCrashesServerAfterServer(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 8, definer.Route{Kind: definer.KindIdempotent, Attempts: 3}, func(r *http.Request) bool {
		return slices.Contains(strings.Fields(r.Header.Get("Parts")), "bad")
	})
	gateway := httptest.NewServer(newCrashTestForwarder(f))
	t.Cleanup(gateway.Close)
	var waiting sync.WaitGroup
	var mu sync.Mutex
	var soundLate, answeredLate int
	started := time.Now()
	for step := 0; time.Since(started) < 11*time.Second; step++ {
		waiting.Go(func() { askOnce(t, gateway, fmt.Sprint("sound-", step), fmt.Sprintf("a f0%x %x", step%5, 1000+step)) })
		if step%10 == 0 {
			waiting.Go(func() { askOnce(t, gateway, fmt.Sprint("bad-", step), fmt.Sprintf("a bad %x", 1000+step)) })
		}
		if time.Since(started) > 9*time.Second {
			waiting.Go(func() {
				status := askOnce(t, gateway, fmt.Sprint("late-", step), fmt.Sprintf("a f%x %x", step, 5000+step))
				mu.Lock()
				defer mu.Unlock()
				soundLate++
				if status == http.StatusOK {
					answeredLate++
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	waiting.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, len(f.crashes) >= 5, "only %d crashes", len(f.crashes))
	late := 0
	for _, arrival := range f.reached {
		if arrival.at.After(f.crashes[4].Add(contactTime)) {
			late++
		}
	}
	t.Logf("%d crashes, %d requests with the part at servers, %d of them late; %d of %d late sound ones answered", len(f.crashes), len(f.reached), late, answeredLate, soundLate)
	assert.Assert(t, late <= 3, "%d requests with the part reached servers later than %s after the fifth crash; %d crashes", late, contactTime, len(f.crashes))
	assert.Assert(t, answeredLate*10 >= soundLate*9, "%d of %d sound requests answered", answeredLate, soundLate)
}

func newCrashTestForwarder(f *crashingFleet) *Forwarder {
	forwarder := New(partsDialect{}, f, measurer.New(), retryLimit)
	forwarder.UseQuarantine(&testQuarantine{})
	return forwarder
}

// testQuarantine is the quarantine of a single instance.
type testQuarantine struct{ warden.Warden }

func (q *testQuarantine) Admit(traits quarantiner.Traits) quarantiner.Admission {
	return q.Warden.Admit(traits, "a", func() []string { return []string{"a"} })
}

// askOnce sends one request and returns the status of the response, or 0.
func askOnce(t *testing.T, gateway *httptest.Server, id, parts string) int {
	request, err := http.NewRequest(http.MethodGet, gateway.URL+"/a", nil)
	assert.Check(t, err)
	request.Host = "gateway"
	request.Header.Set("Id", id)
	request.Header.Set("Key", "key-one")
	request.Header.Set("Parts", parts)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	assert.Check(t, err)
	return response.StatusCode
}
