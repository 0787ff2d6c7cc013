package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// judge returns the level of each part that is not clear, and what is left of the history.
// The parts with the most separate crashes are quarantined first; their crashes then no
// longer count against the parts of other requests that were at the same servers. A request
// goes before its parts unless these have crashed servers in other requests, too.
func (t *Table) judge(now time.Time) (map[uint64]Level, *history) {
	levels, suspects := map[uint64]Level{}, map[uint64]*part{}
	for id, p := range t.parts {
		if p.unclearedCrashes() >= suspectingCrashes {
			suspects[id] = p
		}
	}
	if len(suspects) == 0 {
		return levels, &history{}
	}
	history := t.history()
	history.suspects = len(suspects)
	settled := now.Add(-settleTime)
	for {
		convicted := history.repeatedRequests(suspects, levels, settled)
		if len(convicted) == 0 {
			convicted = history.leadingParts(suspects, levels, settled)
		}
		if len(convicted) == 0 {
			break
		}
		for _, id := range convicted {
			levels[id] = LevelQuarantined
		}
		for _, id := range convicted {
			history.explain(t.parts[id])
		}
	}
	for id, p := range suspects {
		if levels[id] == LevelClear && t.isSuspected(now, id, p, history) {
			levels[id] = LevelSuspected
		}
	}
	return levels, history
}

// isSuspected reports whether two crashes under a part are left that nothing explains.
func (t *Table) isSuspected(now time.Time, id uint64, p *part, history *history) bool {
	if p.isNeverSound() {
		return history.count(p, now, crash.isSuspicious) >= suspectingCrashes
	}
	until := now
	if !t.lastBegin(id, p).IsZero() {
		until = now.Add(-soundSettleTime)
	}
	return len(history.separateCrashes(p, until, crash.isSuspicious)) >= suspectingCrashes
}

// isNeverSound reports whether this is a request on which no answer is known to have
// begun soundly. All of its runs may have crashed their servers, so that servers that
// crash at the same time are no sign of another cause.
func (p *part) isNeverSound() bool {
	return p.isRequest && !p.wasSound
}

// leadingParts returns the parts that have the most separate crashes, among them requests
// that have been sound, if these are enough to quarantine them.
func (h *history) leadingParts(suspects map[uint64]*part, levels map[uint64]Level, settled time.Time) (leaders []uint64) {
	most := 0
	for id, p := range suspects {
		if levels[id] == LevelQuarantined || p.isNeverSound() {
			continue
		}
		times := h.separateCrashes(p, settled, p.counts(settled))
		if len(times) < quarantiningCrashes || len(times) < backgroundCrashes && h.share(times, settled) < minCrashShare {
			continue
		}
		if len(times) > most {
			most, leaders = len(times), nil
		}
		if len(times) == most {
			leaders = append(leaders, id)
		}
	}
	if len(leaders) > 1 && most < tiedCrashes {
		return nil
	}
	return leaders
}

// repeatedRequests returns, of the requests that have never been sound and whose crashes
// are enough to quarantine them, those with the most. Requests are left out whose crashes
// are all those of a suspected part that has crashed servers without them: the part explains
// more, and the request would explain the part's crashes away.
func (h *history) repeatedRequests(suspects map[uint64]*part, levels map[uint64]Level, settled time.Time) (requests []uint64) {
	partsByCrash := map[CrashID][]*part{}
	for id, p := range suspects {
		if p.isRequest || levels[id] == LevelQuarantined {
			continue
		}
		for crashID := range p.crashes {
			partsByCrash[crashID] = append(partsByCrash[crashID], p)
		}
	}
	most := quarantiningCrashes
	for id, p := range suspects {
		if levels[id] == LevelQuarantined || !p.isNeverSound() {
			continue
		}
		crashes := h.count(p, settled, p.counts(settled))
		if crashes < most || slices.ContainsFunc(partsByCrash[h.anyCrash(p)], func(other *part) bool { return h.isPartOfMore(p, other) }) {
			continue
		}
		if crashes > most {
			most, requests = crashes, nil
		}
		requests = append(requests, id)
	}
	return requests
}

// anyCrash returns one of the crashes of a part that count, at which each part must have
// been that was at all of them.
func (h *history) anyCrash(p *part) CrashID {
	for id, c := range p.crashes {
		if _, unexplained := h.times[id]; unexplained && !c.cleared {
			return id
		}
	}
	return 0
}

// minCrashesOfOthers is how many crashes a part must have had in other requests to go
// before a request.
const minCrashesOfOthers = 2

// isPartOfMore reports whether a part was at all crashes of a request and at some others.
func (h *history) isPartOfMore(request, part *part) bool {
	others := 0
	for id, c := range part.crashes {
		if _, unexplained := h.times[id]; unexplained && !c.cleared {
			others++
		}
	}
	for id, c := range request.crashes {
		if _, unexplained := h.times[id]; !unexplained || c.cleared {
			continue
		}
		if shared, exists := part.crashes[id]; !exists || shared.cleared {
			return false
		}
		others--
	}
	return others >= minCrashesOfOthers
}

