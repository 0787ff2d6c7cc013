package granter

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Times of leases.
const (
	// Lease is how long a holder may use its leased part after it asked.
	Lease = 15 * time.Second
	// Drift is what clocks may differ by over one lease.
	Drift = 3 * time.Second
	// SyncInterval is how often a holder asks.
	SyncInterval = 5 * time.Second
)

// floorShare is the part of the whole that holders keep without contact.
const floorShare = 0.5

// idleShare is the demand that is assumed of all holders together, as a part
// of the whole, so that one that is asked nothing yet has something.
const idleShare = 0.1

// replanShare is the part of the leased whole that must be misplaced before
// demand alone moves it.
const replanShare = 0.2

// demandInterval is the least time between two moves by demand.
const demandInterval = 5 * time.Second

// Planner decides what grants should become. Only the leader of the keepers
// runs one; it starts empty with every leadership and therefore waits a whole
// lease before it takes anything back.
type Planner struct {
	started  time.Time
	contacts map[string]contact
	demand   map[string]map[string]float64
	moved    map[string]time.Time

	// waiting are the workspaces to look at, oldest first.
	waiting []string
	queued  map[string]bool
	// live is who was live when all workspaces were last queued, and when.
	live   string
	looked time.Time
}

// contact is when an instance last asked.
type contact struct {
	instance Instance
	heard    time.Time
	lapsing  bool
}

// NewPlanner returns the planner of a leadership that begins now.
func NewPlanner(now time.Time) *Planner {
	return &Planner{
		started:  now,
		contacts: map[string]contact{},
		demand:   map[string]map[string]float64{},
		moved:    map[string]time.Time{},
		queued:   map[string]bool{},
	}
}

// fullLook is the time after which all workspaces are looked at again, also
// when nothing is known to have changed.
const fullLook = time.Minute

// Touch queues a workspace: something about it has changed.
func (p *Planner) Touch(workspace string) {
	if p.queued[workspace] {
		return
	}
	p.queued[workspace] = true
	p.waiting = append(p.waiting, workspace)
}

// Due returns the workspaces to look at now, at most so many. All are due when
// an instance has come or gone; otherwise those that were touched.
func (p *Planner) Due(now time.Time, ledger *Ledger, most int) []string {
	live := p.liveNames(now)
	if live != p.live || now.Sub(p.looked) >= fullLook {
		p.live = live
		p.looked = now
		for _, workspace := range slices.Sorted(maps.Keys(ledger.Accounts)) {
			p.Touch(workspace)
		}
	}
	due := p.waiting[:min(most, len(p.waiting))]
	p.waiting = slices.Clone(p.waiting[len(due):])
	for _, workspace := range due {
		delete(p.queued, workspace)
	}
	return due
}

