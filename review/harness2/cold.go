//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["cold"] = scenarioOf{playCold, map[string]int{lostZone: 13, "selatan-pgudang": 6, "sarawak-kch": 6}}
}

// Values of the rule FAILBACK in the grown deployment, and of the case.
const (
	warmupPerSecond = 1.9
	warmupOvershoot = 1.5
	coldSlack       = 3
	warmupTime      = 3 * time.Second

	lostZone    = "utara-prai"
	lostEngines = 14
	lostTime    = 3 * time.Second
	// returnTime is how long after the servers the machines are back.
	returnTime = 700 * time.Millisecond
)

// serveStream answers with a short stream.
func serveStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1) // fails only if the caller has disconnected
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// sentTimes holds when each request was sent.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *sentTimes) note(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string]time.Time{}
	}
	s.at[id] = time.Now()
}

func (s *sentTimes) of(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[id]
}

// playCold loses a region with its machines and its engines, which come back cold. With
// trouble unset, the machines run on, and the engines alone come back cold.
func playCold(f *fleet, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	var lost []*engine
	for range lostEngines {
		e, err := f.newEngine("llm", lostZone, 64)
		if err != nil {
			return false, err
		}
		e.serve = serveStream
		lost = append(lost, e)
	}
	if err := f.define(grownDocument(7)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var machines []*process
	for _, p := range f.all() {
		if p.zone == lostZone {
			machines = append(machines, p)
		}
	}
	sent := &sentTimes{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, entry := range machines {
		if entry.role == "entry" {
			clients.Go(func() { f.askOnAndOn(entry, sent, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, machine := range machines {
			machine.signal(syscall.SIGKILL)
		}
	}
	for _, e := range lost {
		e.down()
	}
	f.record.note("the region is lost: %d engines, machines: %v", len(lost), trouble)
	time.Sleep(lostTime)
	for _, e := range lost {
		if err := e.up(warmupTime); err != nil {
			return false, err
		}
	}
	coldFrom := time.Now()
	f.record.note("the engines are back, cold for %v", warmupTime)
	time.Sleep(returnTime)
	if trouble {
		for _, machine := range machines {
			machine.kill() // they have ended
			if err := machine.start(false); err != nil {
				return false, err
			}
		}
		f.record.note("the machines are back")
	}
	time.Sleep(time.Until(coldFrom.Add(warmupTime + time.Second)))
	close(stop)
	clients.Wait()
	broken := false
	for _, e := range lost {
		broken = f.coldOverrun(e, sent, coldFrom, coldFrom.Add(warmupTime)) || broken
	}
	return broken, nil
}

// grownDocument returns the desired state with the warm-up of the grown deployment.
func grownDocument(version int) map[string]any {
	document := newDocument(version)
	for _, service := range document["services"].([]any) {
		if service := service.(map[string]any); service["name"] == "llm" {
			service["warmup_s"], service["warmup_per_s"] = warmupTime.Seconds(), warmupPerSecond
		}
	}
	return document
}

// askOnAndOn has a client ask an entry instance for drafts, one after the other.
func (f *fleet) askOnAndOn(entry *process, sent *sentTimes, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := openChannel(entry.front())
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := newID()
		sent.note(id)
		got := c.ask(http.MethodPost, "/draft/2f", id, "prompt", 5*time.Second, "X-Model: m", "X-Token-Usage: 460,80", "X-Prefix-Hash: 5c1e07a2:400,"+id+":60")
		f.record.note("client at %s: %s answered %d %v", entry.name, id, got.status, got.err)
		c.close()
		time.Sleep(250 * time.Millisecond)
	}
}

// coldOverrun reports whether a cold engine got more requests in a second than the rule
// allows, of those that were sent in that second, too.
func (f *fleet) coldOverrun(e *engine, sent *sentTimes, from, until time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := warmupPerSecond*warmupOvershoot + coldSlack
	most := 0
	for _, first := range e.runs {
		begin := sent.of(first.id)
		if begin.Before(from) {
			continue
		}
		count := 0
		for _, other := range e.runs {
			if !sent.of(other.id).Before(begin) && other.at.Before(begin.Add(time.Second)) && other.at.Before(until) {
				count++
			}
		}
		most = max(most, count)
	}
	f.record.note("%s: most requests in a second while cold: %d, allowed: %.2f", e.id, most, limit)
	if float64(most) > limit {
		fmt.Printf("%s: %d requests in a second while cold, allowed: %.2f\n", e.id, most, limit)
		return true
	}
	return false
}
