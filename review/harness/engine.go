//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that an engine began to run.
type arrival struct {
	id     string
	at     time.Time
	engine *engine
}

// arrivals holds the requests that ran, in the order of their beginning.
type arrivals struct {
	mu   sync.Mutex
	runs []arrival
}

func (a *arrivals) add(run arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, run)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.runs...)
}

// engine is a stand-in for a backend server. It announces itself, rejects requests that
// are meant for another one, and answers the others with its stamp.
type engine struct {
	fleet   *fleet
	name    string
	service string
	zone    int
	address string
	born    int64
	slots   int
	runs    *arrivals
	http    *http.Server
	// run answers a request that the engine has begun to work on. The headers that
	// every answer has are set.
	run func(e *engine, w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	sequence int
}

// addEngine starts an engine on an address of its own.
func (f *fleet) addEngine(number, zone int, service string, slots int, runs *arrivals, run func(*engine, http.ResponseWriter, *http.Request, []byte)) error {
	e := &engine{
		fleet: f, name: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, slots: slots, runs: runs, run: run,
		address: fmt.Sprintf("%s:%d", f.host(100+number), f.ports.engines), born: time.Now().UnixMilli(),
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.http = &http.Server{Handler: e}
	go func() { _ = e.http.Serve(listener) }()
	go e.announce(f.ctx)
	f.engines = append(f.engines, e)
	return nil
}

func (e *engine) close() { _ = e.http.Close() }

// announce sends a heartbeat to one control instance after the other until one confirms
// it, about every heartbeatEvery.
func (e *engine) announce(ctx context.Context) {
	first := e.zone // the nearest one
	for ctx.Err() == nil {
		e.mu.Lock()
		e.sequence++
		sequence := e.sequence
		e.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": zones[e.zone].name, "version": "v1", "slots": e.slots, "state": "ready",
			"warmup_left_ms": 0, "sequence": sequence, "born": e.born,
		})
		for range e.fleet.controls {
			status, err := e.fleet.call(first, http.MethodPut, "/-/instances/"+e.name, body)
			if err == nil && status/100 == 2 {
				break
			}
			first = (first + 1) % len(e.fleet.controls)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatEvery):
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	header := w.Header()
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", e.name)
		return
	}
	header.Set("X-Request-Id", id)
	if wanted := r.Header.Get("X-Expect-Instance"); wanted != "" && wanted != e.name {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.runs.add(arrival{id: id, at: time.Now(), engine: e})
	after := ""
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		after = " after event " + last
	}
	e.fleet.record.add("%s (%s) runs %s%s", e.name, zones[e.zone].name, id, after)
	header.Set("X-Server-Stamp", "stamp."+e.name+"."+id)
	e.run(e, w, r, body)
}

// answerShort answers with a short body at once.
func answerShort(e *engine, w http.ResponseWriter, r *http.Request, _ []byte) {
	text := "answer to " + r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// lastEvent returns the number of the event after which a request goes on; 0 if it
// begins a stream.
func lastEvent(r *http.Request) int {
	number, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	return number
}

// resetConnection ends an answer by a reset of its connection.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
