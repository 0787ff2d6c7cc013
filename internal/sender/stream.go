package sender

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// Bounds of a stream.
const (
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
	// stallTimeout is how long a stream may be silent before it counts as
	// cut.
	stallTimeout = 20 * time.Second
)

// endMark is the data of the last event of a whole answer.
const endMark = "[DONE]"

// stream copies the events of one answer to the caller, over all the
// attempts that it takes.
type stream struct {
	x        *exchanger.Exchange
	counters Counters
	began    func()
	// started means that a byte has reached the caller.
	started bool
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	sequence  int64
	tokens    int64
}

// event is one event of a stream.
type event struct {
	raw  []byte
	id   string
	data []byte
}

// broken is the verdict on an attempt that gave no usable answer.
func (s *stream) broken(ran bool) verdict {
	switch {
	case s.started:
		return cut
	case ran:
		return lost
	}
	return notRun
}

// copy passes events on until the end mark. Events of another request and
// repeated ones are dropped; a gap counts as a cut.
func (s *stream) copy(response *http.Response, cancel context.CancelFunc) verdict {
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEvent)
	scanner.Split(splitEvents)
	for scanner.Scan() {
		stall.Reset(stallTimeout)
		next := parseEvent(scanner.Bytes())
		keep, ok := s.accept(next)
		if !ok {
			return s.broken(true)
		}
		if !keep {
			continue
		}
		if err := s.write(response, next); err != nil {
			s.lastEvent = "" // the caller has gone: nothing to resume for
			return cut
		}
		if string(next.data) == endMark {
			return answered
		}
	}
	return s.broken(true)
}

// accept judges an event by its id, "REQUEST/NUMBER". Events without an id
// are taken as they come.
func (s *stream) accept(next event) (keep, ok bool) {
	request, number, found := strings.Cut(next.id, "/")
	if !found {
		return true, true
	}
	if request != s.x.ID {
		s.counters.CountCrossed()
		return false, true
	}
	sequence, err := strconv.ParseInt(number, 10, 64)
	switch {
	case err != nil:
		return false, false
	case sequence <= s.sequence:
		return false, true
	case sequence > s.sequence+1:
		return false, false
	}
	s.sequence = sequence
	s.lastEvent = next.id
	return true, true
}

func (s *stream) write(response *http.Response, next event) error {
	if !s.started {
		s.started = true
		if s.began != nil {
			s.began()
		}
		s.x.Result.FirstByte = time.Now()
		s.x.Result.Status = response.StatusCode
		copyHeaders(s.x.Writer.Header(), response.Header)
		s.x.Writer.Header().Set("Cache-Control", "no-store")
		s.x.Writer.WriteHeader(response.StatusCode)
	}
	s.tokens++
	countUsage(s.x, http.Header{}, next.data)
	if _, err := s.x.Writer.Write(next.raw); err != nil {
		return err
	}
	err := http.NewResponseController(s.x.Writer).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil // an answer that is recorded first is not flushed
	}
	return err
}

// fail ends a stream with an explicit error event in place of the end mark.
func (s *stream) fail(ctx context.Context) {
	refusal := exchanger.Refuse(http.StatusBadGateway, exchanger.CodeServerFailed, "the answer was cut and could not be resumed")
	if ctx.Err() != nil {
		refusal = ended(ctx, true)
	}
	refusal.Outcome = exchanger.OutcomePartial
	s.x.Result.Cut = refusal
	_, _ = fmt.Fprintf(s.x.Writer, "event: error\ndata: %s\n\n", refusal.JSON(s.x.ID))
	_ = http.NewResponseController(s.x.Writer).Flush()
}

// splitEvents is a bufio.SplitFunc for events that end with a blank line. An
// event that is cut off is never returned.
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

func parseEvent(raw []byte) event {
	next := event{raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			next.id = string(value)
		case "data":
			next.data = joinData(next.data, value)
		}
	}
	return next
}

func joinData(data, more []byte) []byte {
	if data == nil {
		return more
	}
	joined := make([]byte, 0, len(data)+1+len(more))
	joined = append(joined, data...)
	joined = append(joined, '\n')
	return append(joined, more...)
}
