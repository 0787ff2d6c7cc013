package experimenter

import (
	"time"

	"github.com/boragehead/boragehead/internal/emulator"
	"github.com/boragehead/boragehead/internal/placer"
)

// attempt is one attempt of a call, from its arrival at an entry instance to its
// response, refusal or failure.
type attempt struct {
	*call
	reachedEntry time.Time
	entry        *entryInstance
	triedServers []string
	triedRegions []string
	unreached    int
	placements   int
	ended        bool
	// id identifies the attempt, and placementID its latest placement on an engine.
	id          uint64
	placementID uint64
	// relayID is the placement that relayed the attempt to another region.
	relayID uint64
	engine  *engine
	// sender is the entry instance that sent the attempt to the engine.
	sender   *entryInstance
	relayed  bool
	deadline time.Time
}

// call is a caller's request over all its attempts.
type call struct {
	arrival
	kind       RequestKind
	startedAt  time.Time
	deadline   time.Time
	attempts   int
	firstEvent time.Time
	lastEvent  time.Time
	longestGap time.Duration
	outcome    outcome
	copySource *engine
	// partitioned means that the first attempt was sent during a partition, and firstCutOff
	// that it was to an instance that was cut off.
	partitioned, firstCutOff bool
}

// outcome says how a call ended.
type outcome uint8

