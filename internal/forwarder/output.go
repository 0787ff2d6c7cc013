package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/reserver"
)

// callerResponse is the response to a caller and the progress made on it over all
// attempts.
type callerResponse struct {
	writer    http.ResponseWriter
	call      *Call
	forwarder *Forwarder
	// onFirstByte, unless nil, is called once: before the first event of a stream
	// is forwarded, or when a response that is not a stream has been read. It is
	// not called when a stream resumes.
	onFirstByte func()
	// onBegin, unless nil, is called once in each attempt: at the first event of a
	// stream, also of a resumed one, or when a successful response that is not a
	// stream has been read.
	onBegin func()
	// streamStarted means that the headers of a stream, and usually some of its
	// events, have been sent to the caller.
	streamStarted bool
	// endWrites is set once the stream has been started.
	endWrites func()
	// lastEventID is the id of the last event that was forwarded, or the one that
	// the caller named.
	lastEventID string
	// version is the software version by which the stream began that is sent, or that the
	// call takes up; empty if there is none yet, or the version is not known.
	// attemptVersion is that of the last attempt's server.
	version        string
	attemptVersion string
	// unnumberedEvents means that events without an id were forwarded after
	// lastEventID, so that resuming would repeat them.
	unnumberedEvents bool
	// goesOn means that the last attempt has brought an event that the caller lacked, or
	// again the last one that it had.
	goesOn bool
	// checkClosed returns an error if a response that ends with its connection is not
	// complete.
	checkClosed func() error
	// breakCause is the error with which the connection ended under the last
	// attempt; nil if it did not.
	breakCause error
	// serverFailure, unless nil, is a server's error response. It is forwarded if
	// no attempt succeeds.
	serverFailure *bufferedResponse
	// possibleRuns is the number of servers that may have run the request.
	possibleRuns int
	// statedRuns is the count of servers that the second instance of a relay has stated
	// last. Both instances keep it.
	statedRuns int
	// unreachedServers is the number of servers that the request could not be connected to.
	unreachedServers int
	// offeredToServer means that the request was sent to at least one server, whether it
	// arrived or not. Only then does another attempt count as a retry.
	offeredToServer bool
	// homesMoved means that another region has refused the request by a newer
	// definition than the one here.
	homesMoved bool
	// remoteQuarantine is the wait that a region asked for that refused the request
	// because of a quarantined part; 0 if none did.
	remoteQuarantine time.Duration
	// remoteRetryAfter is the wait that the last region to refuse the request asked
	// for; 0 if none did.
	remoteRetryAfter time.Duration
	// memory is what is held of the budget for responses.
	memory reserver.Reservation
	// lacksMemory means that a response was not read to its end because the budget
	// was exhausted.
	lacksMemory bool
}

// bufferedResponse is a response that has been read completely.
type bufferedResponse struct {
	status int
	header http.Header
	// body is in chunks of any size.
	body [][]byte
}

// forwardWhole reads a response completely before it forwards any of it. Server
// errors are kept back, so that other attempts can be made first.
func (r *callerResponse) forwardWhole(response *http.Response) (attemptResult, placer.Outcome) {
	held := r.memory.Held()
	body, err := r.memory.ReadAll(response.Body, maxResponseBytes)
	if err == nil {
		err = r.checkEnd()
	}
	if err != nil {
		r.memory.Shrink(held)
		r.breakCause = err
		r.call.record.note = "response truncated or too large: " + err.Error()
		return resultUnknown, r.failedOutcome(err)
	}
	r.noteFirstByte()
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		if !impliesNotRun(response.StatusCode) {
			r.serverFailure = buffered
		}
		r.call.record.note = "server failed with status " + strconv.Itoa(response.StatusCode)
		return resultFailed, placer.OutcomeFailed
	}
	if impliesNotRun(response.StatusCode) {
		r.call.record.note = "status " + strconv.Itoa(response.StatusCode) + " of a request that may have run"
		return resultUnknown, placer.OutcomeFailed
	}
	if response.StatusCode < http.StatusMultipleChoices {
		r.noteBegin()
	}
	r.write(buffered)
	return resultAnswered, placer.OutcomeAnswered
}

