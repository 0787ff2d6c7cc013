// Package apportioner keeps workspaces inside their quotas over all entry
// instances, without a coordinator in the path of a request.
//
// The one idea: every instance keeps the bucket of the whole fleet and debits
// it with its own spending at once and with that of the others as their beacons
// tell it. What a silent instance may be spending unseen is debited as its even
// share, and an instance that hears no one keeps to its own share, so that the
// parts of a partitioned fleet together stay within the whole.
package apportioner

import (
	"maps"
	"time"
)

// Times of what the others tell.
const (
	// freshness is how long a beacon counts. Within it, what its sender has
	// spent since is extrapolated; after it, the sender counts as silent.
	freshness = 1500 * time.Millisecond
	// memory is how long a silent instance is assumed to spend its share.
	memory = 30 * time.Second
	// paceWeight is the weight of the newest beacon in the average of what an
	// instance spends a second.
	paceWeight = 0.4
	// defaultWait is when to come back to a bucket that does not fill.
	defaultWait = time.Second
)

// Quota is what a workspace may spend over the whole fleet.
type Quota struct {
	// Rate is a second; 0 does not bound.
	Rate  float64
	Burst float64
}

// Apportioner holds the buckets as one instance sees them. The zero value
// bounds nothing. It is not safe for concurrent use.
type Apportioner struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	// spent is what this instance has spent since it started.
	spent map[string]float64
}

type bucket struct {
	Quota
	level  float64
	filled time.Time
}

// peer is another instance.
type peer struct {
	// weight is how many instances it speaks for.
	weight      int
	incarnation int64
	heard       time.Time
	spent       map[string]float64
	pace        map[string]float64
	// assumed is what it was taken to have spent when it fell silent.
	assumed map[string]float64
}

// startShare of a bucket is there when it is new: after a restart of the whole
// fleet nobody knows what was spent before, and an empty bucket would refuse what
// is within the quota. Where others know better, their word counts: see Hear.
const startShare = 0.5

// Set replaces the quotas.
func (a *Apportioner) Set(now time.Time, quotas map[string]Quota) {
	if a.buckets == nil {
		a.buckets = map[string]*bucket{}
		a.spent = map[string]float64{}
	}
	a.fill(now)
	maps.DeleteFunc(a.buckets, func(name string, _ *bucket) bool { return quotas[name].Rate <= 0 })
	for name, quota := range quotas {
		if quota.Rate <= 0 {
			continue
		}
		b, known := a.buckets[name]
		if !known {
			b = &bucket{filled: now, level: startShare * quota.Burst}
			a.buckets[name] = b
		}
		b.Quota = quota
		b.level = min(b.level, quota.Burst)
	}
}

// fill refills every bucket up to now.
func (a *Apportioner) fill(now time.Time) {
	silent := a.silent(now)
	share := 1 - float64(silent)/float64(a.instances())
	for _, b := range a.buckets {
		if elapsed := now.Sub(b.filled); elapsed > 0 {
			b.level = min(b.level+elapsed.Seconds()*b.Rate*share, b.Burst)
			b.filled = now
		}
	}
}

// silent counts the instances whose spending is not known, and forgets those
// that have been silent for long.
func (a *Apportioner) silent(now time.Time) int {
	count := 0
	for name, p := range a.peers {
		switch age := now.Sub(p.heard); {
		case age > memory:
			delete(a.peers, name)
		case age > freshness:
			count += p.weight
			a.assume(p)
		}
	}
	return count
}

// instances returns how many instances are known, this one among them.
func (a *Apportioner) instances() int {
	total := 1
	for _, p := range a.peers {
		total += p.weight
	}
	return total
}

// assume debits what an instance that has just fallen silent has most likely
// spent since it was last heard.
func (a *Apportioner) assume(p *peer) {
	if p.assumed != nil {
		return
	}
	p.assumed = map[string]float64{}
	for name, b := range a.buckets {
		amount := min(p.pace[name], b.Rate) * freshness.Seconds()
		p.assumed[name] = amount
		b.level -= amount
	}
}

