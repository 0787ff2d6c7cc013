// Package apportioner limits workspaces to their quotas across all entry
// instances, without a coordinator in the path of a request.
//
// Every instance keeps a token bucket for the quota of the whole fleet. It debits
// its own spending at once, and that of other instances when their beacons report
// it. A silent instance may be spending without being heard, so its even share of
// the rate is withheld from the bucket. An instance that hears no other is thus
// left with its own share, and the parts of a partitioned fleet stay within the
// quota together. A silent instance is forgotten after silenceLimit if others of its
// failure domain are heard: then it has ended, and is not cut off.
package apportioner

import (
	"maps"
	"time"
)

// Parameters for the spending of other instances.
const (
	// beaconTimeout is the time without a beacon after which an instance counts as
	// silent. Until then, its spending since the last beacon is extrapolated.
	beaconTimeout = 1500 * time.Millisecond
	// silenceLimit is how long a silent instance is assumed to spend its share.
	// After that it is forgotten.
	silenceLimit = 30 * time.Second
	// domainSilenceLimit is the same for an instance whose whole failure domain is
	// silent: it may be cut off and go on spending its share.
	domainSilenceLimit = time.Hour
	// spendRateSmoothing is the weight of the newest beacon in the moving average
	// of an instance's spending per second.
	spendRateSmoothing = 0.4
	// noRefillWait is the wait for a bucket that is not refilled.
	noRefillWait = time.Second
)

// Quota is what a workspace may spend across the whole fleet.
type Quota struct {
	// Rate is per second. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Apportioner holds one instance's view of the buckets. The zero value limits
// nothing. It is not safe for concurrent use.
type Apportioner struct {
	// FailureDomain is that of this instance. It must not change.
	FailureDomain string

	bucketsByWorkspace map[string]*bucket
	peersByName        map[string]*peer
	// spentByWorkspace is what this instance has spent since it started.
	spentByWorkspace map[string]float64
}

// bucket is the token bucket of a workspace for the whole fleet. Its level is
// negative while it is in debt.
type bucket struct {
	Quota
	level      float64
	lastRefill time.Time
}

// peer is another instance, or several that report together.
type peer struct {
	failureDomain string
	// instances is the number of instances that the peer reports for.
	instances   int
	incarnation int64
	lastHeard   time.Time
	// spentByWorkspace is what the peer last reported.
	spentByWorkspace map[string]float64
	// spendRateByWorkspace is a moving average of its spending per second.
	spendRateByWorkspace map[string]float64
	// assumedByWorkspace is the spending that was assumed and debited when the
	// peer fell silent. It is nil while the peer is not silent.
	assumedByWorkspace map[string]float64
}

// initialLevelShare is the share of a new bucket that is filled. After a restart of
// the whole fleet no instance knows what was spent before, and empty buckets would
// refuse requests that are within the quota. If another instance knows that less
// is left, RecordReport lowers the level.
const initialLevelShare = 0.5

// SetQuotas replaces the quotas, which are keyed by workspace. Buckets of
// workspaces that keep a quota keep their level.
func (a *Apportioner) SetQuotas(now time.Time, quotas map[string]Quota) {
	if a.bucketsByWorkspace == nil {
		a.bucketsByWorkspace = map[string]*bucket{}
		a.spentByWorkspace = map[string]float64{}
	}
	a.refill(now)
	maps.DeleteFunc(a.bucketsByWorkspace, func(name string, _ *bucket) bool { return quotas[name].Rate <= 0 })
	for name, quota := range quotas {
		if quota.Rate <= 0 {
			continue
		}
		b, known := a.bucketsByWorkspace[name]
		if !known {
			b = &bucket{lastRefill: now, level: initialLevelShare * quota.Burst}
			a.bucketsByWorkspace[name] = b
		}
		b.Quota = quota
		b.level = min(b.level, quota.Burst)
	}
}

// refill refills every bucket up to now, less the even share of silent instances.
func (a *Apportioner) refill(now time.Time) {
	silentInstances := a.updateSilent(now)
	share := 1 - float64(silentInstances)/float64(a.knownInstances())
	for _, b := range a.bucketsByWorkspace {
		if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
			b.level = min(b.level+elapsed.Seconds()*b.Rate*share, b.Burst)
			b.lastRefill = now
		}
	}
}

// updateSilent returns the number of silent instances, whose spending is not known.
// It debits the assumed spending of those that have just fallen silent, and forgets
// those that have been silent for too long.
func (a *Apportioner) updateSilent(now time.Time) int {
	count := 0
	for name, p := range a.peersByName {
		switch age := now.Sub(p.lastHeard); {
		case age > domainSilenceLimit, age > silenceLimit && a.hearsDomain(now, p.failureDomain):
			delete(a.peersByName, name)
		case age > beaconTimeout:
			count += p.instances
			a.debitAssumed(p)
		}
	}
	return count
}

// hearsDomain reports whether any instance of a failure domain is not silent.
func (a *Apportioner) hearsDomain(now time.Time, failureDomain string) bool {
	if failureDomain == a.FailureDomain {
		return true
	}
	for _, p := range a.peersByName {
		if p.failureDomain == failureDomain && now.Sub(p.lastHeard) <= beaconTimeout {
			return true
		}
	}
	return false
}

// knownInstances returns the number of known instances, including this one.
func (a *Apportioner) knownInstances() int {
	total := 1
	for _, p := range a.peersByName {
		total += p.instances
	}
	return total
}

