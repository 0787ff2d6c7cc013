package experimenter

import (
	"time"

	"github.com/boragehead/boragehead/internal/emulator"
	"github.com/boragehead/boragehead/internal/placer"
)

// attempt is one try of a caller: from its arrival at a gate to its end.
type attempt struct {
	*call
	began   time.Time
	gate    *gate
	tried   []string
	regions []string
	sends   int
	ended   bool
	// id is that of the try, and placed that of its last placement.
	id     uint64
	placed uint64
	engine *engine
	// server is the gate that sent it to an engine.
	server   *gate
	relayed  bool
	deadline time.Time
}

// call is a request of a caller over all its tries.
type call struct {
	arrival
	kindOf   Kind
	started  time.Time
	deadline time.Time
	tries    int
	first    time.Time
	last     time.Time
	gap      time.Duration
	outcome  outcome
	source   *engine
}

// outcome is what became of a call.
type outcome uint8

const (
	outcomeNone outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// arrive begins a call.
func (w *world) arrive(a arrival) {
	kind := w.pattern.Kinds[a.kind]
	c := &call{arrival: a, kindOf: kind, started: w.now, deadline: w.now.Add(kind.Deadline)}
	w.try(c)
}

// try sends a call to a gate of its region.
func (w *world) try(c *call) {
	r := w.regions[c.region]
	at := &attempt{call: c, gate: r.gates[w.random.IntN(len(r.gates))], deadline: c.deadline}
	c.tries++
	w.number++
	at.id = w.number
	w.running[at.id] = at
	w.after(c.deadline.Sub(w.now), func() { w.giveUp(at) })
	w.after(w.pattern.Network.Caller, func() {
		at.began = w.now
		w.serve(at, at.gate)
	})
}

// giveUp ends a try at its deadline.
func (w *world) giveUp(at *attempt) {
	if at.ended {
		return
	}
	if at.engine != nil && at.engine.Cancel(at.placed) {
		at.server.policy.Done(w.now, at.placed, placer.Dropped)
	}
	w.end(at, outcomeFailed)
}

func (w *world) end(at *attempt, result outcome) {
	if at.ended {
		return
	}
	at.ended = true
	delete(w.running, at.id)
	at.outcome = result
	w.tally.note(at.call)
}

// mostSends bounds the places that one try is offered to.
const mostSends = 4

// serve places a try and sends it on.
func (w *world) serve(at *attempt, g *gate) {
	if at.ended {
		return
	}
	w.number++
	id := w.number
	decision := g.policy.Place(w.now, w.request(at, id))
	at.sends++
	switch {
	case decision.Refused != "" && at.relayed:
		at.relayed = false
		w.after(w.pattern.Network.Region, func() {
			at.regions = append(at.regions, g.region.Name)
			w.serve(at, at.gate)
		})
	case decision.Refused != "" || at.sends > mostSends:
		if decision.Refused == "" {
			g.policy.Done(w.now, id, placer.Dropped)
		}
		w.refuse(at, decision.RetryAfter)
	case decision.Region != "":
		at.relayed = true
		away := w.regionNamed(decision.Region)
		w.after(w.pattern.Network.Region, func() {
			w.serve(at, away.gates[w.random.IntN(len(away.gates))])
		})
	default:
		w.send(at, g, id, decision)
	}
}

func (w *world) regionNamed(name string) *region {
	for _, r := range w.regions {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func (w *world) request(at *attempt, id uint64) placer.Request {
	work := placer.Work{Prompt: at.prompt(), Output: at.most, Expected: at.hint}
	for _, part := range at.parts {
		work.Parts = append(work.Parts, placer.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return placer.Request{
		ID: id, Service: w.service, Work: work, Objective: at.began.Add(at.kindOf.Objective), Deadline: at.deadline,
		Urgency: at.kindOf.Urgency, Homes: at.kindOf.Homes, Bound: len(at.kindOf.Homes) > 0, Local: at.relayed,
		Tried: at.tried, TriedRegions: at.regions,
	}
}

// refuse tells a caller to come back.
func (w *world) refuse(at *attempt, retryAfter time.Duration) {
	w.after(w.pattern.Network.Caller, func() {
		if at.ended {
			return
		}
		left := at.call.deadline.Sub(w.now)
		if at.tries > at.kindOf.Retries || retryAfter > left/3 {
			w.end(at, outcomeRefused)
			return
		}
		at.ended = true // the caller is still there
		w.after(retryAfter, func() {
			delete(w.running, at.id)
			w.try(at.call)
		})
	})
}

// send offers a try to an engine.
func (w *world) send(at *attempt, g *gate, id uint64, decision placer.Decision) {
	e := w.engines[decision.Server.Name]
	at.tried = append(at.tried, decision.Server.Name)
	way := w.pattern.Network.Near
	if e.server.FailureDomain != g.domain {
		way = w.pattern.Network.Domain
	}
	at.source = nil
	if decision.Source != nil {
		at.source = w.engines[decision.Source.Name]
	}
	w.after(way, func() {
		if at.ended {
			g.policy.Done(w.now, id, placer.Dropped)
			return
		}
		if e.down || !e.Send(w.now, w.job(at, id, e)) {
			outcome := placer.Declined
			if e.down {
				outcome = placer.Unreached
			}
			w.after(way, func() {
				g.policy.Done(w.now, id, outcome)
				w.serve(at, g)
			})
			return
		}
		at.engine, at.server, at.placed = e, g, id
		w.stream(at, e, id, way)
		w.wake(e)
	})
}

func (w *world) job(at *attempt, id uint64, e *engine) emulator.Job {
	job := emulator.Job{ID: id, Priority: at.kindOf.Urgency, Parts: at.parts, Output: max(at.output, 1)}
	if at.source != nil && !at.source.down {
		if there := at.source.Keeps(at.parts); there > e.Keeps(at.parts) {
			job.Copied = there
		}
	}
	return job
}
