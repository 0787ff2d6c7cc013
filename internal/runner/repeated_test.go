package runner_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/imitator"
)

// fragileTables add a pool of servers that crash under certain requests.
var fragileTables = strings.Replace(testTables, "routes:\n", `  - {name: fragile-north, region: north}
routes:
  - {name: lookups, path: /lookups, pools: [fragile-north], timeout: 10s}
  - {name: orders, path: /orders, pools: [fragile-north], once: true, timeout: 10s}
`, 1)

// crashingBody is the body of the requests that crash the servers that begin them.
const crashingBody = "crash"

// fragileServer is a backend server that crashes under requests with crashingBody and is
// back a while later under the same name and address.
type fragileServer struct {
	fleet   *testFleet
	name    string
	address netip.AddrPort
	reached *arrivalLog

	mu     sync.Mutex
	server *http.Server
	cancel func()
	ended  bool
}

// arrivalLog holds when requests with crashingBody reached servers.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *arrivalLog) record() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

func (l *arrivalLog) countAfter(limit time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.times {
		if at.After(limit) {
			count++
		}
	}
	return count
}

func (s *fragileServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		s.fleet.t.Errorf("%s cannot start: %v", s.name, err)
		return
	}
	backend := &imitator.Server{Name: s.name}
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serve(backend, w, r)
	})}
	announcer := &imitator.Announcer{
		Server: backend, Address: s.address, Pools: []string{"fragile-north"}, Models: []string{"m"}, MaxRunning: 64,
	}
	for _, gate := range []string{"n1", "n2"} {
		announcer.Instances = append(announcer.Instances, s.fleet.gates[gate].BackendAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	server := s.server
	go func() { _ = server.Serve(listener) }()
	go func() { _ = announcer.Run(ctx) }()
}

// serve answers a request, or crashes under it.
func (s *fragileServer) serve(backend *imitator.Server, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	if string(body) == crashingBody {
		s.reached.record()
		s.crash(400 * time.Millisecond)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	backend.ServeHTTP(w, r)
}

// crash ends the server and starts it again later.
func (s *fragileServer) crash(away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.server == nil {
		return
	}
	s.cancel()
	_ = s.server.Close()
	s.server = nil
	time.AfterFunc(away, s.start)
}

func (s *fragileServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.server != nil {
		s.cancel()
		_ = s.server.Close()
	}
}

// TestRepeatedRequestEndsBackendServers guards against a request that comes again
// whole, at all instances, also by relays, and ends a backend server each time.
func TestRepeatedRequestEndsBackendServers(t *testing.T) {
	tests := []struct {
		path   string
		header http.Header
	}{
		{"/lookups", nil},
		{"/orders", http.Header{}},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			t.Parallel()
			f := newFleetWith(t, fragileTables, map[string]string{})
			reached := &arrivalLog{}
			for i := range 6 {
				server := &fragileServer{fleet: f, name: fmt.Sprint("fragile-", i), address: freePort(), reached: reached}
				server.start()
				t.Cleanup(server.end)
			}
			secret, _ := f.createKey("roaming", "north")
			f.eventually("fragile servers serve", func() error {
				if status, body := f.post("s1", secret, "/lookups", "first", nil); status != http.StatusOK {
					return fmt.Errorf("status %d: %s", status, body)
				}
				return nil
			})
			var waiting sync.WaitGroup
			var mu sync.Mutex
			late, answered := 0, 0
			started := time.Now()
			for step := 0; time.Since(started) < 14*time.Second; step++ {
				gate := []string{"n1", "n2", "s1"}[step%3]
				waiting.Go(func() {
					status, _ := f.post(gate, secret, "/lookups", fmt.Sprint("sound ", step), nil)
					mu.Lock()
					defer mu.Unlock()
					if time.Since(started) > 11*time.Second {
						late++
						if status == http.StatusOK {
							answered++
						}
					}
				})
				if step%20 == 0 {
					header := test.header.Clone()
					if header != nil {
						header.Set("Idempotency-Key", fmt.Sprint("key-", step))
					}
					waiting.Go(func() { f.post(gate, secret, test.path, crashingBody, header) })
				}
				time.Sleep(25 * time.Millisecond)
			}
			waiting.Wait()
			assert.Assert(t, len(reached.times) >= 3, "only %d runs", len(reached.times))
			tooLate := reached.countAfter(reached.times[2].Add(5 * time.Second))
			t.Logf("%d runs, %d of them later than 5 s after the third crash; %d of %d late sound requests answered", len(reached.times), tooLate, answered, late)
			assert.Check(t, tooLate <= 3, "the request reached servers %d times later than 5 s after the third crash", tooLate)
			assert.Check(t, answered*10 >= late*9, "%d of %d sound requests answered", answered, late)
		})
	}
}
