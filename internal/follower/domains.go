package follower

import (
	"maps"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/beaconer"
)

// largeFleetSize is the number of entry instances from which on only one
// instance of each failure domain, its representative, sends beacons to the
// other domains, on behalf of all of its domain. Otherwise the traffic between
// domains would grow with the square of the fleet.
const largeFleetSize = 12

// representativeTimeout is how long an instance may be unheard in its failure
// domain and still be expected to represent it.
const representativeTimeout = time.Second

// aggregateTimeout is how long the representative of another failure domain may
// be unheard before any other instance of that domain is accepted. It is longer
// than two intervals of aggregates to other regions.
const aggregateTimeout = 2 * time.Second

// domainSummary is another failure domain as the aggregates of its
// representative describe it.
type domainSummary struct {
	beaconer.Aggregate
	region         string
	representative string
	lastHeard      time.Time
	// term counts the representatives accepted so far, one after another. It
	// serves as the incarnation of the domain's spending.
	term int64
}

// accepts reports whether an aggregate is taken into account. Instances that
// have just started, or have not heard their neighbours for a while, may send
// aggregates though another instance is the representative. Of two senders, the
// one whose name has the lower hash counts, since the whole domain would choose
// it, until it falls silent or announces that it is stopping.
func (s domainSummary) accepts(now time.Time, beacon beaconer.Beacon) bool {
	switch {
	case beacon.Name == s.representative:
		return beacon.Aggregate.Since >= s.Since
	case s.representative == "" || now.Sub(s.lastHeard) >= aggregateTimeout:
		return true
	}
	return xxhash.Sum64String(beacon.Name) < xxhash.Sum64String(s.representative)
}

// domainAggregate is what this instance knows of its own failure domain, for
// use as its representative.
type domainAggregate struct {
	spentByInstance map[string]instanceSpending
	digests         digestWriter
	// spreadTurn counts the beacons that were spread in the domain.
	spreadTurn uint64
	// representingSince is when this instance became the representative, in
	// nanoseconds of Unix time; 0 if it is not.
	representingSince int64
}

// instanceSpending is what one instance of the domain has spent of each
// workspace's quota, in its current incarnation and in all earlier ones.
type instanceSpending struct {
	incarnation int64
	current     map[string]float64
	earlier     map[string]float64
}

// recordSpent records what an instance of the domain reports as spent. A new
// incarnation counts from 0 again, so what the last one spent is added to the
// earlier ones. What an instance had spent before its first report does not count: the
// sum over the domain would jump by it, and other instances would take that for
// spending of this moment.
func (d *domainAggregate) recordSpent(beacon beaconer.Beacon) {
	known, reported := d.spentByInstance[beacon.Name]
	if !reported {
		known = instanceSpending{incarnation: beacon.Incarnation, earlier: map[string]float64{}}
		for workspace, amount := range beacon.QuotaSpent {
			known.earlier[workspace] = -amount
		}
	}
	if beacon.Incarnation > known.incarnation {
		earlier := maps.Clone(known.earlier)
		addAll(earlier, known.current)
		known = instanceSpending{incarnation: beacon.Incarnation, earlier: earlier}
	}
	known.current = beacon.QuotaSpent
	d.spentByInstance[beacon.Name] = known
}

func addAll(sum, more map[string]float64) {
	for name, amount := range more {
		sum[name] += amount
	}
}

// isLargeFleet reports whether each failure domain has a representative. f.mu
// must be held.
func (f *Follower) isLargeFleet() bool {
	return len(f.otherInstances)+1 >= largeFleetSize
}

// representative returns the other instance that represents this failure domain: the
// ready one whose name has the lowest hash among those heard there, and among those that reach
// servers unless none does. It reports false if
// that is this instance, or none. f.mu must be held.
func (f *Follower) representative(now time.Time) (entryInstance, bool) {
	var best entryInstance
	lowest, cutOff, found := xxhash.Sum64String(f.self.Name), f.placer.CutOff(), false
	if f.lifecycle != beaconer.StateReady {
		lowest, cutOff = math.MaxUint64, true
	}
	for name, other := range f.otherInstances {
		candidate := other.FailureDomain == f.self.FailureDomain && other.state == beaconer.StateReady
		if !candidate || now.Sub(other.lastHeard) >= representativeTimeout || other.cutOff && !cutOff {
			continue
		}
		if hash := xxhash.Sum64String(name); hash < lowest || cutOff && !other.cutOff {
			best, lowest, cutOff, found = other, hash, other.cutOff, true
		}
	}
	return best, found
}

// updateRepresentative decides whether this instance represents its failure
// domain, logs a change and reports the result. f.mu must be held.
func (f *Follower) updateRepresentative(now time.Time) bool {
	if other, found := f.representative(now); found {
		if f.ownDomain.representingSince != 0 && f.lifecycle == beaconer.StateReady {
			klog.InfoS("no longer representative of failure domain", "domain", f.self.FailureDomain, "speaker", other.Name)
			f.ownDomain.representingSince = 0
		}
		return false
	}
	if f.lifecycle != beaconer.StateReady {
		return false
	}
	if f.ownDomain.representingSince == 0 {
		f.ownDomain.representingSince = now.UnixNano()
		f.quotas.ForgetPeer(ownDomainPeer) // from now on every instance reports to this one
		klog.InfoS("now representative of failure domain", "domain", f.self.FailureDomain)
	}
	return true
}

