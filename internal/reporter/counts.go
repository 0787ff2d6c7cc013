// Package reporter counts how requests meet their objectives and reports how
// fast the error budget burns.
//
// The one idea: counts in buckets of time add up, over windows and over
// instances alike, so that a report over the fleet is a sum.
package reporter

import (
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// The windows of a report.
const (
	windowShort  = 5 * time.Minute
	windowMiddle = time.Hour
	windowLong   = 6 * time.Hour
)

// bucketTime is the time that one bucket stands for.
const bucketTime = time.Minute

// Count is a number of requests and how many of them missed the objective.
type Count struct {
	Total int64 `cbor:"t" json:"total"`
	Bad   int64 `cbor:"b" json:"bad"`
}

func (c *Count) add(other Count) {
	c.Total += other.Total
	c.Bad += other.Bad
}

// Windows are the counts of the three windows.
type Windows struct {
	Short  Count `cbor:"s" json:"5m"`
	Middle Count `cbor:"m" json:"1h"`
	Long   Count `cbor:"l" json:"6h"`
}

// Add sums two sets of windows.
func (w *Windows) Add(other Windows) {
	w.Short.add(other.Short)
	w.Middle.add(other.Middle)
	w.Long.add(other.Long)
}

// series is a ring of buckets.
type series struct {
	width   time.Duration
	buckets []Count
	newest  int64
}

func newSeries(width time.Duration) *series {
	return &series{width: width, buckets: make([]Count, int(windowLong/width))}
}

func (s *series) add(now time.Time, count Count) {
	s.advance(now)
	s.buckets[s.newest%int64(len(s.buckets))].add(count)
}

// advance clears the buckets that time has passed over.
func (s *series) advance(now time.Time) {
	number := now.UnixNano() / int64(s.width)
	steps := min(number-s.newest, int64(len(s.buckets)))
	for step := int64(0); step < steps; step++ {
		s.buckets[(number-step)%int64(len(s.buckets))] = Count{}
	}
	s.newest = max(s.newest, number)
}

func (s *series) windows(now time.Time) Windows {
	s.advance(now)
	return Windows{
		Short:  s.sum(windowShort),
		Middle: s.sum(windowMiddle),
		Long:   s.sum(windowLong),
	}
}

func (s *series) sum(window time.Duration) Count {
	var total Count
	for step := range min(int64(window/s.width), int64(len(s.buckets))) {
		if number := s.newest - step; number >= 0 {
			total.add(s.buckets[number%int64(len(s.buckets))])
		}
	}
	return total
}

// judge tells whether a request counts against an objective, and whether it
// missed it. What the caller got wrong, and what its rate forbids, does not
// count.
func judge(x *exchanger.Exchange, refusal *exchanger.Refusal) (counts, bad bool) {
	if x.Route.Name == "" {
		return false, false
	}
	if refusal != nil {
		return refusal.Status >= 500, true
	}
	if x.Result.Cut != nil {
		return true, x.Result.Cut.Code != exchanger.CodeKeyWithdrawn && x.Result.Cut.Code != exchanger.CodeCancelled
	}
	objective := x.Route.Objective
	late := objective != nil && x.Result.FirstByte.Sub(x.Arrived) > time.Duration(objective.FirstToken)
	return true, late || x.Result.Status >= 500
}
