//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newID returns a new request id.
func newID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1))
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is not nil if the channel ended without a complete answer.
	err error
}

// channel is a client's connection that is kept for several requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// withoutKey means that the requests bear no key.
	withoutKey bool
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// head returns the head of a request.
func (c *channel) head(method, target, id string, more ...string) string {
	lines := []string{method + " " + target + " HTTP/1.1", "Host: " + hostName, "X-Request-Id: " + id}
	if !c.withoutKey {
		lines = append(lines, "X-Key: "+apiKey)
	}
	lines = append(lines, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// ask sends a request and reads the whole answer.
func (c *channel) ask(method, target, id string, body string, timeout time.Duration, more ...string) answer {
	if body != "" || method == http.MethodPost {
		more = append(more, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	more = append(more, fmt.Sprintf("X-Deadline-Ms: %d", timeout.Milliseconds()))
	_ = c.conn.SetDeadline(time.Now().Add(timeout + 2*time.Second))
	if _, err := io.WriteString(c.conn, c.head(method, target, id, more...)+body); err != nil {
		return answer{err: err}
	}
	return c.read(method)
}

func (c *channel) read(method string) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: text, err: err}
}

func (c *channel) close() { _ = c.conn.Close() }

// askOnce asks on a channel of its own.
func askOnce(address, method, target, id, body string, timeout time.Duration, more ...string) answer {
	c, err := openChannel(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.ask(method, target, id, body, timeout, more...)
}

// askWithoutKey is askOnce for a request that bears no key.
func askWithoutKey(address, method, target, id, body string, timeout time.Duration, more ...string) answer {
	c, err := openChannel(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	c.withoutKey = true
	return c.ask(method, target, id, body, timeout, more...)
}