// debitAssumed debits what an instance that has just fallen silent is likely to
// have spent since it was last heard.
func (a *Apportioner) debitAssumed(p *peer) {
	if p.assumedByWorkspace != nil {
		return
	}
	p.assumedByWorkspace = map[string]float64{}
	for name, b := range a.bucketsByWorkspace {
		amount := min(p.spendRateByWorkspace[name], b.Rate) * beaconTimeout.Seconds()
		p.assumedByWorkspace[name] = amount
		b.level -= amount
	}
}

// Take spends a cost from a workspace's quota. If the quota does not allow that now,
// Take spends nothing and returns false and how long to wait before trying again.
// A cost above the burst is allowed once the bucket is full, and leaves the bucket
// in debt.
func (a *Apportioner) Take(now time.Time, workspace string, cost float64) (wait time.Duration, ok bool) {
	b, bounded := a.bucketsByWorkspace[workspace]
	if !bounded {
		return 0, true
	}
	a.refill(now)
	shortfall := min(cost, b.Burst) - (b.level - a.unreportedSpending(now, workspace, b.Rate))
	if shortfall > 0 {
		return refillTime(shortfall, b.Rate), false
	}
	b.level -= cost
	a.spentByWorkspace[workspace] += cost
	return 0, true
}

// refillTime returns how long it takes to refill a shortfall at a rate.
func refillTime(shortfall, rate float64) time.Duration {
	if rate <= 0 {
		return noRefillWait
	}
	return time.Duration(shortfall / rate * float64(time.Second))
}

// unreportedSpending estimates what the instances that are not silent have spent
// since their last beacons.
func (a *Apportioner) unreportedSpending(now time.Time, workspace string, rate float64) float64 {
	total := 0.0
	for _, p := range a.peersByName {
		age := now.Sub(p.lastHeard)
		if age <= beaconTimeout {
			total += min(p.spendRateByWorkspace[workspace], rate) * age.Seconds()
		}
	}
	return total
}

// Refund returns the cost of a request that did not run to the workspace's quota.
func (a *Apportioner) Refund(workspace string, cost float64) {
	b, bounded := a.bucketsByWorkspace[workspace]
	if !bounded {
		return
	}
	b.level = min(b.level+cost, b.Burst)
	a.spentByWorkspace[workspace] -= cost
}

// Spent returns what this instance has spent since it started, by workspace. The
// map is a copy.
func (a *Apportioner) Spent() map[string]float64 {
	return maps.Clone(a.spentByWorkspace)
}

// Levels returns what is left in each bucket as far as this instance knows, by
// workspace. The map is a copy.
func (a *Apportioner) Levels() map[string]float64 {
	levels := make(map[string]float64, len(a.bucketsByWorkspace))
	for name, b := range a.bucketsByWorkspace {
		levels[name] = b.level
	}
	return levels
}

// SpendingReport is a report of spending by another instance, which may report
// for several.
type SpendingReport struct {
	Name          string
	FailureDomain string
	// Instances is the number of instances that the report covers; 0 counts as 1.
	Instances   int
	Incarnation int64
	// Spent is what was spent since the incarnation began, and Levels what is left
	// in the sender's buckets. Both are by workspace.
	Spent  map[string]float64
	Levels map[string]float64
}

// RecordReport records a report of another instance. The first report of an
// incarnation is the base from which its spending is counted; from that report,
// levels that are lower than this instance's are adopted. Reports of an older
// incarnation are ignored.
func (a *Apportioner) RecordReport(now time.Time, report SpendingReport) {
	if a.peersByName == nil {
		a.peersByName = map[string]*peer{}
	}
	a.refill(now)
	p, known := a.peersByName[report.Name]
	if known && report.Incarnation < p.incarnation {
		return
	}
	if !known || report.Incarnation > p.incarnation {
		a.peersByName[report.Name] = &peer{
			failureDomain: report.FailureDomain, instances: max(report.Instances, 1), incarnation: report.Incarnation, lastHeard: now,
			spentByWorkspace: maps.Clone(report.Spent), spendRateByWorkspace: map[string]float64{},
		}
		for workspace, level := range report.Levels {
			if b, bounded := a.bucketsByWorkspace[workspace]; bounded {
				b.level = min(b.level, level)
			}
		}
		return
	}
	elapsed := now.Sub(p.lastHeard).Seconds()
	for workspace, total := range report.Spent {
		a.debitReported(p, workspace, total-p.spentByWorkspace[workspace], elapsed)
	}
	p.spentByWorkspace, p.lastHeard, p.assumedByWorkspace, p.instances = maps.Clone(report.Spent), now, nil, max(report.Instances, 1)
	p.failureDomain = report.FailureDomain
}

// debitReported debits the amount that a peer has spent in the elapsed seconds since
// its last report, less what was debited for it while it was silent.
func (a *Apportioner) debitReported(p *peer, workspace string, amount, elapsed float64) {
	if elapsed > 0 {
		p.spendRateByWorkspace[workspace] += spendRateSmoothing * (max(amount, 0)/elapsed - p.spendRateByWorkspace[workspace])
	}
	b, bounded := a.bucketsByWorkspace[workspace]
	if !bounded {
		return
	}
	if elapsed > beaconTimeout.Seconds() {
		// The peer's even share was withheld by refill while it was silent, and
		// debitAssumed has debited its likely spending before that.
		alreadyDebited := b.Rate*float64(p.instances)/float64(a.knownInstances())*(elapsed-beaconTimeout.Seconds()) + p.assumedByWorkspace[workspace]
		amount = max(amount-alreadyDebited, 0)
	}
	b.level = min(b.level-amount, b.Burst)
}

// ForgetPeer removes an instance that has shut down properly and spends nothing
// more.
func (a *Apportioner) ForgetPeer(name string) {
	delete(a.peersByName, name)
}
