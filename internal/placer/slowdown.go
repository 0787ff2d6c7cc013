package placer

import "time"

// ServerLoad is the load that a server has reported in a response.
type ServerLoad struct {
	// Reported means that the other fields are set.
	Reported bool
	// Running and Waiting are numbers of requests, and Slots the most that can run.
	Running, Waiting, Slots int32
	// Slowdown is how long work takes at present, in percent of the normal time, from 1 to
	// MaxSlowdown; 0 if the server did not say.
	Slowdown int32
}

// Limits of slowdowns.
const (
	// MaxSlowdown is the highest slowdown that is believed to be one, in percent.
	MaxSlowdown = 10_000
	// slowdownTTL is how long a slowdown is used. Servers change theirs several times a
	// second.
	slowdownTTL = time.Second
	// minSlowdownFactor and maxSlowdownFactor bound the factor of predictions, so that a
	// server that reports a false slowdown is neither flooded nor starved.
	minSlowdownFactor = 0.5
	maxSlowdownFactor = 4
	// minReportedLatencyRatio lets the latency ratio correct a factor that is false.
	minReportedLatencyRatio = 1.0 / maxSlowdownFactor
)

// slowdown is a slowdown that a server has reported, in percent, and when. The zero value
// is none.
type slowdown struct {
	percent int32
	at      time.Time
}

// isFresh reports whether a slowdown is recent enough to be used.
func (d slowdown) isFresh(now time.Time) bool {
	return d.percent > 0 && now.Sub(d.at) < slowdownTTL
}

// encode returns a slowdown as it is reported to other instances: the percentage and the
// age in milliseconds. Both are 0 if it is not fresh.
func (d slowdown) encode(now time.Time) (percent, ageMillis int32) {
	if !d.isFresh(now) {
		return 0, 0
	}
	return d.percent, int32(max(now.Sub(d.at).Milliseconds(), 0))
}

// slowdowns holds the newest slowdown of one start of a server.
type slowdowns struct {
	// own was reported to this instance, domain to any instance of its failure domain, and
	// newest to any instance of the region.
	own, domain, newest slowdown
	// since is when the start was first listed here. What other instances report from
	// before may be about an earlier start.
	since time.Time
	// reports means that the server has reported a slowdown to some instance.
	reports bool
}

// recordOwn records a slowdown that was reported to this instance.
func (d *slowdowns) recordOwn(reported slowdown) {
	d.own = reported
	d.recordPeer(true, reported)
}

// recordPeer records a slowdown that was reported to an instance of this failure domain, or
// to one of another domain of the region.
func (d *slowdowns) recordPeer(sameDomain bool, reported slowdown) {
	d.reports = true
	if sameDomain && reported.at.After(d.domain.at) {
		d.domain = reported
	}
	if reported.at.After(d.newest.at) {
		d.newest = reported
	}
}

// factor returns the bounded factor by which work takes longer than normal, or 0 if it is
// not known.
func (d *slowdowns) factor(now time.Time) float64 {
	if !d.newest.isFresh(now) {
		return 0
	}
	return min(max(float64(d.newest.percent)/100, minSlowdownFactor), maxSlowdownFactor)
}

// timeFactor returns the factor that predictions for the server are multiplied by.
func (s *server) timeFactor(now time.Time) float64 {
	if !s.slowdowns.reports {
		return s.latencyRatio
	}
	factor := s.slowdowns.factor(now)
	if factor == 0 {
		return max(s.latencyRatio, minLatencyRatio)
	}
	return s.latencyRatio * factor
}

// recordFirstEvent updates the latency ratio with the first event of a placement.
func (s *server) recordFirstEvent(now time.Time, placed *placement) {
	observed := now.Sub(placed.placedAt)
	placed.speed.recordFirstEvent(now, s, observed)
	if !s.slowdowns.reports || s.start() != placed.start {
		s.recordLatency(observed, placed.predictedWait)
		return
	}
	// The slowdown explains as much as the mean of those before and after the request does.
	s.recordReportedLatency(observed, placed, meanFactor(placed.slowdown, s.slowdowns.factor(now)))
}

// recordReportedLatency updates the latency ratio of a server that reports its slowdown.
// The part of the observed time that the slowdown explains is left out, so that the same
// slowness is not counted twice.
func (s *server) recordReportedLatency(observed time.Duration, placed *placement, explained float64) {
	if placed.predictedWait < minPredictedLatency || placed.speed.learned != s.speed.isLearned() {
		return
	}
	normal := placed.predictedWait.Seconds() / placed.timeFactor
	ratio := observed.Seconds() / (normal * explained)
	s.latencyRatio += latencyRatioWeight * (min(max(ratio, minReportedLatencyRatio), 4) - s.latencyRatio)
	s.latencyRatio = min(max(s.latencyRatio, minReportedLatencyRatio), maxLatencyRatio)
}

// recordServerLoad records the load that the server of a placement reported to this
// instance.
func (p *Placer) recordServerLoad(now time.Time, placed *placement, load ServerLoad) {
	s, listed := p.serversByName[placed.start.name]
	if !listed || s.start() != placed.start || load.Slowdown <= 0 || load.Slowdown > MaxSlowdown {
		return
	}
	s.slowdowns.recordOwn(slowdown{percent: load.Slowdown, at: now})
	s.loadChanged = true
	if speed := p.speeds[s.Service]; speed != nil && !speed.reports {
		p.updateSpeed(s.Service)
	}
}

// RecordSlowdowns records the slowdowns in the loads, by server name, that another instance
// of this region has reported. sameDomain reports whether it is an instance of this failure
// domain. Everything else in the loads is ignored.
func (p *Placer) RecordSlowdowns(now time.Time, sameDomain bool, loads map[string]Load) {
	for name, load := range loads {
		if load.Slowdown <= 0 || load.Slowdown > MaxSlowdown || load.SlowdownAge < 0 {
			continue
		}
		reported := slowdown{percent: load.Slowdown, at: now.Add(-time.Duration(load.SlowdownAge) * time.Millisecond)}
		if s, known := p.serversByName[name]; known && reported.isFresh(now) && !reported.at.Before(s.slowdowns.since) {
			s.slowdowns.recordPeer(sameDomain, reported)
		}
	}
}

// addDomainSlowdowns adds the newest slowdowns that instances of this failure domain were
// told to its loads.
func (p *Placer) addDomainSlowdowns(now time.Time, loads map[string]Load) {
	for name, s := range p.serversByName {
		if percent, age := s.slowdowns.domain.encode(now); percent > 0 {
			load := loads[name]
			load.Slowdown, load.SlowdownAge = percent, age
			loads[name] = load
		}
	}
}

// WithoutSlowdown returns the load without the slowdown.
func (l Load) WithoutSlowdown() Load {
	l.Slowdown, l.SlowdownAge = 0, 0
	return l
}
