package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/boragehead/boragehead/internal/placer"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// output is the answer that a caller gets, over all the attempts that it takes.
type output struct {
	writer    http.ResponseWriter
	call      *Call
	forwarder *Forwarder
	// began is told when the first byte of an attempt's answer has come.
	began func()
	// started means that a part of a stream has reached the caller.
	started bool
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	// kept is a failure of a server that is passed on if no attempt succeeds.
	kept *kept
	// ran is how many servers may have run the request, and offered whether any
	// server has been offered it: only then another offer is a repeat.
	ran     int
	offered bool
}

// kept is a whole answer.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// whole reads an answer to its end before any of it reaches the caller.
func (o *output) whole(response *http.Response) (verdict, placer.Outcome) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		o.call.trail.note = "answer broken off"
		return lost, placer.Failed
	}
	o.firstByte()
	answer := &kept{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		if !saysNotRun(response.StatusCode) {
			o.kept = answer
		}
		o.call.trail.note = "server failed with " + strconv.Itoa(response.StatusCode)
		return failed, placer.Failed
	}
	if saysNotRun(response.StatusCode) {
		o.call.trail.note = "status " + strconv.Itoa(response.StatusCode) + " of a request that may have run"
		return lost, placer.Failed
	}
	o.pass(answer)
	return answered, placer.Answered
}

// saysNotRun reports whether callers take a status as a promise that the request
// has not run. A server that does not say so itself may have run it.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// passKept gives the caller a server's own failure.
func (o *output) passKept() *Refusal {
	o.pass(o.kept)
	return nil
}

func (o *output) pass(answer *kept) {
	o.head(answer.header)
	o.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	o.call.trail.status = answer.status
	o.writer.WriteHeader(answer.status)
	_, _ = o.writer.Write(answer.body) // the caller has gone if this fails
}

// head copies a server's headers, without those of its connection, and keeps
// the library from adding its own.
func (o *output) head(from http.Header) {
	header := o.writer.Header()
	if o.call.Relayed {
		header.Set(headerRan, strconv.Itoa(o.ran))
	}
	from = from.Clone()
	removeHopHeaders(from)
	for name, values := range from {
		header[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, named := from[name]; !named {
			header[name] = nil
		}
	}
}

func (o *output) firstByte() {
	if o.call.trail.first == 0 {
		o.call.trail.first = time.Since(o.call.Arrived)
	}
	if o.began != nil {
		o.began()
		o.began = nil
	}
}

// stream passes events on as they come, each whole.
func (o *output) stream(response *http.Response) (verdict, placer.Outcome) {
	reader := bufio.NewReaderSize(response.Body, 8<<10)
	for {
		event, err := readEvent(reader)
		if err == nil || errors.Is(err, io.EOF) && len(event) > 0 {
			if !o.event(response, event) {
				o.call.trail.note = "caller gone"
				return broken, placer.Dropped
			}
		}
		switch {
		case err == nil:
			if reader.Buffered() == 0 {
				o.flush()
			}
		case errors.Is(err, io.EOF):
			return o.end(response)
		default:
			o.call.trail.note = "stream broken off: " + err.Error()
			return o.cut()
		}
	}
}

// cut is the verdict on a stream that ended early.
func (o *output) cut() (verdict, placer.Outcome) {
	if !o.started {
		return lost, placer.Failed
	}
	o.flush()
	return broken, placer.Failed
}

// end is the verdict on a stream that came to its end.
func (o *output) end(response *http.Response) (verdict, placer.Outcome) {
	if !o.started {
		o.begin(response)
	}
	o.flush()
	return answered, placer.Answered
}

// event passes one event on. It reports false when the caller has gone.
func (o *output) event(response *http.Response, event []byte) bool {
	if id := eventID(event); id != "" {
		if o.started && !after(id, o.lastEvent) {
			return true // a resumed stream repeated it
		}
		o.lastEvent = id
	}
	if !o.started {
		o.begin(response)
	}
	_, err := o.writer.Write(event)
	return err == nil
}

// after reports whether an event follows another. Ids that are not numbers are
// taken as they come.
func after(id, last string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	return err != nil || next > before
}

func (o *output) begin(response *http.Response) {
	o.firstByte()
	o.started = true
	o.head(response.Header)
	o.writer.Header().Del("Content-Length")
	o.call.trail.status = response.StatusCode
	o.writer.WriteHeader(response.StatusCode)
}

func (o *output) flush() {
	_ = http.NewResponseController(o.writer).Flush() // a recorder has nothing to flush
}

// abort breaks the caller's connection, so that the answer does not look whole.
func (o *output) abort() {
	o.call.trail.status = statusBroken
	o.forwarder.record(o.call, nil)
	panic(http.ErrAbortHandler)
}

// statusBroken stands in the log for a stream that could not be finished.
const statusBroken = 599

// readEvent reads up to and with the next blank line. At the end of the stream
// it returns what is left with io.EOF; what is cut off comes with another error.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEvent:
			continue
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
	}
}

// eventID returns the id field of an event, or nothing.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

func splitList(value string) []string {
	names := strings.Split(value, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return slices.DeleteFunc(names, func(name string) bool { return name == "" })
}