func (p *Planner) liveNames(now time.Time) string {
	var names []string
	for _, instance := range p.Live(now) {
		names = append(names, instance.Name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Renew notes that an instance asked. It reports false while the instance's
// leased parts are being taken back: its lease must not be renewed then.
func (p *Planner) Renew(now time.Time, instance Instance) bool {
	known := p.contacts[instance.Name]
	if known.lapsing {
		return false
	}
	p.contacts[instance.Name] = contact{instance: instance, heard: now}
	return true
}

// Demand notes what an instance was asked for, in tokens per second.
func (p *Planner) Demand(instance, workspace string, rate float64) {
	if p.demand[workspace] == nil {
		p.demand[workspace] = map[string]float64{}
	}
	p.demand[workspace][instance] = rate
	p.Touch(workspace)
}

// Surrender notes that an instance has given its leased parts up. They are
// not renewed until Reclaimed is called.
func (p *Planner) Surrender(instance string) {
	known := p.contacts[instance]
	known.lapsing = true
	p.contacts[instance] = known
}

// Lapsed returns the instances whose leased parts must be taken back, sorted,
// and refuses to renew them until Reclaimed is called. An instance is named
// again until then: a proposal whose outcome is unknown is made once more.
func (p *Planner) Lapsed(now time.Time, ledger *Ledger) []string {
	for name := range leaseholders(ledger) {
		known := p.contacts[name]
		heard := known.heard
		if heard.Before(p.started) {
			heard = p.started
		}
		if now.Sub(heard) > Lease+Drift {
			known.lapsing = true
			p.contacts[name] = known
		}
	}
	var lapsed []string
	for name, known := range p.contacts {
		if known.lapsing {
			lapsed = append(lapsed, name)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// leaseholders returns the instances that have leased parts.
func leaseholders(ledger *Ledger) map[string]bool {
	holders := map[string]bool{}
	for _, account := range ledger.Accounts {
		for name, grant := range account.Grants {
			if grant.Granted.Leased != (Amount{}) {
				holders[name] = true
			}
		}
	}
	return holders
}

// Reclaimed notes that a lapse was accepted.
func (p *Planner) Reclaimed(instance string) {
	delete(p.contacts, instance)
}

// Live returns the instances that asked within a lease.
func (p *Planner) Live(now time.Time) []Instance {
	var live []Instance
	for _, known := range p.contacts {
		if !known.lapsing && now.Sub(known.heard) <= Lease {
			live = append(live, known.instance)
		}
	}
	return live
}

// Plan returns the plan of a workspace, or nil when the ledger is as it
// should be. Holders that are silent keep their floor.
func (p *Planner) Plan(now time.Time, ledger *Ledger, workspace, homeRegion string) *Plan {
	holders := Holders(workspace, homeRegion, p.Live(now))
	current := ledger.Accounts[workspace]
	if current == nil || len(holders) == 0 {
		return nil
	}
	shares := p.shares(current, workspace, holders)
	for name, grant := range current.Grants {
		if _, planned := shares[name]; !planned {
			shares[name] = p.silentShare(now, name, grant, homeRegion)
		}
	}
	if !p.worthwhile(now, current, workspace, shares) {
		if current.short() {
			p.Touch(workspace)
		}
		return nil
	}
	p.moved[workspace] = now
	p.Touch(workspace) // to raise from what holders have lowered since
	return &Plan{Workspace: workspace, Shares: shares}
}

// silentShare keeps the floor of a holder that may be cut off, and ends the
// grant of one that is alive but no longer chosen.
func (p *Planner) silentShare(now time.Time, name string, grant *Grant, homeRegion string) Share {
	known, heard := p.contacts[name]
	alive := heard && now.Sub(known.heard) <= Lease
	misplaced := homeRegion != "" && heard && known.instance.Region != homeRegion
	if alive || misplaced {
		return Share{}
	}
	return Share{Floor: grant.Granted.Floor.Min(grant.Target.Floor)}
}

// shares divides the whole: half evenly as floors, half by demand as leases.
func (p *Planner) shares(current *account, workspace string, holders []Instance) map[string]Share {
	floors := current.Whole.Scale(floorShare / float64(len(holders)))
	leased := current.Whole.Scale(1 - floorShare)
	total := 0.0
	base := current.Whole.RateTokens()*idleShare/float64(len(holders)) + 1
	weight := func(holder Instance) float64 { return p.demand[workspace][holder.Name] + base }
	for _, holder := range holders {
		total += weight(holder)
	}
	shares := map[string]Share{}
	for _, holder := range holders {
		shares[holder.Name] = Share{Floor: floors, Leased: leased.Scale(weight(holder) / total)}
	}
	return shares
}

// worthwhile reports whether a plan changes who holds, repairs a shortfall
// from what is free, or moves enough by demand.
func (p *Planner) worthwhile(now time.Time, current *account, workspace string, shares map[string]Share) bool {
	if len(shares) != len(current.Grants) {
		return true
	}
	misplaced := Amount{}
	for name, share := range shares {
		grant := current.Grants[name]
		if grant == nil || grant.Target.Floor != share.Floor || grant.Whole != current.Whole {
			return true
		}
		misplaced = misplaced.Plus(share.Leased.Minus(grant.Target.Leased).floorAtZero())
	}
	if current.short() && current.free().floorAtZero() != (Amount{}) {
		return now.Sub(p.moved[workspace]) >= time.Second
	}
	moving := float64(misplaced.Rate) > replanShare*(1-floorShare)*float64(current.Whole.Rate)
	return moving && now.Sub(p.moved[workspace]) >= demandInterval
}

// short reports whether a grant is below its target while there is free.
func (a *account) short() bool {
	free := a.free()
	for _, grant := range a.Grants {
		missing := grant.Target.Sum().Minus(grant.Granted.Sum())
		if missing.Rate > 0 && free.Rate > 0 || missing.Burst > 0 && free.Burst > 0 {
			return true
		}
	}
	return false
}

// Forget drops what is known of workspaces that no longer exist.
func (p *Planner) Forget(exists func(workspace string) bool) {
	maps.DeleteFunc(p.demand, func(workspace string, _ map[string]float64) bool { return !exists(workspace) })
	maps.DeleteFunc(p.moved, func(workspace string, _ time.Time) bool { return !exists(workspace) })
}
