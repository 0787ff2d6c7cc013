//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// run is a request that a server has begun to work on.
type run struct {
	at                 time.Time
	id, server, tenant string
	version, lastEvent string
}

// runs holds the runs of all servers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(added run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, added)
}

func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// server is a stand-in for a server of a service.
type server struct {
	fleet       *fleet
	runs        *runs
	service, ip string
	zone        string
	slots       int
	port        int

	mu       sync.Mutex
	id       string
	version  string
	born     int64
	sequence uint64
	http     *http.Server
	stop     context.CancelFunc
	// firstHeartbeat is how long after the start the first heartbeat arrives.
	firstHeartbeat time.Duration
	// answer, unless nil, writes the answer to a request that runs.
	answer func(w http.ResponseWriter, r *http.Request)
}

func (s *server) address() string {
	if s.port == 0 {
		return addr(s.ip, portServers)
	}
	return addr(s.ip, s.port)
}

// start starts the server under an id.
func (s *server) start(id, version string) error {
	listener, err := net.Listen("tcp", s.address())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.id, s.version, s.born, s.sequence, s.stop = id, version, time.Now().UnixMilli(), 0, cancel
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	server := s.http
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	late := s.firstHeartbeat
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(late):
		}
		for ctx.Err() == nil {
			s.heartbeat()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return nil
}

func (s *server) heartbeat() bool {
	s.mu.Lock()
	s.sequence++
	id := s.id
	body := map[string]any{
		"service": s.service, "address": s.address(), "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": "ready", "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	return s.fleet.anyControl(http.MethodPut, "/-/instances/"+id, body, 2*time.Second)
}

// end ends the server without a word.
func (s *server) end() {
	s.mu.Lock()
	server := s.http
	s.stop()
	s.mu.Unlock()
	_ = server.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, version := s.id, s.version
	s.mu.Unlock()
	header := w.Header()
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", id)
		return
	}
	request := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.runs.add(run{at: time.Now(), id: request, server: id, version: version, tenant: r.Header.Get("X-Tenant"), lastEvent: r.Header.Get("Last-Event-Id")})
	header.Set("X-Server-Stamp", "stamp."+id+"."+version)
	if s.answer != nil {
		s.answer(w, r)
		return
	}
	answer := fmt.Sprintf("%s:%d", request, len(body))
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
