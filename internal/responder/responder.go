// Package responder answers HTTP requests whose bodies have not been read to their end.
// By itself, net/http reads on before it sends such an answer, for as long as the
// client takes to send the rest.
package responder

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Limits of what is read of a body that nobody needs.
const (
	// endWait is how long an answer waits for the end of the body. The connection can
	// carry further requests if the end comes in that time.
	endWait = 50 * time.Millisecond
	// maxRest is how much is read in that time.
	maxRest = 256 << 10
	// lingerTime and maxLinger bound what is read after the answer: a connection that is
	// closed with unread bytes is reset, and the client may lose the answer.
	lingerTime = time.Second
	maxLinger  = 8 << 20
)

// Answer has an answer written to a request whose body has not been read to its end. If
// the end does not come in a moment, the answer is sent at once, and Answer returns when
// it has closed the connection. The answer is held in memory before it is sent.
func Answer(w http.ResponseWriter, r *http.Request, write func(w http.ResponseWriter)) {
	if endsSoon(w, r) {
		write(w)
		return
	}
	AnswerUnread(w, write)
}

// AnswerUnread is Answer for a body of which nothing may be read: it sends the answer at
// once and closes the connection.
func AnswerUnread(w http.ResponseWriter, write func(w http.ResponseWriter)) {
	answer := heldAnswer{ResponseWriter: w, status: http.StatusOK}
	write(&answer)
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", strconv.Itoa(answer.body.Len()))
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes()) // fails only if the client has disconnected
	control := http.NewResponseController(w)
	_ = control.Flush()
	if conn, _, err := control.Hijack(); err == nil { // else net/http closes the connection
		linger(conn)
	}
}

// endsSoon reports whether the request's body has no rest, after it has read what comes
// in endWait.
func endsSoon(w http.ResponseWriter, r *http.Request) bool {
	if r.ProtoMajor != 1 || r.Body == nil || r.Body == http.NoBody {
		return true
	}
	if r.Header.Get("Expect") != "" {
		return false // reading would ask the client for the body
	}
	if r.Context().Err() != nil {
		return false // after a failed read, net/http ends the contexts of further requests, too
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(endWait)); err != nil {
		return true // not a connection of net/http's server
	}
	_, err := io.CopyN(io.Discard, r.Body, maxRest)
	_ = control.SetReadDeadline(time.Time{})
	return errors.Is(err, io.EOF)
}

// linger closes a connection without resetting it, unless the client sends on for longer
// than lingerTime or more than maxLinger.
func linger(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, conn, maxLinger)
}

// heldAnswer holds an answer back, except for the headers.
type heldAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (a *heldAnswer) WriteHeader(status int) { a.status = status }

func (a *heldAnswer) Write(data []byte) (int, error) { return a.body.Write(data) }