// Take spends a cost, or returns when to come back. A cost above the whole
// burst passes once the bucket is full, and leaves it in debt.
func (a *Apportioner) Take(now time.Time, workspace string, cost float64) (wait time.Duration, ok bool) {
	b, bounded := a.buckets[workspace]
	if !bounded {
		return 0, true
	}
	a.fill(now)
	missing := min(cost, b.Burst) - (b.level - a.unseen(now, workspace, b.Rate))
	if missing > 0 {
		return waitFor(missing, b.Rate), false
	}
	b.level -= cost
	a.spent[workspace] += cost
	return 0, true
}

func waitFor(missing, rate float64) time.Duration {
	if rate <= 0 {
		return defaultWait
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// unseen estimates what the others have spent since their last beacons.
func (a *Apportioner) unseen(now time.Time, workspace string, rate float64) float64 {
	total := 0.0
	for _, p := range a.peers {
		age := now.Sub(p.heard)
		if age <= freshness {
			total += min(p.pace[workspace], rate) * age.Seconds()
		}
	}
	return total
}

// Refund gives back the cost of a request that did not run.
func (a *Apportioner) Refund(workspace string, cost float64) {
	b, bounded := a.buckets[workspace]
	if !bounded {
		return
	}
	b.level = min(b.level+cost, b.Burst)
	a.spent[workspace] -= cost
}

// Spent returns what this instance has spent since it started.
func (a *Apportioner) Spent() map[string]float64 {
	return maps.Clone(a.spent)
}

// Levels returns what this instance believes to be left.
func (a *Apportioner) Levels() map[string]float64 {
	levels := make(map[string]float64, len(a.buckets))
	for name, b := range a.buckets {
		levels[name] = b.level
	}
	return levels
}

// Word is what another instance, or one that speaks for several, says of the
// quotas.
type Word struct {
	Name string
	// Instances is how many it speaks for.
	Instances   int
	Incarnation int64
	// Spent is since the incarnation began, and Levels what is believed to be
	// left.
	Spent  map[string]float64
	Levels map[string]float64
}

// Hear takes in what another instance has spent since it started, and what it
// believes to be left. The first word of an incarnation sets the point from which
// its spending is counted; what it believes then is taken over if it is less.
func (a *Apportioner) Hear(now time.Time, word Word) {
	if a.peers == nil {
		a.peers = map[string]*peer{}
	}
	a.fill(now)
	p, known := a.peers[word.Name]
	if known && word.Incarnation < p.incarnation {
		return
	}
	if !known || word.Incarnation > p.incarnation {
		a.peers[word.Name] = &peer{
			weight: max(word.Instances, 1), incarnation: word.Incarnation, heard: now,
			spent: maps.Clone(word.Spent), pace: map[string]float64{},
		}
		for workspace, level := range word.Levels {
			if b, bounded := a.buckets[workspace]; bounded {
				b.level = min(b.level, level)
			}
		}
		return
	}
	elapsed := now.Sub(p.heard).Seconds()
	for workspace, total := range word.Spent {
		a.debit(p, workspace, total-p.spent[workspace], elapsed)
	}
	p.spent, p.heard, p.assumed, p.weight = maps.Clone(word.Spent), now, nil, max(word.Instances, 1)
}

func (a *Apportioner) debit(p *peer, workspace string, amount, elapsed float64) {
	if elapsed > 0 {
		p.pace[workspace] += paceWeight * (max(amount, 0)/elapsed - p.pace[workspace])
	}
	b, bounded := a.buckets[workspace]
	if !bounded {
		return
	}
	if elapsed > freshness.Seconds() {
		// Its even share was debited while it was silent.
		covered := b.Rate*float64(p.weight)/float64(a.instances())*(elapsed-freshness.Seconds()) + p.assumed[workspace]
		amount = max(amount-covered, 0)
	}
	b.level = min(b.level-amount, b.Burst)
}

// Forget drops an instance that has ended in order: it spends nothing more.
func (a *Apportioner) Forget(name string) {
	delete(a.peers, name)
}
