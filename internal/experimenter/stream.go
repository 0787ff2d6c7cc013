package experimenter

import (
	"maps"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/emulator"
	"github.com/boragehead/boragehead/internal/placer"
)

// stream is an answer on its way to a caller.
type stream struct {
	attempt *attempt
	way     time.Duration
	began   bool
}

func (w *world) stream(at *attempt, e *engine, id uint64, way time.Duration) {
	if e.streams == nil {
		e.streams = map[uint64]*stream{}
	}
	e.streams[id] = &stream{attempt: at, way: way}
}

// wake lets an engine go on when it has something to do.
func (w *world) wake(e *engine) {
	next, busy := e.Next()
	if !busy || e.down || !e.wakes.IsZero() && !e.wakes.After(next) && e.wakes.After(w.now) {
		return
	}
	next = later(next, w.now)
	e.wakes = next
	at := e.Engine
	w.after(next.Sub(w.now), func() {
		if e.down || e.Engine != at || !e.wakes.Equal(w.now) {
			return
		}
		e.wakes = time.Time{}
		for _, made := range e.Advance(w.now) {
			w.deliver(e, made)
		}
		w.wake(e)
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deliver takes an event to the gate and the caller.
func (w *world) deliver(e *engine, made emulator.Event) {
	s, known := e.streams[made.ID]
	if !known {
		return
	}
	if made.Last {
		delete(e.streams, made.ID)
	}
	at := s.attempt
	w.after(s.way, func() {
		if !s.began {
			s.began = true
			at.server.policy.Began(w.now, made.ID)
		}
		if made.Last {
			at.server.policy.Done(w.now, made.ID, placer.Answered)
		}
	})
	way := s.way + w.pattern.Network.Caller
	if at.relayed {
		way += w.pattern.Network.Region
	}
	w.after(way, func() { w.receive(s, made.Last) })
}

// receive is an event at the caller.
func (w *world) receive(s *stream, last bool) {
	at := s.attempt
	if at.ended {
		return
	}
	c := at.call
	if c.first.IsZero() {
		c.first = w.now
	} else {
		c.gap = max(c.gap, w.now.Sub(c.last))
	}
	c.last = w.now
	if !last {
		return
	}
	result := outcomeLate
	if c.first.Sub(c.started) <= c.kindOf.Objective && c.gap <= c.kindOf.Gap {
		result = outcomeInTime
	}
	w.end(at, result)
}

// dropAll breaks off everything that an engine works on.
func (w *world) dropAll(e *engine) {
	for _, id := range slices.Sorted(maps.Keys(e.streams)) {
		s := e.streams[id]
		e.Cancel(id)
		s.attempt.server.policy.Done(w.now, id, placer.Failed)
		w.end(s.attempt, outcomeFailed)
	}
	e.streams = nil
}
