package experimenter

import (
	"maps"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/emulator"
	"github.com/boragehead/boragehead/internal/placer"
)

// stream is a response on its way from an engine to a caller.
type stream struct {
	attempt        *attempt
	delay          time.Duration
	firstEventSeen bool
	events         int
}

func (s *simulation) addStream(at *attempt, e *engine, id uint64, delay time.Duration) {
	if e.streams == nil {
		e.streams = map[uint64]*stream{}
	}
	e.streams[id] = &stream{attempt: at, delay: delay}
}

// scheduleStep schedules the next step of an engine, unless an earlier or equal one
// is scheduled. A scheduled step does nothing if the engine has been taken down,
// replaced or rescheduled since.
func (s *simulation) scheduleStep(e *engine) {
	next, busy := e.NextWake()
	if !busy || e.down || !e.nextStep.IsZero() && !e.nextStep.After(next) && e.nextStep.After(s.now) {
		return
	}
	next = laterOf(next, s.now)
	e.nextStep = next
	scheduled := e.Engine
	s.schedule(next.Sub(s.now), func() {
		if e.down || e.Engine != scheduled || !e.nextStep.Equal(s.now) {
			return
		}
		e.nextStep = time.Time{}
		for _, emitted := range e.Advance(s.now) {
			s.deliver(e, emitted)
		}
		s.scheduleStep(e)
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deliver passes an event to the sending entry instance and, later, to the caller.
func (s *simulation) deliver(e *engine, emitted emulator.Event) {
	st, known := e.streams[emitted.ID]
	if !known {
		return
	}
	if emitted.Last {
		delete(e.streams, emitted.ID)
	}
	at := st.attempt
	s.schedule(st.delay, func() {
		st.events++
		if !st.firstEventSeen {
			st.firstEventSeen = true
			s.reportSlowdown(e, at.sender.policy, emitted.ID)
			at.sender.policy.RecordFirstEvent(s.now, emitted.ID)
		}
		if emitted.Last {
			at.sender.policy.RecordOutput(s.now, emitted.ID, st.events)
			at.sender.policy.Finish(s.now, emitted.ID, placer.OutcomeAnswered)
		}
	})
	delay := st.delay + s.pattern.Network.ToCaller
	if at.relayed {
		delay += s.pattern.Network.BetweenRegions
	}
	s.schedule(delay, func() { s.receive(st, emitted.Last) })
}

// receive handles an event at the caller.
func (s *simulation) receive(st *stream, last bool) {
	at := st.attempt
	if at.ended {
		return
	}
	c := at.call
	if at.relayed {
		at.entry.policy.FinishRelay(s.now, at.relayID, true)
	}
	if c.firstEvent.IsZero() {
		c.firstEvent = s.now
	} else {
		c.longestGap = max(c.longestGap, s.now.Sub(c.lastEvent))
	}
	c.lastEvent = s.now
	if !last {
		return
	}
	result := outcomeLate
	if c.firstEvent.Sub(c.startedAt) <= c.kind.Objective && c.longestGap <= c.kind.MaxGap {
		result = outcomeInTime
	}
	s.finish(at, result)
}

// failStreams cancels everything that an engine works on and fails the calls.
func (s *simulation) failStreams(e *engine) {
	for _, id := range slices.Sorted(maps.Keys(e.streams)) {
		st := e.streams[id]
		e.Cancel(id)
		st.attempt.sender.policy.Finish(s.now, id, placer.OutcomeFailed)
		s.finish(st.attempt, outcomeFailed)
	}
	e.streams = nil
}
