package sender

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// Limits of a stream.
const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// maxIdleBytes limits the comments and blank lines between two events.
	maxIdleBytes = 256 << 10
	// stallTimeout is how long a stream may send no event before it is
	// treated as broken.
	stallTimeout = 20 * time.Second
)

// doneMarker is the data of the last event of a complete stream.
const doneMarker = "[DONE]"

// errorEventName is the name of the event with which an instance ends a stream that
// it cannot complete.
const errorEventName = "error"

// streamCopier copies the events of one stream to the caller. It keeps its state
// when the stream is resumed.
type streamCopier struct {
	x           *exchanger.Exchange
	counters    Counters
	onFirstByte func()
	isRelay     bool
	// started is true once the response header has been written to the caller.
	started bool
	// lastEvent is the id of the last accepted event that has an id. It is empty
	// if the stream cannot be resumed.
	lastEvent string
	// lastSequence is the number in lastEvent.
	lastSequence int64
	// unnumberedEvents means that events without an id were written after
	// lastEvent, so that resuming would repeat them.
	unnumberedEvents bool
	// crossed means that the last event with an id in this attempt is one of another
	// request, so that an end marker may be that request's.
	crossed bool
	// version is that of the software of the server that began the stream; empty if it
	// does not tell.
	version string
	// tokens is the number of events written, taken as one token each.
	tokens int64
	// onBegin, unless nil, is called once in each attempt, at its first event or when a
	// response that is not a stream has been read.
	onBegin func()
	// checkClosed returns an error if a response that ends with its connection is not
	// complete.
	checkClosed func() error
	// breakCause is the error with which the server's connection ended under the last
	// attempt; nil if it did not.
	breakCause error
}

// event is one server-sent event. raw is its text with the blank line at its end.
type event struct {
	raw  []byte
	name string
	id   string
	data []byte
}

// isIdle reports whether an event has neither name, id nor data: it is made of
// comments and blank lines, which keep a connection alive.
func (e event) isIdle() bool {
	return e.name == "" && e.id == "" && e.data == nil
}

// canResume reports whether the stream can be resumed after what was written.
func (s *streamCopier) canResume() bool {
	return s.lastEvent != "" && !s.unnumberedEvents
}

// failedAttempt returns the result of an attempt that gave no complete response.
func (s *streamCopier) failedAttempt(mayHaveRun bool) attemptResult {
	switch {
	case s.started:
		return attemptPartial
	case mayHaveRun:
		return attemptUnknown
	}
	return attemptNotRun
}

// copyEvents copies events to the caller until the end marker. Events of another
// request and repeated events are dropped. A gap in the sequence ends the
// attempt as if the stream had been broken there.
func (s *streamCopier) copyEvents(response *http.Response, cancel context.CancelFunc) attemptResult {
	stallTimer := time.AfterFunc(stallTimeout, cancel)
	defer stallTimer.Stop()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	scanner.Split(splitEvents)
	s.crossed = false
	idleBytes := 0 // since the last event with a field
	for scanner.Scan() {
		stallTimer.Reset(stallTimeout)
		ev := parseEvent(scanner.Bytes())
		if idleBytes += len(ev.raw); !ev.isIdle() {
			idleBytes = 0
		}
		if idleBytes > maxIdleBytes {
			return s.failedAttempt(true)
		}
		if s.isRelay && ev.name == errorEventName {
			// The other instance gave the stream up; writeError reports it once.
			return s.failedAttempt(true)
		}
		forward, valid := s.accept(ev)
		if !valid || s.crossed && string(ev.data) == doneMarker {
			return s.failedAttempt(true)
		}
		if !forward {
			continue
		}
		s.noteBegin()
		if err := s.writeEvent(response, ev); err != nil {
			s.lastEvent = "" // the caller has disconnected: do not resume
			return attemptPartial
		}
		if string(ev.data) == doneMarker {
			return attemptAnswered
		}
	}
	s.breakCause = cmp.Or(scanner.Err(), io.ErrUnexpectedEOF)
	return s.failedAttempt(true)
}

// acceptVersion reports whether a server of a software version may send the stream: one that
// has begun goes on only at the version that began it. It ends the resuming of one that
// cannot.
func (s *streamCopier) acceptVersion(version string) bool {
	if !s.started {
		s.version = version
	}
	if s.version != version {
		s.lastEvent = ""
	}
	return s.version == version
}

