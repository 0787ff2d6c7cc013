// Package reporter counts requests against their objectives and reports how fast
// the error budgets burn.
//
// Counts are kept in time buckets. They add up over windows and over instances, so
// a report on the fleet is a sum of the instances' counts.
package reporter

import (
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// The lengths of the windows of a report.
const (
	windowShort  = 5 * time.Minute
	windowMiddle = time.Hour
	windowLong   = 6 * time.Hour
)

// routeBucketWidth is the time covered by one bucket of a route.
const routeBucketWidth = time.Minute

// Count is a number of requests, and how many of them missed their objective.
type Count struct {
	Total int64 `cbor:"t" json:"total"`
	Bad   int64 `cbor:"b" json:"bad"`
}

func (c *Count) add(other Count) {
	c.Total += other.Total
	c.Bad += other.Bad
}

// Windows holds the counts of the three windows that end now.
type Windows struct {
	Short  Count `cbor:"s" json:"5m"`
	Middle Count `cbor:"m" json:"1h"`
	Long   Count `cbor:"l" json:"6h"`
}

// Add adds the counts of other to w.
func (w *Windows) Add(other Windows) {
	w.Short.add(other.Short)
	w.Middle.add(other.Middle)
	w.Long.add(other.Long)
}

// series is a ring of buckets that covers the longest window.
type series struct {
	bucketWidth  time.Duration
	buckets      []Count
	newestBucket int64
}

func newSeries(width time.Duration) *series {
	return &series{bucketWidth: width, buckets: make([]Count, int(windowLong/width))}
}

func (s *series) add(now time.Time, count Count) {
	s.advance(now)
	s.buckets[s.newestBucket%int64(len(s.buckets))].add(count)
}

// advance clears the buckets that have become too old.
func (s *series) advance(now time.Time) {
	number := now.UnixNano() / int64(s.bucketWidth)
	steps := min(number-s.newestBucket, int64(len(s.buckets)))
	for step := int64(0); step < steps; step++ {
		s.buckets[(number-step)%int64(len(s.buckets))] = Count{}
	}
	s.newestBucket = max(s.newestBucket, number)
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
	for step := range min(int64(window/s.bucketWidth), int64(len(s.buckets))) {
		if number := s.newestBucket - step; number >= 0 {
			total.add(s.buckets[number%int64(len(s.buckets))])
		}
	}
	return total
}

// classify returns whether a request counts against the error budget, and whether
// it missed its objective. Refusals for errors of the caller and for exceeded rates
// do not count; streams that were cancelled, or cut because of a withdrawn key,
// count as met.
func classify(x *exchanger.Exchange, refusal *exchanger.Refusal) (counts, bad bool) {
	if x.Route.Name == "" {
		return false, false
	}
	if refusal != nil {
		return refusal.Status >= 500, true
	}
	if x.Result.StreamError != nil {
		return true, x.Result.StreamError.Code != exchanger.CodeKeyWithdrawn && x.Result.StreamError.Code != exchanger.CodeCancelled
	}
	objective := x.Route.Objective
	late := objective != nil && x.Result.FirstByte.Sub(x.Arrived) > time.Duration(objective.FirstToken)
	return true, late || x.Result.Status >= 500
}
