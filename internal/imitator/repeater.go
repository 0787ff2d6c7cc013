package imitator

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Repeater is a stand-in for a faulty backend server: it answers the first request on
// each connection, and writes that response, or another one, once more when a later
// request is there, which it runs. Set the exported fields before the first call. Its
// methods may be called concurrently.
type Repeater struct {
	// IDHeader names the header with a request's id, which replaces "ID" in First and
	// Answer.
	IDHeader string
	// First are the raw responses to the first requests of connections, in turn; the last
	// one is that of all further connections. One without a length ends its connection.
	First []string
	// Repeated is the raw response that is written once more.
	Repeated string
	// Early means that it is written before the body of the request has been read.
	Early bool
	// Work is how long a request runs unless its connection is closed, and Answer the raw
	// response to it.
	Work   time.Duration
	Answer string

	mu          sync.Mutex
	connections int
	runsByID    map[string]int
	working     int
}

// Serve serves connections until the listener is closed and they have ended.
func (r *Repeater) Serve(listener net.Listener) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		open.Go(func() { r.serve(conn) })
	}
}

// Runs returns how often the request with an id has run.
func (r *Repeater) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runsByID[id]
}

// Working returns how many requests run now.
func (r *Repeater) Working() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.working
}

func (r *Repeater) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	first := r.nextFirst()
	reader := bufio.NewReader(conn)
	for carried := 0; ; carried++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if carried > 0 && r.Early {
			_, _ = io.WriteString(conn, r.Repeated)
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(r.IDHeader)
		if carried > 0 {
			r.run(conn, reader, id)
			continue
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(first, "ID", id))
		if request.Close || !strings.Contains(first, "Content-Length") {
			return
		}
	}
}

func (r *Repeater) nextFirst() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections++
	return r.First[min(r.connections, len(r.First))-1]
}

// run runs a request to its end or until its connection is closed.
func (r *Repeater) run(conn net.Conn, reader *bufio.Reader, id string) {
	r.count(id, 1)
	defer r.count(id, -1)
	if !r.Early {
		_, _ = io.WriteString(conn, r.Repeated)
	}
	_ = conn.SetReadDeadline(time.Now().Add(r.Work))
	if _, err := reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	_, _ = io.WriteString(conn, strings.ReplaceAll(r.Answer, "ID", id))
}

// count counts a request that begins to run or that ends.
func (r *Repeater) count(id string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runsByID == nil {
		r.runsByID = map[string]int{}
	}
	r.working += change
	r.runsByID[id] += max(change, 0)
}
