//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a sound backend server, unless serve is set.
type engine struct {
	fleet                      *fleet
	id, service, zone, address string
	slots                      int
	server                     *http.Server

	mu        sync.Mutex
	state     string
	warmUntil time.Time
	born      int64
	sequence  int
	// boot counts the starts and the ends.
	boot int
	runs []run
	// serve, unless nil, answers requests that are for this engine.
	serve func(w http.ResponseWriter, r *http.Request)
}

// run is a request that an engine has begun to work on.
type run struct {
	at              time.Time
	id, target      string
	method, tenant  string
	service, region string
}

func (f *fleet) newEngine(service, zone string, slots int) (*engine, error) {
	ip := f.newIP()
	e := &engine{fleet: f, service: service, zone: zone, slots: slots, state: "ready"}
	e.address = fmt.Sprintf("%s:%d", ip, portEngine)
	f.engines = append(f.engines, e)
	return e, e.up(0)
}

// up starts the engine, as a new boot under a new id that is cold for some time.
func (e *engine) up(cold time.Duration) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.id = fmt.Sprintf("i-%s-%s-%d", e.service, e.address, e.boot)
	e.born, e.sequence, e.warmUntil = time.Now().UnixMilli(), 0, time.Now().Add(cold)
	e.server = &http.Server{Handler: e}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	go e.sendBeats(e.boot)
	return nil
}

// down ends the engine without a word.
func (e *engine) down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	_ = e.server.Close()
}

func (e *engine) sendBeats(boot int) {
	for n := 0; ; n++ {
		e.mu.Lock()
		if e.boot != boot {
			e.mu.Unlock()
			return
		}
		e.sequence++
		left := max(time.Until(e.warmUntil).Milliseconds(), 0)
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
			"warmup_left_ms": left, "sequence": e.sequence, "born": e.born,
		})
		id := e.id
		e.mu.Unlock()
		for tries := range len(e.fleet.controls) {
			control := e.fleet.controls[(n+tries)%len(e.fleet.controls)]
			status, err := e.fleet.call(control, http.MethodPut, "/-/instances/"+id, body)
			if err == nil && status/100 == 2 {
				break
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	e.mu.Lock()
	expected, serve := e.id, e.serve
	e.mu.Unlock()
	if named := r.Header.Get("X-Expect-Instance"); named != "" && named != expected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, run{at: time.Now(), id: id, target: r.RequestURI, method: r.Method, tenant: r.Header.Get("X-Tenant"), service: e.service, region: regionByZone[e.zone]})
	e.mu.Unlock()
	e.fleet.record.note("engine %s: runs %s %s %s", expected, id, r.Method, r.RequestURI)
	w.Header().Set("X-Server-Stamp", "stamp."+id)
	if serve != nil {
		serve(w, r)
		return
	}
	_, _ = w.Write(bytes.Repeat([]byte("a"), 200))
}

// allRuns returns what all engines have run, by request id.
func (f *fleet) allRuns() map[string][]run {
	runs := map[string][]run{}
	for _, e := range f.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			runs[r.id] = append(runs[r.id], r)
		}
		e.mu.Unlock()
	}
	return runs
}
