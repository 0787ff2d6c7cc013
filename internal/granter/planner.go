package granter

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Durations of leases.
const (
	// LeaseDuration is how long a holder may use the leased parts of its grants,
	// counted from when it sent the sync that renewed them.
	LeaseDuration = 15 * time.Second
	// MaxClockDrift is the largest difference between two clocks that is allowed
	// for over one lease.
	MaxClockDrift = 3 * time.Second
	// SyncInterval is the time between two syncs of a holder whose grants do not
	// change.
	SyncInterval = 5 * time.Second
)

// floorFraction is the part of a workspace's total that is divided as floors,
// which holders keep without contact.
const floorFraction = 0.5

// idleDemandFraction is a demand that is added for all holders together, as a part
// of the workspace's total rate, so that a holder without requests gets a lease
// too.
const idleDemandFraction = 0.1

// demandMoveThreshold is the part of the total leased rate that must have to move
// between holders before demand alone causes a new plan.
const demandMoveThreshold = 0.2

// demandMoveInterval is the least time between a plan and the next one that demand
// alone causes.
const demandMoveInterval = 5 * time.Second

// Planner decides what the grants of a [Ledger] should be. Only the leading keeper
// runs one, with a new planner in each term. A new planner does not know which
// leases its predecessor renewed, so it waits for a whole lease and the drift of
// clocks before it takes anything back. It is not safe for concurrent use.
type Planner struct {
	startedAt time.Time
	// instances maps an instance's name to its last sync.
	instances map[string]instanceState
	// demandByWorkspace holds the requested rate in tokens per second, by workspace
	// and instance name.
	demandByWorkspace map[string]map[string]float64
	// lastPlanned maps a workspace to when its last plan was made.
	lastPlanned map[string]time.Time

	// queue are the workspaces to examine, oldest first; inQueue has the same ones.
	queue   []string
	inQueue map[string]bool
	// lastScan is when all workspaces were last queued, and liveAtLastScan the names
	// of the instances that were live then.
	liveAtLastScan string
	lastScan       time.Time
}

// instanceState is what the planner knows of an instance.
type instanceState struct {
	instance Instance
	lastSync time.Time
	// reclaiming is true while the leased parts of the instance's grants are being
	// taken back.
	reclaiming bool
}

// NewPlanner returns the planner of a term that begins now.
func NewPlanner(now time.Time) *Planner {
	return &Planner{
		startedAt:         now,
		instances:         map[string]instanceState{},
		demandByWorkspace: map[string]map[string]float64{},
		lastPlanned:       map[string]time.Time{},
		inQueue:           map[string]bool{},
	}
}

// fullScanInterval is the time after which all workspaces are examined again, even
// when nothing is known to have changed.
const fullScanInterval = time.Minute

// Enqueue queues a workspace for examination because something about it has
// changed. A workspace that is queued already keeps its place.
func (p *Planner) Enqueue(workspace string) {
	if p.inQueue[workspace] {
		return
	}
	p.inQueue[workspace] = true
	p.queue = append(p.queue, workspace)
}

// NextBatch removes up to limit workspaces from the queue and returns them. First
// it queues all workspaces if the set of live instances has changed or the last
// full scan is too long ago.
func (p *Planner) NextBatch(now time.Time, ledger *Ledger, limit int) []string {
	live := p.liveNames(now)
	if live != p.liveAtLastScan || now.Sub(p.lastScan) >= fullScanInterval {
		p.liveAtLastScan = live
		p.lastScan = now
		for _, workspace := range slices.Sorted(maps.Keys(ledger.Accounts)) {
			p.Enqueue(workspace)
		}
	}
	batch := p.queue[:min(limit, len(p.queue))]
	p.queue = slices.Clone(p.queue[len(batch):])
	for _, workspace := range batch {
		delete(p.inQueue, workspace)
	}
	return batch
}

