package quarantiner

import "time"

// Level says what a request may do because of its parts.
type Level uint8

const (
	// LevelClear means that nothing speaks against the part.
	LevelClear Level = iota
	// LevelSuspected means that requests with the part run at most once.
	LevelSuspected
	// LevelQuarantined means that requests with the part are refused.
	LevelQuarantined
)

// String returns the name of the level. It panics if the value is none of the
// constants.
func (l Level) String() string {
	return [...]string{"clear", "suspected", "quarantined"}[l]
}

// Rules of the verdict.
const (
	// crashWindow is the time within which several crashes count as one: servers
	// that end together accuse no part.
	crashWindow = 250 * time.Millisecond
	// settleTime is how old a crash must be before it counts towards a quarantine.
	// Until then, answers that have begun since the crash can show that a part is
	// sound.
	settleTime = 2500 * time.Millisecond
	// soundSettleTime is how old a crash must be before it makes a part suspected on
	// which an answer has begun soundly not long ago. Popular parts are at most
	// crashes, and their requests should be retried.
	soundSettleTime = 1500 * time.Millisecond
	// suspectingCrashes and quarantiningCrashes are how many separate crashes
	// make a part suspected and quarantined.
	suspectingCrashes   = 2
	quarantiningCrashes = 3
	// tiedCrashes is how many it takes if several parts have the same number: with
	// the next crashes they usually part.
	tiedCrashes = quarantiningCrashes + 1
	// minCrashShare is the share of all separate crashes since backgroundTime before
	// a part's first one that the part must have been at. Below it, servers also
	// crash for other reasons, and it takes backgroundCrashes.
	minCrashShare     = 1.0 / 3
	backgroundTime    = 20 * time.Second
	backgroundCrashes = quarantiningCrashes + 2
	// verdictLifetime is how long a verdict is used while the table does not
	// change, and minVerdictLifetime how long while it does.
	verdictLifetime    = 100 * time.Millisecond
	minVerdictLifetime = 10 * time.Millisecond
	// verdictTimePerSuspect is how much longer a verdict is used for each part that was
	// judged, so that judging takes a small share of a processor in an outbreak.
	verdictTimePerSuspect = 500 * time.Microsecond
	// maxProbes bounds the probes of a part, so that a part that goes on to crash
	// servers does so only a few times more.
	maxProbes = 2
	// minRetryAfter is the shortest time after which a refused caller may return.
	minRetryAfter = time.Minute
)

// verdict is the level of each part that is not clear, at some time.
type verdict struct {
	levels   map[uint64]Level
	history  *history
	revision uint64
	at       time.Time
}

// Level returns the highest level of some traits.
func (t *Table) Level(now time.Time, traits Traits) Level {
	level := LevelClear
	if len(t.parts) == 0 {
		return level
	}
	levels := t.levels(now)
	traits.each(func(id uint64, _ bool) { level = max(level, levels[id]) })
	return level
}

// Admission is the decision on a new request.
type Admission struct {
	Level Level
	// Probe means that the request may run once although a part is quarantined.
	Probe bool
	// HeldBack means that the request must not run for now, so that answers without its
	// suspected part can begin.
	HeldBack bool
	// RetryAfter is when the caller of a refused request may return.
	RetryAfter time.Duration
}

// Admit decides on a new request. When the hold of its quarantined parts is over
// and mayProbe holds for them, it lets the request through as a probe, which starts
// another hold.
func (t *Table) Admit(now time.Time, traits Traits, mayProbe func(part uint64) bool) Admission {
	admission := Admission{Level: t.Level(now, traits)}
	t.recent.add(traits.Parts)
	if admission.Level == LevelSuspected {
		admission.RetryAfter = t.holdBack(now, traits, t.levels(now))
		admission.HeldBack = admission.RetryAfter > 0
	}
	if admission.Level != LevelQuarantined {
		return admission
	}
	admission.Probe = true
	levels := t.levels(now)
	traits.each(func(id uint64, _ bool) {
		if levels[id] != LevelQuarantined {
			return
		}
		p := t.parts[id]
		held := HoldTime - now.Sub(p.lastEvidence())
		admission.RetryAfter = max(admission.RetryAfter, held, minRetryAfter)
		admission.Probe = admission.Probe && held <= 0 && p.probes < maxProbes && mayProbe(id)
	})
	traits.each(func(id uint64, _ bool) {
		if p := t.parts[id]; levels[id] == LevelQuarantined {
			t.recordAdmission(now, p, admission.Probe)
		}
	})
	return admission
}

// recordAdmission records a probe or a refusal.
func (t *Table) recordAdmission(now time.Time, p *part, probe bool) {
	switch {
	case probe:
		p.probes++
		p.probedAt = now
		t.markOwnChange(p)
	case now.Sub(p.askedAt) > askedPrecision:
		p.askedAt = now
		t.markOwnChange(p)
	}
}

// Finding is a part that is not clear, with the figures for it.
type Finding struct {
	Part uint64
	// IsRequest means that the part is a whole request.
	IsRequest bool
	Level     Level
	// Crashes is the number of crashes under the part, and Uncleared how many of
	// them no sound answer has cleared.
	Crashes   int
	Uncleared int
	Probes    int
}

// Findings returns the parts that are not clear, in no particular order.
func (t *Table) Findings(now time.Time) []Finding {
	var findings []Finding
	if len(t.parts) == 0 {
		return nil
	}
	for id, level := range t.levels(now) {
		if p, known := t.parts[id]; known {
			findings = append(findings, Finding{Part: id, IsRequest: p.isRequest, Level: level, Crashes: len(p.crashes), Uncleared: p.unclearedCrashes(), Probes: p.probes})
		}
	}
	return findings
}

// levels returns the level of each part that is not clear.
func (t *Table) levels(now time.Time) map[uint64]Level {
	v := &t.verdict
	lifetime := verdictLifetime
	if v.revision != t.revision {
		lifetime = minVerdictLifetime
	}
	if v.history != nil {
		lifetime = max(lifetime, time.Duration(v.history.suspects)*verdictTimePerSuspect)
	}
	if v.levels == nil || now.Sub(v.at).Abs() >= lifetime {
		levels, history := t.judge(now)
		*v = verdict{levels: levels, history: history, revision: t.revision, at: now}
	}
	return v.levels
}
