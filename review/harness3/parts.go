//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scripts["parts"] = runParts }

// Size of the crowd. Each head stays within max_header_bytes of the desired state.
const (
	partsClients   = 8 // of each of the entry instances that are used
	partsInRequest = 1300
	// maxHeadBytes is max_header_bytes of the desired state.
	maxHeadBytes = 16384
	// ordinaryRequests are sent to each entry instance without the disruption.
	ordinaryRequests = 12000
	// requestsPerTarget keeps the ids of the requests to two entry instances apart.
	requestsPerTarget = 1_000_000
)

// What the rule calls broken: so many machines on which processes end by themselves so often.
const (
	partsMachines = 2
	partsEnds     = 3
	// partsLimit bounds the sending, and restartDelay is how long a process is away.
	partsLimit   = 80 * time.Second
	restartDelay = 500 * time.Millisecond
	// memoryInterval is how often the platform looks at the memory of a process.
	memoryInterval = 20 * time.Millisecond
)

// partsTarget is an entry instance that the clients use.
type partsTarget struct {
	entry   *process
	mu      sync.Mutex
	ends    int
	next    int
	answers map[int]int
}

// runParts sends streams of clients that nobody controls: their prompts have many parts, all
// but the last of them empty. Without the disruption the prompts are ordinary ones. The platform
// kills a process that uses more memory than its machine has, and starts it again.
func runParts(f *fleet, trouble bool) int {
	var all runs
	if !startFleet(f, &all) {
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), partsLimit)
	defer cancel()
	var targets []*partsTarget
	var working sync.WaitGroup
	for i := range partsMachines {
		t := &partsTarget{entry: f.entries[i], answers: map[int]int{}, next: i * requestsPerTarget}
		targets = append(targets, t)
		transport := &http.Transport{MaxIdleConnsPerHost: partsClients}
		defer transport.CloseIdleConnections()
		done, end := context.WithCancel(ctx)
		defer end()
		working.Go(func() { t.limitMemory(done, end) })
		var sending sync.WaitGroup
		for range partsClients {
			sending.Go(func() { t.send(done, f.record, transport, i*requestsPerTarget, trouble) })
		}
		working.Go(func() {
			sending.Wait()
			end()
		})
	}
	working.Wait()
	broken, answered := 0, 0
	for _, t := range targets {
		f.record.line("%s: answers by status %v, ended %d times for its memory; %.0f MB now", t.entry.name, t.answers, t.ends, t.entry.status("VmRSS"))
		answered += t.answers[http.StatusOK]
		if t.ends >= partsEnds {
			broken++
		}
	}
	f.record.line("%d requests run by servers; on %d machines processes have ended %d times, %d machines break the rule", all.count(), broken, partsEnds, partsMachines)
	switch {
	case answered == 0:
		return exitNotRun
	case broken >= partsMachines:
		return exitBroken
	}
	return exitHeld
}

// limitMemory does what the platform does until the context ends: it kills the process when it
// uses more than its memory, and starts it again. After partsEnds it calls end.
func (t *partsTarget) limitMemory(ctx context.Context, end func()) {
	for ctx.Err() == nil {
		time.Sleep(memoryInterval)
		used := t.entry.status("VmRSS")
		if used <= memoryMB {
			continue
		}
		t.ends++
		t.entry.fleet.record.line("%s uses %.0f MB of %d and is killed", t.entry.name, used, memoryMB)
		t.entry.kill()
		time.Sleep(restartDelay)
		if err := t.entry.start(); err != nil {
			t.entry.fleet.record.line("%s does not start: %v", t.entry.name, err)
			return
		}
		if t.ends >= partsEnds {
			end()
		}
	}
}