// aggregateBeacon turns a beacon of this instance into one of its whole failure
// domain. f.mu must be held.
func (f *Follower) aggregateBeacon(now time.Time, beacon beaconer.Beacon) beaconer.Beacon {
	spent := f.domainSpending(beacon.QuotaSpent)
	var relays []netip.AddrPort
	if !f.placer.CutOff() {
		relays = append(relays, f.self.RelayAddress)
	}
	count := 1
	for _, other := range f.otherInstances {
		if other.FailureDomain == f.self.FailureDomain && now.Sub(other.lastHeard) < instanceTimeout {
			count++
			if other.state == beaconer.StateReady && !other.cutOff {
				relays = append(relays, other.RelayAddress)
			}
		}
	}
	beacon.QuotaSpent = spent
	beacon.Aggregate = &beaconer.Aggregate{Since: f.ownDomain.representingSince, Relays: relays, Instances: count, Distributes: f.isLargeDomain()}
	return beacon
}

// domainSpending returns what all instances of this failure domain have spent, given
// what this one has. f.mu must be held.
func (f *Follower) domainSpending(own map[string]float64) map[string]float64 {
	spent := maps.Clone(own)
	if spent == nil {
		spent = map[string]float64{}
	}
	for _, other := range f.ownDomain.spentByInstance {
		addAll(spent, other.current)
		addAll(spent, other.earlier)
	}
	return spent
}

// forgetSpendingOf forgets what single instances of a failure domain have reported as
// spent. f.mu must be held.
func (f *Follower) forgetSpendingOf(domain string) {
	for name, instance := range f.otherInstances {
		if instance.FailureDomain == domain {
			f.quotas.ForgetPeer(name)
		}
	}
}

// aggregateReceivers returns the instances of other failure domains that aggregates are
// sent to: the representative where it passes them on, else all. A representative that
// is stopping tells all. f.mu must be held.
func (f *Follower) aggregateReceivers(now time.Time, stopping bool) []entryInstance {
	var receivers []entryInstance
	for name, other := range f.otherInstances {
		if other.FailureDomain == f.self.FailureDomain {
			continue
		}
		domain := f.otherDomains[other.FailureDomain]
		distributes := domain.Distributes && now.Sub(domain.lastHeard) < aggregateTimeout
		if stopping || !distributes || domain.representative == name {
			receivers = append(receivers, other)
		}
	}
	return receivers
}

// receiveAggregate processes an aggregate of another failure domain. f.mu must
// be held.
func (f *Follower) receiveAggregate(now time.Time, beacon beaconer.Beacon) {
	peerName := "domain/" + beacon.FailureDomain
	known := f.otherDomains[beacon.FailureDomain]
	if !known.accepts(now, beacon) {
		return
	}
	updated := domainSummary{Aggregate: *beacon.Aggregate, region: beacon.Region, representative: beacon.Name, lastHeard: now, term: known.term}
	if known.representative != beacon.Name || known.Since != beacon.Aggregate.Since {
		updated.term++
		klog.InfoS("failure domain", "domain", beacon.FailureDomain, "speaker", beacon.Name, "before", known.representative, "instances", beacon.Aggregate.Instances)
	}
	if beacon.State != beaconer.StateReady {
		updated.lastHeard = time.Time{} // the next representative is accepted at once
	}
	f.otherDomains[beacon.FailureDomain] = updated
	f.forgetSpendingOf(beacon.FailureDomain) // the aggregate includes it
	f.quotas.RecordReport(now, apportioner.SpendingReport{
		Name: peerName, FailureDomain: beacon.FailureDomain, Instances: beacon.Aggregate.Instances, Incarnation: updated.term, Spent: beacon.QuotaSpent, Levels: beacon.QuotaLeft,
	})
	if beacon.Region == f.self.Region {
		f.placer.SetPeerLoads(now, peerName, false, beacon.Loads)
		f.placer.AddCacheFills(now, false, beacon.CacheFills)
		return
	}
	f.placer.SetRegionServices(now, beacon.Region, beacon.Services)
}

// isSecondary reports whether a control instance is polled less often than
// others: in a large fleet, those of other regions, unless none of this region
// answers. f.mu must be held.
func (f *Follower) isSecondary(watch *controlWatch) bool {
	return f.isLargeFleet() && watch.region != "" && watch.region != f.self.Region && f.hasRegionalContact(time.Now())
}

// hasRegionalContact reports whether a control instance of this region has answered
// a watch lately. f.mu must be held.
func (f *Follower) hasRegionalContact(now time.Time) bool {
	for _, watch := range f.controlWatches {
		if watch.region == f.self.Region && now.Sub(watch.lastAnswer) < 2*watchTimeout {
			return true
		}
	}
	return false
}
