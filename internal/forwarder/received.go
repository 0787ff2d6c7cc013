package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Reasons why a stream whose body was read without an error is still incomplete.
var (
	errEndedWithinEvent = errors.New("the body ended within an event")
	errNoEvents         = errors.New("comments and blank lines without an event exceed 256 KiB")
	errEndedUnframed    = errors.New("the connection ended before the first event")
	errNothingResumed   = errors.New("the resumed stream ended without the event at which it was to go on")
)

// framing is how a response marks the end of its body.
type framing string

const (
	framingLength  framing = "length"
	framingChunked framing = "chunked"
	// framingClose means that the body ends with its connection. A server that
	// stops early may then look as if it had finished.
	framingClose framing = "close"
)

func framingOf(response *http.Response) framing {
	switch {
	case response.ContentLength >= 0:
		return framingLength
	case len(response.TransferEncoding) > 0:
		return framingChunked
	}
	return framingClose
}

// receivedBody describes what arrived of the body of a call's last response.
type receivedBody struct {
	framing framing
	bytes   int64
	// events is the number of complete events, and duplicates how many of them
	// were not forwarded because the caller already had them.
	events     int
	duplicates int
	// idleBytes is the size of the comments and blank lines since the last event
	// that has a field.
	idleBytes int
	// unfinishedBytes is the size of the event within which the stream ended.
	unfinishedBytes int
}

// maxIdleBytes bounds the comments and blank lines between two events of a stream.
// It is far above what keeps a connection alive over the longest call.
const maxIdleBytes = 256 << 10

// checkProgress returns an error once a stream goes on without events.
func (b *receivedBody) checkProgress(event []byte) error {
	if !isComments(event) {
		b.idleBytes = 0
		return nil
	}
	b.idleBytes += len(event)
	if b.idleBytes > maxIdleBytes {
		return errNoEvents
	}
	return nil
}

// checkStreamEnd returns an error unless a stream whose body ended without an error
// is known to be complete. The rest is what followed the last event.
//
// The end of the body alone proves nothing: a server that stops early may have
// closed its connection in order. A complete stream ends after an event.
func (b *receivedBody) checkStreamEnd(rest []byte) error {
	switch {
	case !isComments(rest):
		return fmt.Errorf("%w: %d bytes after %d events, framing %s", errEndedWithinEvent, len(rest), b.events, b.framing)
	case b.framing == framingClose && b.events == 0:
		return errEndedUnframed
	}
	return nil
}

// isComments reports whether a part of a stream has no lines but comments and blank
// ones, all of them complete.
func isComments(part []byte) bool {
	for line := range bytes.Lines(part) {
		isBlank := len(bytes.TrimRight(line, "\r\n")) == 0
		if line[0] != ':' && !isBlank || line[len(line)-1] != '\n' {
			return false
		}
	}
	return true
}

// countingReader adds the bytes that are read from a body to a count.
type countingReader struct {
	io.ReadCloser
	count *int64
}

func (r countingReader) Read(buffer []byte) (int, error) {
	n, err := r.ReadCloser.Read(buffer)
	*r.count += int64(n)
	return n, err
}

// checkEnd returns an error if the body that has just ended may lack its end.
func (r *callerResponse) checkEnd() error {
	if r.call.record.received.framing != framingClose {
		return nil
	}
	return r.checkClosed()
}