// send sends one request after the other until the context ends.
func (t *partsTarget) send(ctx context.Context, rec *record, transport *http.Transport, first int, trouble bool) {
	for ctx.Err() == nil {
		t.mu.Lock()
		i := t.next
		t.next++
		t.mu.Unlock()
		if !trouble && i-first >= ordinaryRequests {
			return
		}
		status := sendParts(transport, t.entry, i, trouble)
		rec.line("request %s at %s answered %d", requestID(i), t.entry.name, status)
		t.mu.Lock()
		t.answers[status]++
		t.mu.Unlock()
		if status == 0 {
			time.Sleep(memoryInterval)
		}
	}
}

func requestID(i int) string { return fmt.Sprintf("%016x", i+1) }

func sendParts(transport *http.Transport, entry *process, i int, trouble bool) int {
	parts, usage := fmt.Sprintf("%x:119,%x:628", 1+i%40, 0x100000+i), "747,20"
	if trouble {
		var list strings.Builder
		for part := range partsInRequest - 1 {
			fmt.Fprintf(&list, "%x:0,", 0x100000+i*partsInRequest+part)
		}
		parts, usage = fmt.Sprintf("%s%x:20", list.String(), 0x100000+(i+1)*partsInRequest-1), "20,20"
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+addr(entry.ip, portCallers)+"/ask/x", strings.NewReader("question"))
	if err != nil {
		return 0
	}
	request.Host = "shop.example"
	request.Header.Set("X-Request-Id", requestID(i))
	request.Header.Set("X-Deadline-Ms", "15000")
	request.Header.Set("X-Key", "key-of-the-shop")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", usage)
	request.Header.Set("X-Prefix-Hash", parts)
	if headBytes(request) > maxHeadBytes {
		return 0 // no such request is sent
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// headBytes returns about how long the head of a request is on the wire.
func headBytes(request *http.Request) int {
	size := 128 // the request line and what net/http adds
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

// startFleet starts the small deployment of the sheet with three servers, and waits until it
// serves. It reports whether it does.
func startFleet(f *fleet, all *runs) bool {
	addControls(f)
	for _, zone := range []string{"north-1", "north-1", "north-1", "south-1", "south-1", "east-1", "east-1"} {
		f.addEntry(zone, f.host())
	}
	if err := f.start(); err != nil {
		f.record.line("cannot start: %v", err)
		return false
	}
	for i := range 3 {
		s := &server{fleet: f, runs: all, service: "engines", ip: f.host(), zone: "north-1", slots: 64, answer: streamAnswer}
		if err := s.start(fmt.Sprintf("i-%d", i), "v1"); err != nil {
			f.record.line("cannot start a server: %v", err)
			return false
		}
	}
	if !f.anyControl(http.MethodPut, "/-/config", desiredState(1), 10*time.Second) || !f.awaitReady(10*time.Second) {
		return false
	}
	time.Sleep(2 * heartbeatInterval)
	return true
}

// addControls adds a control instance in each failure domain.
func addControls(f *fleet) {
	zones := []string{"north-1", "south-1", "east-1"}
	var ips []string
	for range zones {
		ip := f.host()
		ips = append(ips, ip)
		f.seeds = append(f.seeds, addr(ip, portControl))
	}
	for i, zone := range zones {
		f.addControl(zone, ips[i])
	}
}

// streamAnswer writes a stream of some events.
func streamAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 4; event++ {
		fmt.Fprintf(w, "id: %d\ndata: words\n\n", event)
	}
}

// desiredState returns a desired state with one streaming route.
func desiredState(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "ask", "host": "shop.example", "path_prefix": "/ask/", "route_type": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 800, "priority": 0, "service": "engines", "max_attempts": 2, "auth_exempt": false,
			"session_affinity": true, "resume_enabled": true, "gap_aim_ms": 600, "home_regions": []string{},
		}},
		"services": []any{map[string]any{
			"name": "engines", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0,
			"engine": map[string]any{"slots": 64, "kv_capacity": 242408, "kv_token_bytes": 18432, "link_mbps": 370000, "moves": true, "backups": true,
				"stride": 5, "most": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-of-the-shop"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0, "home_regions": []string{}}},
	}
}
