//go:build review3

package main

import (
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
	partsRequests  = 3000
	partsClients   = 8
	partsInRequest = 1500
	// maxHeadBytes is max_header_bytes of the desired state.
	maxHeadBytes = 16384
)

// runParts sends streams of a client that nobody controls: their prompts have many parts, all
// but the last of them empty. Without the disruption the prompts are ordinary ones.
func runParts(f *fleet, trouble bool) int {
	var all runs
	startFleet(f, &all)
	entry := f.entries[0]
	transport := &http.Transport{MaxIdleConnsPerHost: partsClients}
	defer transport.CloseIdleConnections()
	var sending sync.WaitGroup
	var mu sync.Mutex
	answers, byRequest := map[int]int{}, map[string]int{}
	for client := range partsClients {
		sending.Go(func() {
			for i := client; i < partsRequests && entry.runs(); i += partsClients {
				status := sendParts(transport, entry, i, trouble)
				mu.Lock()
				answers[status]++
				byRequest[requestID(i)] = status
				mu.Unlock()
				if i%250 == 0 {
					f.record.line("request %d of %d answered %d; %s has used %.0f MB at most", i, partsRequests, status, entry.name, entry.status("VmHWM"))
				}
			}
		})
	}
	sending.Wait()
	for i := range partsRequests {
		f.record.line("request %s answered %d, run by %v", requestID(i), byRequest[requestID(i)], all.serversOf(requestID(i)))
	}
	f.record.line("answers by status: %v; %d requests run by servers", answers, all.count())
	used := entry.status("VmHWM")
	f.record.line("%s runs: %v; it has used %.0f MB at most and may use %d MB", entry.name, entry.runs(), used, memoryMB)
	switch {
	case answers[http.StatusOK] == 0:
		return exitNotRun
	case !entry.runs() || used > memoryMB:
		return exitBroken
	}
	return exitHeld
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
	if size := headBytes(request); size > maxHeadBytes {
		panic(fmt.Sprintf("a head of %d bytes", size))
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

// startFleet starts a small deployment with one entry instance and three servers, and waits
// until it serves.
func startFleet(f *fleet, all *runs) {
	addControls(f)
	f.addEntry("north-1", f.host())
	if err := f.start(); err != nil {
		f.record.line("cannot start: %v", err)
		return
	}
	for i := range 3 {
		s := &server{fleet: f, runs: all, service: "engines", ip: f.host(), zone: "north-1", slots: 64, answer: streamAnswer}
		if err := s.start(fmt.Sprintf("i-%d", i), "v1"); err != nil {
			f.record.line("cannot start a server: %v", err)
		}
	}
	f.record.line("desired state accepted: %v", f.anyControl(http.MethodPut, "/-/config", desiredState(1), 10*time.Second))
	f.record.line("entry instances ready: %v", f.awaitReady(10*time.Second))
	time.Sleep(2 * heartbeatInterval)
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
