package follower

import (
	"maps"
	"time"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/placer"
)

// reportsKept is the number of own reports that are remembered until a digest includes
// them.
const reportsKept = 32

// ownReport is what this instance has reported to the representative.
type ownReport struct {
	sequence uint64
	loads    map[string]placer.Load
	// spent is nil if the report said nothing about quotas.
	spent map[string]float64
}

// digestView is what an instance knows of its failure domain from digests. The sums in
// them include this instance's own reports, and the view takes those out again that the
// sender had when it made the digest. The zero value has heard nothing.
type digestView struct {
	sender      string
	incarnation int64
	lastHeard   time.Time
	// sums are the loads of the whole failure domain, by server name, and complete
	// those of the last complete digest.
	sums, complete map[string]placer.Load
	// included is the sequence of the newest own report in the last digest, and
	// lastIncluded when a digest last had one.
	included     uint64
	lastIncluded time.Time
	// term counts the senders that were followed, one after another.
	term    int64
	reports []ownReport
}

// recordReport remembers a report. The view keeps the maps.
func (v *digestView) recordReport(report ownReport) {
	v.reports = append(v.reports, report)
	if len(v.reports) > reportsKept {
		v.reports = v.reports[1:]
	}
}

// apply takes a digest over and reports whether it did. The first of a sender must be
// complete, and all must include a report of this instance, or have done so lately: a
// representative that has just taken over knows few loads, and one that does not hear
// this instance may hear nobody.
func (v *digestView) apply(now time.Time, self string, beacon beaconer.Beacon) bool {
	digest := beacon.Digest
	included, isIncluded := digest.Included[beaconer.NameHash(self)]
	if beacon.Name != v.sender || beacon.Incarnation != v.incarnation {
		if !digest.Complete || !isIncluded {
			return false
		}
		v.sender, v.incarnation, v.included = beacon.Name, beacon.Incarnation, 0
		v.term++
	}
	if isIncluded {
		v.lastIncluded = now
	} else if now.Sub(v.lastIncluded) >= digestTimeout {
		return false
	}
	v.lastHeard, v.included = now, included
	loads := map[string]placer.Load{}
	for name, load := range digest.Loads {
		loads[name] = load.Load()
	}
	if digest.Complete {
		v.complete = loads
		v.sums = maps.Clone(loads)
		return true
	}
	v.sums = maps.Clone(v.complete)
	maps.Copy(v.sums, loads)
	return true
}

// otherLoads returns the loads of the other instances, by server name.
func (v *digestView) otherLoads() map[string]placer.Load {
	loads := maps.Clone(v.sums)
	for i := len(v.reports) - 1; i >= 0; i-- {
		if v.reports[i].sequence > v.included {
			continue
		}
		for name, own := range v.reports[i].loads {
			loads[name] = loads[name].Without(own)
		}
		break
	}
	maps.DeleteFunc(loads, func(_ string, load placer.Load) bool { return load == placer.Load{} })
	return loads
}

// otherSpending returns what the other instances have spent, given what all have. It
// reports false if it is not known what of that is this instance's own.
func (v *digestView) otherSpending(all map[string]float64) (map[string]float64, bool) {
	for i := len(v.reports) - 1; i >= 0; i-- {
		report := v.reports[i]
		if report.sequence > v.included || report.spent == nil {
			continue
		}
		others := maps.Clone(all)
		for name, own := range report.spent {
			others[name] -= own
		}
		return others, true
	}
	return nil, false
}

// digestWriter makes the digests of a representative. The zero value is ready to use.
type digestWriter struct {
	complete map[string]placer.Load
	// included holds the sequence of the newest report of each instance, by name.
	included map[string]uint64
}

// record notes the newest report of an instance.
func (w *digestWriter) record(name string, sequence uint64) {
	if w.included == nil {
		w.included = map[string]uint64{}
	}
	w.included[name] = sequence
}

// digest returns a digest of the summed loads. One that is not complete has the sums
// that differ from those of the last complete one.
func (w *digestWriter) digest(sums map[string]placer.Load, complete bool) *beaconer.Digest {
	sums, slowdowns := beaconer.SplitSlowdowns(sums)
	digest := &beaconer.Digest{Complete: complete, Slowdowns: slowdowns, Included: map[uint32]uint64{}}
	for name, sequence := range w.included {
		digest.Included[beaconer.NameHash(name)] = sequence
	}
	if complete {
		w.complete = sums
		digest.Loads = beaconer.PackLoads(sums)
		return digest
	}
	changed := map[string]placer.Load{}
	for name, load := range sums {
		if load != w.complete[name] {
			changed[name] = load
		}
	}
	for name := range w.complete {
		if _, still := sums[name]; !still {
			changed[name] = placer.Load{}
		}
	}
	digest.Loads = beaconer.PackLoads(changed)
	return digest
}
