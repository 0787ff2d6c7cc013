package follower

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/apportioner"
	"github.com/boragehead/boragehead/internal/beaconer"
)

// manyInstances is from how many entry instances on only one of each failure
// domain speaks to the others, for all of it: traffic between domains would grow
// with the square of the fleet.
const manyInstances = 12

// speakerSilence is how long an instance may be unheard in its failure domain
// and still be expected to speak for it.
const speakerSilence = time.Second

// speechSilence is how long the speaker of another failure domain may be unheard
// before any other one of that domain is believed: more than two speeches to other
// regions.
const speechSilence = 2 * time.Second

// zone is another failure domain as its speaker tells of it.
type zone struct {
	beaconer.Zone
	region  string
	speaker string
	heard   time.Time
	// term counts the speakers that were believed, one after another.
	term int64
}

// believes reports whether a speech is taken in. Instances that have just
// started, or have not heard their neighbours for a while, speak out of turn: of
// two speakers the one that the whole domain would choose counts, until it falls
// silent or says that it stops.
func (z zone) believes(now time.Time, beacon beaconer.Beacon) bool {
	switch {
	case beacon.Name == z.speaker:
		return beacon.Zone.Since >= z.Since
	case z.speaker == "" || now.Sub(z.heard) >= speechSilence:
		return true
	}
	return xxhash.Sum64String(beacon.Name) < xxhash.Sum64String(z.speaker)
}

// domain is what this instance knows of its own failure domain, to speak for it.
type domain struct {
	spent map[string]spending
	since int64
}

// spending is what one instance of the domain has spent, over its incarnations.
type spending struct {
	incarnation int64
	current     map[string]float64
	retired     map[string]float64
}

// note takes in what an instance of the domain has spent.
func (d *domain) note(beacon beaconer.Beacon) {
	known := d.spent[beacon.Name]
	if beacon.Incarnation > known.incarnation {
		retired := maps.Clone(known.retired)
		if retired == nil {
			retired = map[string]float64{}
		}
		addAll(retired, known.current)
		known = spending{incarnation: beacon.Incarnation, retired: retired}
	}
	known.current = beacon.Spent
	d.spent[beacon.Name] = known
}

func addAll(sum, more map[string]float64) {
	for name, amount := range more {
		sum[name] += amount
	}
}

// many reports whether failure domains have speakers. The lock must be held.
func (f *Follower) many() bool {
	return len(f.instances)+1 >= manyInstances
}

// speaks reports whether this instance speaks for its failure domain: the first
// in the order of hashes among those heard there. The lock must be held.
func (f *Follower) speaks(now time.Time) bool {
	own := xxhash.Sum64String(f.self.Name)
	for name, other := range f.instances {
		near := other.FailureDomain == f.self.FailureDomain && other.state == beaconer.StateReady
		if near && now.Sub(other.heard) < speakerSilence && xxhash.Sum64String(name) < own {
			if f.domain.since != 0 {
				klog.InfoS("speaks no longer for its failure domain", "domain", f.self.FailureDomain, "speaker", name)
			}
			f.domain.since = 0
			return false
		}
	}
	if f.state != beaconer.StateReady {
		return false
	}
	if f.domain.since == 0 {
		f.domain.since = now.UnixNano()
		klog.InfoS("speaks for its failure domain", "domain", f.self.FailureDomain)
	}
	return true
}

// speech returns the beacon of the whole failure domain. The lock must be held.
func (f *Follower) speech(now time.Time, own beaconer.Beacon) beaconer.Beacon {
	spent := maps.Clone(own.Spent)
	if spent == nil {
		spent = map[string]float64{}
	}
	for _, other := range f.domain.spent {
		addAll(spent, other.current)
		addAll(spent, other.retired)
	}
	relays := []netip.AddrPort{f.self.Relay}
	count := 1
	for _, other := range f.instances {
		if other.FailureDomain == f.self.FailureDomain && now.Sub(other.heard) < instanceSilence {
			count++
			if other.state == beaconer.StateReady {
				relays = append(relays, other.Relay)
			}
		}
	}
	own.Spent = spent
	own.Zone = &beaconer.Zone{Since: f.domain.since, Relays: relays, Instances: count}
	return own
}

// hearZone takes in what a speaker says of its failure domain. The lock must be
// held.
func (f *Follower) hearZone(now time.Time, beacon beaconer.Beacon) {
	name := "domain/" + beacon.FailureDomain
	known := f.zones[beacon.FailureDomain]
	if !known.believes(now, beacon) {
		return
	}
	next := zone{Zone: *beacon.Zone, region: beacon.Region, speaker: beacon.Name, heard: now, term: known.term}
	if known.speaker != beacon.Name || known.Since != beacon.Zone.Since {
		next.term++
		klog.InfoS("failure domain", "domain", beacon.FailureDomain, "speaker", beacon.Name, "before", known.speaker, "instances", beacon.Zone.Instances)
	}
	if beacon.State != beaconer.StateReady {
		next.heard = time.Time{} // the next one is believed at once
	}
	f.zones[beacon.FailureDomain] = next
	for other, known := range f.instances {
		if known.FailureDomain == beacon.FailureDomain {
			f.quotas.Forget(other) // it is counted in the sum
		}
	}
	f.quotas.Hear(now, apportioner.Word{
		Name: name, Instances: beacon.Zone.Instances, Incarnation: next.term, Spent: beacon.Spent, Levels: beacon.Levels,
	})
	if beacon.Region == f.self.Region {
		f.placer.HearLoads(now, name, false, beacon.Loads)
		f.placer.HearReadings(now, false, beacon.Readings)
		return
	}
	f.placer.HearRegion(now, beacon.Region, beacon.Services)
}

// quiet reports whether a control instance is asked without haste: one of
// another region, in a large fleet. The lock must be held.
func (f *Follower) quiet(s *source) bool {
	return f.many() && s.region != "" && s.region != f.self.Region
}
