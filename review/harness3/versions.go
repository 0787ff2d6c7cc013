//go:build review3

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scripts["versions"] = runVersions }

const (
	streamEvents   = 60
	streamInterval = 100 * time.Millisecond
	streamCount    = 40
	// serverDowntime is how long a server that crashes is away, and crashGap the time from the
	// begin of the streams to the crash of the second server.
	serverDowntime = 250 * time.Millisecond
	crashGap       = time.Second
	// lateHeartbeat is how late the first heartbeat of a server arrives.
	lateHeartbeat = 3 * time.Second
)

// runVersions has two servers crash one after the other and come back under their ids with the
// next version of their software, the first while it serves nothing. Streams begin in between. With
// the disruption the first heartbeats arrive late.
func runVersions(f *fleet, trouble bool) int {
	var all runs
	addControls(f)
	f.addEntry("north-1", f.host())
	if err := f.start(); err != nil {
		f.record.line("cannot start: %v", err)
		return exitNotRun
	}
	servers, err := f.startServers(&all)
	if err != nil {
		f.record.line("cannot start a server: %v", err)
		return exitNotRun
	}
	if !f.anyControl(http.MethodPut, "/-/config", desiredState(1), 10*time.Second) || !f.awaitReady(10*time.Second) {
		return exitNotRun
	}
	time.Sleep(2 * heartbeatInterval)
	servers[1].crashAndReturn(trouble) // it serves nothing yet
	time.Sleep(200 * time.Millisecond)
	var reading sync.WaitGroup
	var mu sync.Mutex
	joined, whole := 0, 0
	for i := range streamCount {
		reading.Go(func() {
			status, versions, complete := f.readStream(fmt.Sprintf("%016x", i+1))
			mu.Lock()
			defer mu.Unlock()
			f.record.line("stream %016x answered %d, versions %v, complete %v", i+1, status, versions, complete)
			if len(versions) > 1 {
				joined++
			}
			if complete {
				whole++
			}
		})
	}
	time.Sleep(crashGap)
	servers[0].crashAndReturn(trouble)
	reading.Wait()
	for _, r := range all.all {
		f.record.line("run of %s at %s %s after event %q", r.id, r.server, r.version, r.lastEvent)
	}
	f.record.line("%d streams: %d whole, %d joined from two versions", streamCount, whole, joined)
	if joined > 0 {
		return exitBroken
	}
	return exitHeld
}

// serversByZone is how many servers each failure domain has, as on the sheet of the co-op.
var serversByZone = []struct {
	zone  string
	count int
}{{"north-1", 5}, {"south-1", 4}, {"east-1", 3}}

// startServers starts the servers of all failure domains, those of the first one first.
func (f *fleet) startServers(all *runs) ([]*server, error) {
	var servers []*server
	for _, domain := range serversByZone {
		for range domain.count {
			s := &server{fleet: f, runs: all, service: "engines", ip: f.host(), zone: domain.zone, slots: 64}
			s.answer = s.versionedStream
			if err := s.start(fmt.Sprintf("i-%d", len(servers)), "v1"); err != nil {
				return nil, err
			}
			servers = append(servers, s)
		}
	}
	return servers, nil
}

// crashAndReturn ends the server and starts it again under its id with the next version.
func (s *server) crashAndReturn(late bool) {
	s.fleet.record.line("server %s %s crashes", s.id, s.version)
	s.end()
	time.Sleep(serverDowntime)
	s.firstHeartbeat = 0
	if late {
		s.firstHeartbeat = lateHeartbeat
	}
	if err := s.start(s.id, "v2"); err != nil {
		s.fleet.record.line("server %s does not return: %v", s.id, err)
		return
	}
	s.fleet.record.line("server %s is back with v2; its first heartbeat arrives %v late", s.id, s.firstHeartbeat)
}

// versionedStream writes a stream whose events name the version that wrote them.
func (s *server) versionedStream(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(streamInterval):
		}
	}
}

// readStream reads a stream as a client and returns the versions that wrote its events.
func (f *fleet) readStream(id string) (status int, versions []string, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr(f.entries[0].ip, portCallers)+"/ask/x", strings.NewReader("question"))
	if err != nil {
		return 0, nil, false
	}
	request.Host = "shop.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "15000", "X-Key": "key-of-the-shop", "X-Model": "m", "X-Token-Usage": "747,300", "X-Prefix-Hash": "1:119," + id + ":628",
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{}).Do(request)
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	last := ""
	for {
		line, err := lines.ReadString('\n')
		if version, found := strings.CutPrefix(line, "data: "); found {
			if version = strings.TrimSpace(version); !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
		if event, found := strings.CutPrefix(line, "id: "); found {
			last = strings.TrimSpace(event)
		}
		if err != nil {
			return response.StatusCode, versions, err == io.EOF && last == strconv.Itoa(streamEvents)
		}
	}
}