// impliesNotRun reports whether callers take a status to mean that the request
// was not run. Such a response is not forwarded, because a server that does not
// state this itself (see [ResponseInfo]) may have run the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// writeServerFailure forwards the error response that was kept back.
func (r *callerResponse) writeServerFailure() *Refusal {
	r.write(r.serverFailure)
	return nil
}

func (r *callerResponse) write(buffered *bufferedResponse) {
	defer r.boundWrites()()
	r.copyHeaders(buffered.header)
	size := 0
	for _, chunk := range buffered.body {
		size += len(chunk)
	}
	r.writer.Header().Set("Content-Length", strconv.Itoa(size))
	r.call.record.status = buffered.status
	r.writer.WriteHeader(buffered.status)
	for _, chunk := range buffered.body {
		if _, err := r.writer.Write(chunk); err != nil {
			return // the caller has disconnected
		}
	}
}

// copyHeaders copies a server's headers to the response, except hop-by-hop ones and
// those that only instances send. It keeps net/http from adding a Date or
// Content-Type of its own.
func (r *callerResponse) copyHeaders(from http.Header) {
	header, serverVersion := r.writer.Header(), ""
	if r.call.Relayed {
		r.statedRuns = r.possibleRuns
		header.Set(headerRan, strconv.Itoa(r.statedRuns))
		serverVersion = r.attemptVersion
	}
	from = from.Clone()
	removeHopByHopHeaders(from)
	for _, name := range instanceHeaders {
		from.Del(name)
	}
	for name, values := range from {
		header[name] = values
	}
	if serverVersion != "" {
		header.Set(headerServerVersion, serverVersion)
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, present := from[name]; !present {
			header[name] = nil
		}
	}
}

// noteFirstByte records that a server's response has begun.
func (r *callerResponse) noteFirstByte() {
	r.call.open.enter(phaseAnswer)
	if r.call.record.timeToFirstByte == 0 {
		r.call.record.timeToFirstByte = time.Since(r.call.Arrived)
	}
	if r.onFirstByte != nil {
		r.onFirstByte()
		r.onFirstByte = nil
	}
}

// noteBegin records that the answer of this attempt has begun.
func (r *callerResponse) noteBegin() {
	if r.onBegin != nil {
		r.onBegin()
		r.onBegin = nil
	}
}

// forwardStream forwards the events of a stream as they arrive, each only once it
// is complete.
func (r *callerResponse) forwardStream(response *http.Response) (attemptResult, placer.Outcome) {
	reader := bufio.NewReaderSize(flushingReader{response.Body, r}, 8<<10)
	received := &r.call.record.received
	held := r.memory.Held()
	defer r.memory.Shrink(held)
	r.goesOn = !r.streamStarted // the first attempt may have no events
	for {
		r.memory.Shrink(held)
		event, err := readEvent(reader, &r.memory)
		switch {
		case err == nil && r.takeStatedRuns(event):
			continue
		case err == nil:
			received.events++
			if !isComments(event) {
				r.noteBegin()
			}
			err = received.checkProgress(event)
		case errors.Is(err, io.EOF):
			err = received.checkStreamEnd(event)
			if err == nil && !r.goesOn {
				err = errNothingResumed
			}
			if err == nil {
				err = r.checkEnd()
			}
			if err == nil && len(event) == 0 {
				return r.finishStream(response)
			}
		}
		if err != nil {
			received.unfinishedBytes = len(event)
			r.call.record.note = "stream broken off: " + err.Error()
			return r.interruptStream(err)
		}
		if !r.forwardEvent(response, event) {
			r.call.record.note = "caller disconnected"
			return resultPartial, placer.OutcomeAbandoned
		}
	}
}

// flushingReader flushes the response to the caller before each read from a server,
// because the read may block.
type flushingReader struct {
	io.Reader
	to *callerResponse
}

func (r flushingReader) Read(buffer []byte) (int, error) {
	if r.to.streamStarted {
		r.to.flush()
	}
	return r.Reader.Read(buffer)
}

