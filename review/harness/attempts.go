//go:build review

package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// Figures of the streams and of their disruption.
const (
	streamEvents  = 20
	eventInterval = 15 * time.Millisecond
	// greyFor and greyShare are how long two of the twelve engines fail and which share of
	// their requests: the doses of the users' site file for resets.
	greyFor   = 6500 * time.Millisecond
	greyShare = 0.45
	// greySpans is how often they do, and greyPause how long they are sound in between.
	greySpans = 5
	greyPause = 3 * time.Second
	// maxAttempts is that of the route, and allowedExcess how many requests of a day may
	// run on more engines.
	maxAttempts   = 2
	allowedExcess = 3
)

// enginesByZone are the numbers of engines. Those of greyZone fail.
var enginesByZone = []int{7, 2, 3}

const greyZone = 1

// attempts sends resumable streams to an entry instance whose region is no home of their
// route, so that it relays them, while engines reset some of their streams midway. It is
// broken if more than allowedExcess requests run on more than maxAttempts engines.
func attempts(f *fleet, trouble bool) (bool, error) {
	const host, path = "ficu95.example", "/pufi791/2f"
	runs := &arrivals{}
	grey := &window{}
	stream := func(e *engine, w http.ResponseWriter, r *http.Request, _ []byte) { streamEventsOf(e, w, r, grey) }
	number := 0
	for z, count := range enginesByZone {
		for range count {
			if err := f.addEngine(number, z, "huvo11a", 64, runs, stream); err != nil {
				return false, err
			}
			number++
		}
	}
	state := desiredState(route{
		Name: "r-828m82t", Host: host, PathPrefix: "/pufi791/", RouteType: "streaming", TimeoutMs: 15000, TargetLatencyMs: 800, MaxAttempts: maxAttempts,
		Service: "huvo11a", ResumeEnabled: true, GapAimMs: 600, HomeRegions: []string{"utara", "selatan"},
	})
	if err := f.define(state); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	c := &caller{fleet: f, entry: 2, method: http.MethodPost, host: host, path: path, body: "a question", budget: 15 * time.Second, perS: 6}
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() { c.run(ctx); close(ended) }()
	time.Sleep(contact + 2*time.Second)
	if before := len(runs.all()); before < 20 {
		return false, fmt.Errorf("only %d requests ran in calm", before)
	}
	for range greySpans {
		if trouble {
			f.record.say("%d of 12 engines reset %.2f of their streams midway, for %v", enginesByZone[greyZone], greyShare, greyFor)
			grey.open()
		}
		time.Sleep(greyFor)
		grey.close()
		f.record.say("engines are sound")
		time.Sleep(greyPause)
	}
	cancel()
	<-ended
	enginesOf := map[string]map[string]bool{}
	for _, run := range runs.all() {
		if enginesOf[run.id] == nil {
			enginesOf[run.id] = map[string]bool{}
		}
		enginesOf[run.id][run.engine.name] = true
	}
	excess, answered := 0, 0
	for id, engines := range enginesOf {
		if len(engines) > maxAttempts {
			excess++
			f.record.say("%s ran on %d engines; max_attempts is %d", id, len(engines), maxAttempts)
		}
	}
	for _, s := range c.snapshot() {
		if s.status == http.StatusOK && s.err == nil {
			answered++
		}
	}
	f.record.say("%d requests answered whole; %d ran on more engines than max_attempts; %d are allowed", answered, excess, allowedExcess)
	if !f.allRun() {
		return false, fmt.Errorf("a process has ended")
	}
	if answered < 20 {
		return false, fmt.Errorf("only %d requests were answered", answered)
	}
	return excess > allowedExcess, nil
}

// streamEventsOf sends the events that follow the last one that the client has. While the
// engines are grey, some streams end by a reset after a few events.
func streamEventsOf(e *engine, w http.ResponseWriter, r *http.Request, grey *window) {
	w.Header().Set("Content-Type", "text/event-stream")
	id, first := r.Header.Get("X-Request-Id"), lastEvent(r)+1
	breakAt := 0
	if grey.isOpen() && e.zone == greyZone && fraction(e.name+id) < greyShare {
		breakAt = first + 3
	}
	control := http.NewResponseController(w)
	for number := first; number <= streamEvents; number++ {
		if number == breakAt {
			e.fleet.record.add("%s resets its connection in %s before event %d", e.name, id, number)
			resetConnection(w)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", number, id, number); err != nil {
			return
		}
		_ = control.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

// fraction returns a number from 0 to 1 that follows from a text.
func fraction(text string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return float64(hash.Sum64()%1_000_003) / 1_000_003
}