// noteBegin records that the answer of this attempt has begun.
func (s *streamCopier) noteBegin() {
	if s.onBegin != nil {
		s.onBegin()
		s.onBegin = nil
	}
}

// accept checks an event by its id, "REQUEST/NUMBER". forward is false if the event
// is to be dropped, valid is false if events are missing before it or its number
// is malformed. Events without an id are always forwarded.
func (s *streamCopier) accept(ev event) (forward, valid bool) {
	requestID, number, found := strings.Cut(ev.id, "/")
	if !found {
		s.unnumberedEvents = s.unnumberedEvents || ev.data != nil
		return true, true
	}
	if requestID != s.x.ID {
		s.counters.CountMismatched()
		s.crossed = true
		return false, true
	}
	s.crossed = false
	sequence, err := strconv.ParseInt(number, 10, 64)
	switch {
	case err != nil:
		return false, false
	case sequence <= s.lastSequence:
		return false, true
	case sequence > s.lastSequence+1:
		return false, false
	}
	s.lastSequence = sequence
	s.lastEvent = ev.id
	s.unnumberedEvents = false
	return true, true
}

// writeEvent writes an event to the caller and flushes it, after the response
// header if this is the first event.
func (s *streamCopier) writeEvent(response *http.Response, ev event) error {
	if !s.started {
		s.started = true
		if s.onFirstByte != nil {
			s.onFirstByte()
		}
		s.x.Result.FirstByte = time.Now()
		s.x.Result.Status = response.StatusCode
		copyReturnedHeaders(s.x.Writer.Header(), response.Header)
		s.x.Writer.Header().Set("Cache-Control", "no-store")
		s.x.Writer.WriteHeader(response.StatusCode)
	}
	s.tokens++
	recordUsage(s.x, http.Header{}, ev.data)
	if _, err := s.x.Writer.Write(ev.raw); err != nil {
		return err
	}
	err := http.NewResponseController(s.x.Writer).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil // a writer that records the response cannot flush
	}
	return err
}

// cutStreamRefusal returns the refusal for a stream that was cut.
func cutStreamRefusal(ctx context.Context) *exchanger.Refusal {
	if ctx.Err() != nil {
		return contextRefusal(ctx, true)
	}
	return exchanger.Refuse(http.StatusBadGateway, exchanger.CodeServerFailed, "the answer was cut and could not be resumed")
}

// writeError ends a stream with an error event in place of the end marker. It sets
// the outcome of the refusal.
func (s *streamCopier) writeError(refusal *exchanger.Refusal) {
	refusal.Outcome = exchanger.OutcomePartial
	s.x.Result.StreamError = refusal
	_, _ = fmt.Fprintf(s.x.Writer, "event: %s\ndata: %s\n\n", errorEventName, refusal.JSON(s.x.ID))
	_ = http.NewResponseController(s.x.Writer).Flush()
}

// splitEvents is a bufio.SplitFunc for events that end with a blank line. An
// incomplete event at the end of the input is discarded.
func splitEvents(data []byte, atEOF bool) (advance int, token []byte, err error) {
	end, width := bytes.Index(data, []byte("\n\n")), 2
	if crlf := bytes.Index(data, []byte("\r\n\r\n")); crlf >= 0 && (end < 0 || crlf < end) {
		end, width = crlf, 4
	}
	if end < 0 {
		if atEOF {
			return len(data), nil, nil
		}
		return 0, nil, nil
	}
	return end + width, data[:end+width], nil
}

// parseEvent returns the name, the id and the data of an event. Other fields are ignored.
func parseEvent(raw []byte) event {
	ev := event{raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			ev.name = string(value)
		case "id":
			ev.id = string(value)
		case "data":
			ev.data = joinData(ev.data, value)
		}
	}
	return ev
}

// joinData joins the data lines of one event with a line break. It never writes to
// its arguments, which share memory with the scanner's buffer.
func joinData(data, more []byte) []byte {
	if data == nil {
		return more
	}
	joined := make([]byte, 0, len(data)+1+len(more))
	joined = append(joined, data...)
	joined = append(joined, '\n')
	return append(joined, more...)
}