// count returns how many crashes of a part up to a time count and are not explained.
func (h *history) count(p *part, until time.Time, counts func(crash) bool) int {
	count := 0
	for id, c := range p.crashes {
		if _, unexplained := h.times[id]; unexplained && counts(c) && !c.at.After(until) {
			count++
		}
	}
	return count
}

// history holds all known crashes that no quarantined part explains.
type history struct {
	// suspects is how many parts were judged.
	suspects int
	times    map[CrashID]time.Time
	// byRequest holds the requests that explain crashes.
	byRequest map[CrashID]*part
	// windows holds the start of the window in which a crash lies, and sizes how
	// many crashes lie in each.
	windows map[CrashID]time.Time
	sizes   map[time.Time]int
}

func (t *Table) history() *history {
	h := &history{times: map[CrashID]time.Time{}}
	for _, p := range t.parts {
		for id, c := range p.crashes {
			if known, exists := h.times[id]; !exists || c.at.Before(known) {
				h.times[id] = c.at
			}
		}
	}
	h.divide()
	return h
}

// divide divides the crashes into windows, each of which begins with a crash.
func (h *history) divide() {
	ids := slices.SortedFunc(maps.Keys(h.times), func(a, b CrashID) int { return h.times[a].Compare(h.times[b]) })
	h.windows, h.sizes = make(map[CrashID]time.Time, len(ids)), map[time.Time]int{}
	var window time.Time
	for i, id := range ids {
		if at := h.times[id]; i == 0 || at.Sub(window) > crashWindow {
			window = at
		}
		h.windows[id] = window
		h.sizes[window]++
	}
}

// explain removes the crashes of a quarantined part.
func (h *history) explain(p *part) {
	for id, c := range p.crashes {
		if c.cleared {
			continue
		}
		delete(h.times, id)
		if p.isRequest {
			if h.byRequest == nil {
				h.byRequest = map[CrashID]*part{}
			}
			h.byRequest[id] = p
		}
	}
	h.divide()
}

// isUnexplained reports whether a crash still speaks against a part. A request explains its
// crashes for all but the parts that have crashed servers without it, too: it may be an
// innocent one that died with their servers.
func (h *history) isUnexplained(p *part, id CrashID) bool {
	if _, exists := h.times[id]; exists {
		return true
	}
	request, explained := h.byRequest[id]
	if !explained || p.isRequest {
		return false
	}
	others := 0
	for other, c := range p.crashes {
		if _, shared := request.crashes[other]; !shared && !c.cleared {
			others++
		}
	}
	return others >= minCrashesOfOthers
}

// isSuspicious reports whether no sound begin speaks for the part.
func (c crash) isSuspicious() bool {
	return !c.cleared
}

// isEvidence reports whether the crash counts towards a quarantine: the servers
// work without the part, and not known to work with it.
func (c crash) isEvidence() bool {
	return !c.cleared && c.contrasted
}

// counts returns which crashes of a part count towards a quarantine at a time when those
// until settled do. A request that is popular begins again soon after the servers work
// again; it must have had the time.
func (p *part) counts(settled time.Time) func(crash) bool {
	if !p.isRequest {
		return crash.isEvidence
	}
	until := settled.Add(settleTime - soundSettleTime)
	return func(c crash) bool { return c.isEvidence() && !c.contrastedAt.After(until) }
}

// separateCrashes returns the times of a part's separate crashes up to a time that
// count and that are not explained. Those of a window count only if the part was
// at half of the servers that crashed then: a part that was at few of many has
// been hit by chance.
func (h *history) separateCrashes(p *part, until time.Time, counts func(crash) bool) []time.Time {
	own := make(map[time.Time]int, len(p.crashes))
	for id := range p.crashes {
		if window, exists := h.windows[id]; exists {
			own[window]++
		}
	}
	var times []time.Time
	for id, c := range p.crashes {
		if !counts(c) || c.at.After(until) {
			continue
		}
		window, exists := h.windows[id]
		if exists && 2*own[window] >= h.sizes[window] || !exists && h.isUnexplained(p, id) {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	separate := times[:0]
	for _, at := range times {
		if len(separate) == 0 || at.Sub(separate[len(separate)-1]) > crashWindow {
			separate = append(separate, at)
		}
	}
	return separate
}

// share returns the share that some separate crashes have of all since
// backgroundTime before the first of them.
func (h *history) share(separate []time.Time, until time.Time) float64 {
	all := 0
	for window := range h.sizes {
		if !window.Before(separate[0].Add(-backgroundTime)) && !window.After(until) {
			all++
		}
	}
	return float64(len(separate)) / float64(max(all, len(separate)))
}
