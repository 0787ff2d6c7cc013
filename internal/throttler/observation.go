package throttler

import (
	"math"
	"slices"
	"time"
)

// Observation is what an answer of a server said of its limit. The server said it
// some time between SentAt, when the request was sent, and ArrivedAt, when the answer
// arrived. Several observations of a server are ordered by these times.
type Observation struct {
	// Rate is the requests a second that the server takes from all instances together,
	// if Limited is set. Otherwise it named no limit.
	Rate      float64
	Limited   bool
	SentAt    time.Time
	ArrivedAt time.Time
}

// merge takes over an observation. Answers overtake each other: a lower limit counts
// unless it is known to be older, a higher one or none only if it is known to be
// newer. merge reports whether the limit changes.
func (o *Observation) merge(seen Observation) bool {
	switch {
	case seen.Limited == o.Limited && seen.Rate == o.Rate:
		if seen.ArrivedAt.After(o.ArrivedAt) {
			o.ArrivedAt = seen.ArrivedAt
		}
		if seen.SentAt.After(o.SentAt) {
			o.SentAt = seen.SentAt
		}
		return false
	case seen.lowerThan(*o) && seen.ArrivedAt.Before(o.SentAt):
		return false
	case !seen.lowerThan(*o) && !seen.SentAt.After(o.ArrivedAt):
		return false
	}
	*o = seen
	return true
}

func (o Observation) lowerThan(other Observation) bool {
	return o.Limited && (!other.Limited || o.Rate < other.Rate)
}

// Report is an observation as instances tell it each other.
type Report struct {
	Server          string `cbor:"n"`
	StartedAtMillis int64  `cbor:"b"`
	// Rate is the limit; absent if the server named none.
	Rate *float64 `cbor:"r,omitempty"`
	// SentAge and ArrivedAge are the times since Observation.SentAt and ArrivedAt.
	SentAge    time.Duration `cbor:"s"`
	ArrivedAge time.Duration `cbor:"a"`
}

// IsRate reports whether a number can be a limit: finite and not below 0.
func IsRate(number float64) bool {
	return number >= 0 && !math.IsInf(number, 0)
}

// maxReports bounds the reports of one beacon, which has a size limit. Those that
// changed last come first.
const maxReports = 64

// reportDelay is the longest time that a report is expected to be on its way. The
// answer to a request counts as sent before that.
const reportDelay = 100 * time.Millisecond

// Record takes over the reports of another instance. It reports whether any limit
// changes.
func (t *Throttler) Record(now time.Time, reports []Report) bool {
	changed := false
	for _, report := range reports {
		if report.Rate != nil && !IsRate(*report.Rate) {
			continue
		}
		seen := Observation{SentAt: now.Add(-report.SentAge - reportDelay), ArrivedAt: now.Add(-report.ArrivedAge)}
		if report.Rate != nil {
			seen.Rate, seen.Limited = *report.Rate, true
		}
		changed = t.Observe(now, Server{Name: report.Server, StartedAtMillis: report.StartedAtMillis}, seen) || changed
	}
	return changed
}

// Reports returns what this instance knows of limits that changed here at or after a
// time, the newest changes first.
func (t *Throttler) Reports(now, changedSince time.Time) []Report {
	var reports []Report
	var changes []time.Time
	for server, known := range t.limits {
		if known.changedAt.Before(changedSince) {
			continue
		}
		report := Report{
			Server: server.Name, StartedAtMillis: server.StartedAtMillis,
			SentAge: now.Sub(known.SentAt), ArrivedAge: now.Sub(known.ArrivedAt),
		}
		if known.Limited {
			rate := known.Rate
			report.Rate = &rate
		}
		at := 0
		for at < len(changes) && changes[at].After(known.changedAt) {
			at++
		}
		reports = slices.Insert(reports, at, report)
		changes = slices.Insert(changes, at, known.changedAt)
	}
	return reports[:min(len(reports), maxReports)]
}
