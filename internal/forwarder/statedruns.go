package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// The second instance of a relay counts the servers that may have run the request. Once
// it has sent the head of a stream, it states each new count in a comment of its own,
// which starts with a mark that the relaying instance has chosen.

// stateRuns tells the relaying instance the count of servers within a stream. It must be
// called before a server is sent the request, so that no break of the stream hides
// that server. It returns false if the relaying instance has disconnected.
func (r *callerResponse) stateRuns(runs int) bool {
	if !r.call.Relayed || r.call.runsMark == "" || !r.streamStarted || runs == r.statedRuns {
		return true
	}
	r.statedRuns = runs
	_, err := fmt.Fprintf(r.writer, ": %s %d\n\n", r.call.runsMark, runs)
	return err == nil && http.NewResponseController(r.writer).Flush() == nil
}

// takeStatedRuns reports whether an event is a count of the second instance, and notes
// it. The caller gets no such event.
func (r *callerResponse) takeStatedRuns(event []byte) bool {
	if r.call.Relayed || r.call.runsMark == "" {
		return false
	}
	count, found := bytes.CutPrefix(event, []byte(": "+r.call.runsMark+" "))
	if !found {
		return false
	}
	if runs, err := strconv.Atoi(string(bytes.TrimSpace(count))); err == nil && runs >= 0 {
		r.statedRuns = runs
	}
	return true
}

// isBrokenOffHere reports whether a response was not read on, as opposed to a connection
// that ended.
func isBrokenOffHere(cause error) bool {
	return errors.Is(cause, errNoEvents) || errors.Is(cause, errEventTooLarge)
}
