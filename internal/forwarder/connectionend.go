package forwarder

import (
	"errors"

	"github.com/boragehead/boragehead/internal/detector"
	"github.com/boragehead/boragehead/internal/placer"
)

// connectionEndOf returns how a connection ended, given the error of the attempt.
func connectionEndOf(err error) detector.End {
	if errors.Is(err, errEndedWithinEvent) || errors.Is(err, errEndedUnframed) {
		return detector.EndedByClose
	}
	return detector.EndOf(err)
}

// sharedParts returns the ids of the parts of a prompt that other requests may
// have, too: all but the last.
func sharedParts(work placer.Work) []uint64 {
	if len(work.Parts) < 2 {
		return nil
	}
	parts := make([]uint64, 0, len(work.Parts)-1)
	for _, part := range work.Parts[:len(work.Parts)-1] {
		parts = append(parts, part.ID)
	}
	return parts
}

// reportConnectionEnd records how the server's connection ended under an attempt,
// and counts the abrupt ends by their kind and by whether the response had begun.
func (f *Forwarder) reportConnectionEnd(out *callerResponse) {
	end := connectionEndOf(out.breakCause)
	out.call.record.connectionEnd = end
	if !end.IsAbrupt() {
		return
	}
	progress := "before-first-event"
	if out.streamStarted {
		progress = "within-stream"
	}
	f.metrics.Count("server-connections-" + string(end) + "-" + progress)
}
