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
	scenarios["cold"] = scenarioOf{playCold, map[string]int{"utara-prai": 13, "selatan-pgudang": 6, "sarawak-kch": 6}}
}

// Values of the rule FAILBACK.
const (
	warmupPerSecond = 1.7
	warmupOvershoot = 1.5
	coldSlack       = 3
	warmupTime      = 3 * time.Second
)

// serveStream answers with a short stream.
func serveStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 3 {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
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

func playCold(f *fleet, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	e, err := f.newEngine("llm", "utara-prai", 64)
	if err != nil {
		return false, err
	}
	e.serve = serveStream
	if err := f.define(newDocument(7)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var near []*process
	for _, entry := range f.entries {
		if entry.zone == e.zone {
			near = append(near, entry)
		}
	}
	sent := &sentTimes{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, entry := range near {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := openChannel(entry.front())
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				id := newID()
				sent.note(id)
				got := c.ask(http.MethodPost, "/draft/2f", id, "prompt", 5*time.Second, "X-Model: m", "X-Token-Usage: 460,80", "X-Prefix-Hash: 5c1e07a2:400,"+id+":60")
				f.record.note("client at %s: %s answered %d %v", entry.name, id, got.status, got.err)
				c.close()
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	e.restart(warmupTime)
	coldFrom := time.Now()
	f.record.note("engine %s: started again, cold for %v", e.id, warmupTime)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, entry := range near {
			entry.signal(syscall.SIGKILL)
		}
		f.record.note("%d of %d entry instances killed", len(near), len(f.entries))
		time.Sleep(300 * time.Millisecond)
		for _, entry := range near {
			entry.kill()
			if err := entry.start(false); err != nil {
				return false, err
			}
		}
		f.record.note("started again")
	}
	time.Sleep(time.Until(coldFrom.Add(warmupTime + time.Second)))
	close(stop)
	clients.Wait()
	return f.coldOverrun(e, sent, coldFrom, coldFrom.Add(warmupTime)), nil
}

// coldOverrun reports whether a cold engine got more requests in a second than the rule
// allows, of those that were sent in that second, too.
func (f *fleet) coldOverrun(e *engine, sent *sentTimes, from, until time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := warmupPerSecond*warmupOvershoot + coldSlack
	most := 0
	for i, first := range e.runs {
		if first.at.Before(from) || first.at.After(until) {
			continue
		}
		begin := sent.of(first.id)
		if begin.Before(from) {
			continue
		}
		count := 0
		for _, other := range e.runs {
			at := sent.of(other.id)
			if !at.Before(begin) && other.at.Before(begin.Add(time.Second)) && other.at.Before(until) {
				count++
			}
		}
		_ = i
		most = max(most, count)
	}
	f.record.note("most requests in a second while cold: %d, allowed: %.2f", most, limit)
	fmt.Println("most requests in a second while cold:", most, "allowed:", limit)
	return float64(most) > limit
}
