//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request of a client with its outcome.
type sent struct {
	id     string
	at     time.Time
	status int
	body   string
	err    error
}

// caller sends requests of one kind to an entry instance, a number a second, each of
// which waits for its answer.
type caller struct {
	fleet  *fleet
	entry  int
	method string
	host   string
	path   string
	header map[string]string
	body   string
	budget time.Duration
	perS   int

	number   atomic.Int64
	mu       sync.Mutex
	requests map[string]*sent
	pending  sync.WaitGroup
	client   *http.Client
}

// run sends requests until the context ends, and then waits for the pending ones.
func (c *caller) run(ctx context.Context) {
	c.requests = map[string]*sent{}
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	ticker := time.NewTicker(time.Second / time.Duration(c.perS))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.pending.Wait()
			return
		case <-ticker.C:
			c.pending.Go(c.send)
		}
	}
}

func (c *caller) send() {
	id := fmt.Sprintf("%02x%014x", c.entry, c.number.Add(1))
	s := &sent{id: id, at: time.Now()}
	c.mu.Lock()
	c.requests[id] = s
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.fleet.entryAddress(c.entry)+c.path, strings.NewReader(c.body))
	if err != nil {
		panic(err)
	}
	request.Host = c.host
	request.GetBody = nil // net/http must not send it again by itself
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.budget.Milliseconds()))
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	c.fleet.record.add("client sends %s to entry-%d", id, c.entry)
	response, err := c.client.Do(request)
	status, text := 0, ""
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text = response.StatusCode, string(data)
	}
	c.mu.Lock()
	s.status, s.body, s.err = status, text, err
	c.mu.Unlock()
	c.fleet.record.add("client gets %s: status %d, %d bytes, error %v", id, status, len(text), err)
}

// snapshot returns copies of the requests by their id.
func (c *caller) snapshot() map[string]sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	copies := make(map[string]sent, len(c.requests))
	for id, s := range c.requests {
		copies[id] = *s
	}
	return copies
}