const (
	outcomeNone outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// startCall starts the first attempt of a new call.
func (s *simulation) startCall(a arrival) {
	kind := s.pattern.Kinds[a.kindIndex]
	c := &call{arrival: a, kind: kind, startedAt: s.now, deadline: s.now.Add(kind.Deadline)}
	s.startAttempt(c)
}

// startAttempt sends a call to a random entry instance of its region.
func (s *simulation) startAttempt(c *call) {
	r := s.regions[c.regionIndex]
	at := &attempt{call: c, entry: r.entries[s.random.IntN(len(r.entries))], deadline: c.deadline}
	c.attempts++
	if c.attempts == 1 {
		c.partitioned, c.firstCutOff = s.partitions > 0, at.entry.cutOff
	}
	s.lastID++
	at.id = s.lastID
	s.runningAttempts[at.id] = at
	s.schedule(c.deadline.Sub(s.now), func() { s.timeOut(at) })
	s.schedule(s.pattern.Network.ToCaller, func() {
		at.reachedEntry = s.now
		s.place(at, at.entry)
	})
}

// timeOut fails an attempt that has not ended by its deadline.
func (s *simulation) timeOut(at *attempt) {
	if at.ended {
		return
	}
	if at.engine != nil && at.engine.Cancel(at.placementID) {
		at.sender.policy.Finish(s.now, at.placementID, placer.OutcomeAbandoned)
	}
	s.finish(at, outcomeFailed)
}

func (s *simulation) finish(at *attempt, result outcome) {
	if at.ended {
		return
	}
	at.ended = true
	delete(s.runningAttempts, at.id)
	at.outcome = result
	s.tally.record(at.call)
}

// maxPlacements bounds the placements of one attempt, relays included.
const maxPlacements = 4

// place asks an entry instance's policy for a placement of an attempt and carries
// it out: it sends the attempt to an engine, relays it to another region, or
// refuses it. A relayed attempt that is refused returns to its first entry
// instance, which then excludes that region.
func (s *simulation) place(at *attempt, entry *entryInstance) {
	if at.ended {
		return
	}
	s.lastID++
	id := s.lastID
	request := s.placementRequest(at, id)
	decision := entry.policy.Place(s.now, request)
	at.placements++
	switch {
	case decision.RefusalReason != "" && at.relayed:
		at.relayed = false
		s.schedule(s.pattern.Network.BetweenRegions, func() {
			at.entry.policy.FinishRelay(s.now, at.relayID, false)
			at.triedRegions = append(at.triedRegions, entry.region.Name)
			s.place(at, at.entry)
		})
	case decision.RefusalReason != "":
		if !s.wait(at, entry, request, decision) {
			s.refuse(at, decision.RetryAfter)
		}
	case at.placements > maxPlacements:
		entry.policy.Finish(s.now, id, placer.OutcomeAbandoned)
		s.refuse(at, decision.RetryAfter)
	default:
		s.carryOut(at, entry, id, decision)
	}
}

// carryOut relays an attempt to another region or sends it to an engine.
func (s *simulation) carryOut(at *attempt, entry *entryInstance, id uint64, decision placer.Decision) {
	if decision.Region == "" {
		s.sendToEngine(at, entry, id, decision)
		return
	}
	at.relayed, at.relayID = true, id
	remote := s.regionByName(decision.Region)
	if remote == entry.region {
		s.handOver(at, entry)
		return
	}
	s.schedule(s.pattern.Network.BetweenRegions, func() {
		s.place(at, remote.entries[s.random.IntN(len(remote.entries))])
	})
}

func (s *simulation) regionByName(name string) *region {
	for _, r := range s.regions {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func (s *simulation) placementRequest(at *attempt, id uint64) placer.Request {
	work := placer.Work{Prompt: at.promptTokens(), Output: at.maxOutputTokens, Expected: at.expectedOutputTokens}
	for _, part := range at.parts {
		work.Parts = append(work.Parts, placer.PromptPart{ID: part.ID, Tokens: part.Tokens})
	}
	return placer.Request{
		ID: id, Service: s.service, Work: work, Objective: at.reachedEntry.Add(at.kind.Objective), Deadline: at.deadline,
		RouteObjective: at.kind.Objective, Urgency: at.kind.Urgency, HomeRegions: at.kind.HomeRegions, HomeRegionsOnly: len(at.kind.HomeRegions) > 0, LocalOnly: at.relayed,
		TriedServers: at.triedServers, TriedRegions: at.triedRegions, UnreachedServers: at.unreached,
	}
}

// refuse returns a refusal to the caller. The caller starts another attempt after
// the given delay, unless it has none left or the delay takes more than a third of
// the time until its deadline.
func (s *simulation) refuse(at *attempt, retryAfter time.Duration) {
	s.schedule(s.pattern.Network.ToCaller, func() {
		if at.ended {
			return
		}
		timeLeft := at.call.deadline.Sub(s.now)
		if at.attempts > at.kind.Retries || retryAfter > timeLeft/3 {
			s.finish(at, outcomeRefused)
			return
		}
		at.ended = true // ends this attempt; the call goes on
		s.schedule(retryAfter, func() {
			delete(s.runningAttempts, at.id)
			s.startAttempt(at.call)
		})
	})
}

// sendToEngine submits an attempt to the engine that was chosen. If the engine is
// down or rejects it, the attempt is placed again.
func (s *simulation) sendToEngine(at *attempt, entry *entryInstance, id uint64, decision placer.Decision) {
	e := s.enginesByName[decision.Server.Name]
	at.triedServers = append(at.triedServers, decision.Server.Name)
	delay := s.pattern.Network.WithinDomain
	if e.server.FailureDomain != entry.domain {
		delay = s.pattern.Network.BetweenDomains
	}
	at.copySource = nil
	if decision.CopySource != nil {
		at.copySource = s.enginesByName[decision.CopySource.Name]
	}
	s.schedule(delay, func() {
		if at.ended {
			entry.policy.Finish(s.now, id, placer.OutcomeAbandoned)
			return
		}
		if entry.cutOff || e.down || !e.Submit(s.now, s.newJob(at, id, e)) {
			outcome := placer.OutcomeDeclined
			if entry.cutOff || e.down {
				outcome = placer.OutcomeUnreachable
				at.unreached++
			}
			s.schedule(entry.connectDelay(delay), func() {
				entry.policy.Finish(s.now, id, outcome)
				s.place(at, entry)
			})
			return
		}
		at.engine, at.sender, at.placementID = e, entry, id
		s.addStream(at, e, id, delay)
		s.scheduleStep(e)
	})
}

func (s *simulation) newJob(at *attempt, id uint64, e *engine) emulator.Job {
	job := emulator.Job{ID: id, Priority: at.kind.Urgency, Parts: at.parts, OutputTokens: max(at.outputTokens, 1)}
	if at.copySource != nil && !at.copySource.down {
		if cached := at.copySource.CachedTokens(at.parts); cached > e.CachedTokens(at.parts) {
			job.CopiedTokens = cached
		}
	}
	return job
}