// interruptStream returns the result for a stream that broke off for a cause.
func (r *callerResponse) interruptStream(cause error) (attemptResult, placer.Outcome) {
	r.breakCause = cause
	if errors.Is(cause, errEndedWithinEvent) {
		r.forwarder.metrics.Count("streams-ended-within-event")
	}
	outcome := r.failedOutcome(cause)
	if !r.streamStarted {
		return resultUnknown, outcome
	}
	r.flush()
	return resultPartial, outcome
}

// failedOutcome returns the outcome of a response that could not be read to its end.
// A lack of memory is not the server's fault, and another attempt would not help.
func (r *callerResponse) failedOutcome(cause error) placer.Outcome {
	if errors.Is(cause, reserver.ErrExhausted) {
		r.lacksMemory = true
		r.forwarder.metrics.Count("responses-without-memory")
		return placer.OutcomeAbandoned
	}
	return placer.OutcomeFailed
}

// finishStream ends the response to a stream that arrived completely.
func (r *callerResponse) finishStream(response *http.Response) (attemptResult, placer.Outcome) {
	if !r.streamStarted {
		r.startStream(response)
	}
	r.endWrites()
	return resultAnswered, placer.OutcomeAnswered
}

// boundWrites makes writes to the caller fail from writeGrace after the call's
// deadline on. The function that it returns sends what is buffered and ends the
// bound, for the next request on the connection.
func (r *callerResponse) boundWrites() (end func()) {
	control := http.NewResponseController(r.writer)
	_ = control.SetWriteDeadline(r.call.Deadline.Add(writeGrace)) // without support for deadlines, writes are not bounded
	return func() {
		r.flush()
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// forwardEvent forwards one event. It returns false if the caller has
// disconnected.
func (r *callerResponse) forwardEvent(response *http.Response, event []byte) bool {
	if id := eventID(event); id != "" {
		if r.streamStarted && !eventFollows(id, r.lastEventID) {
			r.call.record.received.duplicates++
			r.goesOn = r.goesOn || id == r.lastEventID
			return true // a duplicate from a resumed stream
		}
		r.lastEventID = id
		r.unnumberedEvents = false
	} else if !isComments(event) {
		r.unnumberedEvents = true
	}
	r.goesOn = r.goesOn || !isComments(event)
	if !r.streamStarted {
		r.startStream(response)
	}
	_, err := r.writer.Write(event)
	return err == nil
}

// canContinue reports whether another attempt can complete the response: nothing of
// it has been sent, or the stream can be resumed after what was sent.
func (r *callerResponse) canContinue() bool {
	if r.lacksMemory {
		return false
	}
	return !r.streamStarted || r.lastEventID != "" && !r.unnumberedEvents
}

// startStream sends the status and headers of a stream to the caller.
func (r *callerResponse) startStream(response *http.Response) {
	r.noteFirstByte()
	r.noteOrigin()
	r.streamStarted = true
	r.endWrites = r.boundWrites()
	r.copyHeaders(response.Header)
	r.writer.Header().Del("Content-Length")
	r.call.record.status = response.StatusCode
	r.writer.WriteHeader(response.StatusCode)
}

func (r *callerResponse) flush() {
	_ = http.NewResponseController(r.writer).Flush() // writers that can't flush don't need it
}

// abortConnection reports the call and closes the caller's connection by a panic,
// so that the response does not look complete.
func (r *callerResponse) abortConnection() {
	r.call.record.status = statusStreamBroken
	r.forwarder.reportCall(r.call, nil)
	if !r.call.Request.ProtoAtLeast(1, 1) {
		resetConnection(r.writer)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes a caller's connection by a reset. A response to an
// HTTP/1.0 caller has no chunks, so that it ends with its connection, and an orderly
// close would complete it.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		klog.ErrorS(err, "failed to reset the connection of an HTTP/1.0 caller")
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = conn.Close()
}

// statusStreamBroken is logged for a stream that could not be completed. It is
// not sent.
const statusStreamBroken = 599