// liveNames returns the sorted names of the live instances as one string.
func (p *Planner) liveNames(now time.Time) string {
	var names []string
	for _, instance := range p.LiveInstances(now) {
		names = append(names, instance.Name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// RenewLease records a sync of an instance and reports whether its lease may be
// renewed. It reports false while the instance's leased parts are being taken
// back.
func (p *Planner) RenewLease(now time.Time, instance Instance) bool {
	state := p.instances[instance.Name]
	if state.reclaiming {
		return false
	}
	p.instances[instance.Name] = instanceState{instance: instance, lastSync: now}
	return true
}

// RecordDemand records the rate that callers request of a workspace at an
// instance, in tokens per second, and queues the workspace.
func (p *Planner) RecordDemand(instance, workspace string, rate float64) {
	if p.demandByWorkspace[workspace] == nil {
		p.demandByWorkspace[workspace] = map[string]float64{}
	}
	p.demandByWorkspace[workspace][instance] = rate
	p.Enqueue(workspace)
}

// MarkSurrendered records that an instance has given up its leased parts. Its lease
// is not renewed until ConfirmReclaimed is called.
func (p *Planner) MarkSurrendered(instance string) {
	state := p.instances[instance]
	state.reclaiming = true
	p.instances[instance] = state
}

// ExpiredInstances returns the names of the instances whose leased parts must be
// taken back, sorted. Their leases are not renewed until ConfirmReclaimed is
// called. Until then every call returns them again, so that a proposal with an
// unknown outcome is repeated.
func (p *Planner) ExpiredInstances(now time.Time, ledger *Ledger) []string {
	for name := range instancesWithLeases(ledger) {
		state := p.instances[name]
		lastSync := state.lastSync
		if lastSync.Before(p.startedAt) {
			lastSync = p.startedAt
		}
		if now.Sub(lastSync) > LeaseDuration+MaxClockDrift {
			state.reclaiming = true
			p.instances[name] = state
		}
	}
	var expired []string
	for name, state := range p.instances {
		if state.reclaiming {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

// instancesWithLeases returns the names of the instances that have leased parts.
func instancesWithLeases(ledger *Ledger) map[string]bool {
	instances := map[string]bool{}
	for _, account := range ledger.Accounts {
		for name, grant := range account.Grants {
			if grant.Granted.Leased != (Quota{}) {
				instances[name] = true
			}
		}
	}
	return instances
}

// ConfirmReclaimed records that the expiry of an instance's leases was committed.
// The planner forgets the instance until its next sync.
func (p *Planner) ConfirmReclaimed(instance string) {
	delete(p.instances, instance)
}

// LiveInstances returns the instances that have synced within the last lease and
// whose leased parts are not being taken back, in no particular order.
func (p *Planner) LiveInstances(now time.Time) []Instance {
	var live []Instance
	for _, state := range p.instances {
		if !state.reclaiming && now.Sub(state.lastSync) <= LeaseDuration {
			live = append(live, state.instance)
		}
	}
	return live
}

// Plan returns the plan that a workspace needs, or nil when it needs none or there
// is no live instance to hold a grant. Holders that are out of contact keep their
// floors.
func (p *Planner) Plan(now time.Time, ledger *Ledger, workspace, homeRegion string) *Plan {
	holders := Holders(workspace, homeRegion, p.LiveInstances(now))
	current := ledger.Accounts[workspace]
	if current == nil || len(holders) == 0 {
		return nil
	}
	shares := p.divide(current, workspace, holders)
	for name, grant := range current.Grants {
		if _, planned := shares[name]; !planned {
			shares[name] = p.nonHolderShare(now, name, grant, homeRegion)
		}
	}
	if !p.shouldPlan(now, current, workspace, shares) {
		if current.hasShortfall() {
			p.Enqueue(workspace)
		}
		return nil
	}
	p.lastPlanned[workspace] = now
	// A later plan grants to others what holders give up because of this one.
	p.Enqueue(workspace)
	return &Plan{Workspace: workspace, Shares: shares}
}

// nonHolderShare returns the share of an instance that has a grant but is not among
// the live holders. One that may be partitioned keeps its floor. One that is live
// but no longer chosen, or known to be outside the home region, gets nothing.
func (p *Planner) nonHolderShare(now time.Time, name string, grant *Grant, homeRegion string) Share {
	state, known := p.instances[name]
	alive := known && now.Sub(state.lastSync) <= LeaseDuration
	outsideHome := homeRegion != "" && known && state.instance.Region != homeRegion
	if alive || outsideHome {
		return Share{}
	}
	return Share{Floor: grant.Granted.Floor.Min(grant.Target.Floor)}
}

// divide returns the share of each holder by name: one half of the total is divided
// evenly as floors, the other half by demand as leases.
func (p *Planner) divide(current *account, workspace string, holders []Instance) map[string]Share {
	floor := current.Total.Scale(floorFraction / float64(len(holders)))
	leased := current.Total.Scale(1 - floorFraction)
	totalWeight := 0.0
	baseWeight := current.Total.RateTokens()*idleDemandFraction/float64(len(holders)) + 1
	weight := func(holder Instance) float64 { return p.demandByWorkspace[workspace][holder.Name] + baseWeight }
	for _, holder := range holders {
		totalWeight += weight(holder)
	}
	shares := map[string]Share{}
	for _, holder := range holders {
		shares[holder.Name] = Share{Floor: floor, Leased: leased.Scale(weight(holder) / totalWeight)}
	}
	return shares
}

// shouldPlan reports whether these shares are worth a plan: when they change the
// set of holders, a floor or the total; when they fill a shortfall from what is
// free; or when demand moves enough of the leased rate. A plan for a shortfall
// follows the last plan by a second at least, one for demand by
// demandMoveInterval.
func (p *Planner) shouldPlan(now time.Time, current *account, workspace string, shares map[string]Share) bool {
	if len(shares) != len(current.Grants) {
		return true
	}
	leasedToMove := Quota{}
	for name, share := range shares {
		grant := current.Grants[name]
		if grant == nil || grant.Target.Floor != share.Floor || grant.Total != current.Total {
			return true
		}
		leasedToMove = leasedToMove.Add(share.Leased.Sub(grant.Target.Leased).atLeastZero())
	}
	if current.hasShortfall() && current.free().atLeastZero() != (Quota{}) {
		return now.Sub(p.lastPlanned[workspace]) >= time.Second
	}
	demandMoved := float64(leasedToMove.Rate) > demandMoveThreshold*(1-floorFraction)*float64(current.Total.Rate)
	return demandMoved && now.Sub(p.lastPlanned[workspace]) >= demandMoveInterval
}

// hasShortfall reports whether a grant is below its target although some of the
// total is free.
func (a *account) hasShortfall() bool {
	free := a.free()
	for _, grant := range a.Grants {
		missing := grant.Target.Sum().Sub(grant.Granted.Sum())
		if missing.Rate > 0 && free.Rate > 0 || missing.Burst > 0 && free.Burst > 0 {
			return true
		}
	}
	return false
}

// ForgetWorkspaces drops what is known of the workspaces for which exists reports
// false.
func (p *Planner) ForgetWorkspaces(exists func(workspace string) bool) {
	maps.DeleteFunc(p.demandByWorkspace, func(workspace string, _ map[string]float64) bool { return !exists(workspace) })
	maps.DeleteFunc(p.lastPlanned, func(workspace string, _ time.Time) bool { return !exists(workspace) })
}
