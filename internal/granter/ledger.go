// Package granter divides the total rate and burst of each workspace into grants
// for entry instances, so that all instances together never let through more than
// that total.
//
// The invariant is that free and granted amounts always add up to the total. A
// holder first lowers its own use, and only its [Reduction] then reduces the
// grant; a grant is raised only from what is free. The [Ledger] is a
// deterministic state machine over a replicated log, and the [Planner] decides
// which grants it should have.
package granter

import (
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// unitsPerToken is the number of units of a [Quota] in one token.
const unitsPerToken = 1000

// Quota is a rate, in thousandths of a token per second, and a burst, in
// thousandths of a token. They are integers so that sums are exact.
type Quota struct {
	Rate  int64 `cbor:"r" json:"rate"`
	Burst int64 `cbor:"b" json:"burst"`
}

// FromTokens returns the quota of a rate in tokens per second and a burst in
// tokens, each rounded down to a thousandth.
func FromTokens(rate, burst float64) Quota {
	return Quota{Rate: int64(math.Floor(rate * unitsPerToken)), Burst: int64(math.Floor(burst * unitsPerToken))}
}

// RateTokens returns the rate in tokens per second.
func (a Quota) RateTokens() float64 { return float64(a.Rate) / unitsPerToken }

// BurstTokens returns the burst in tokens.
func (a Quota) BurstTokens() float64 { return float64(a.Burst) / unitsPerToken }

// Add returns the sum of two quotas.
func (a Quota) Add(b Quota) Quota {
	return Quota{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst}
}

// Sub returns the difference of two quotas, which may be negative.
func (a Quota) Sub(b Quota) Quota {
	return Quota{Rate: a.Rate - b.Rate, Burst: a.Burst - b.Burst}
}

// Min returns the smaller rate and the smaller burst of two amounts.
func (a Quota) Min(b Quota) Quota {
	return Quota{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}

// Scale returns the amount with both parts multiplied by a share and truncated.
func (a Quota) Scale(share float64) Quota {
	return Quota{Rate: int64(float64(a.Rate) * share), Burst: int64(float64(a.Burst) * share)}
}

// atLeastZero returns the amount with negative parts replaced by zero.
func (a Quota) atLeastZero() Quota {
	return Quota{Rate: max(a.Rate, 0), Burst: max(a.Burst, 0)}
}

// Share is the part of a workspace's total that one instance has or should have.
type Share struct {
	// Floor is what the instance keeps when it is out of contact. It is taken
	// back only with the instance's [Reduction], or when an operator declares the
	// instance gone.
	Floor Quota `cbor:"f" json:"floor"`
	// Leased expires when the instance is out of contact for longer than a lease.
	Leased Quota `cbor:"l" json:"leased"`
}

// Sum returns the floor and the leased part together.
func (s Share) Sum() Quota { return s.Floor.Add(s.Leased) }

// min returns the smaller of each part of two shares.
func (s Share) min(other Share) Share {
	return Share{Floor: s.Floor.Min(other.Floor), Leased: s.Leased.Min(other.Leased)}
}

// Grant is what one instance may use of one workspace's total.
type Grant struct {
	Workspace string `cbor:"w" json:"workspace"`
	Instance  string `cbor:"i" json:"instance"`
	Granted   Share  `cbor:"g" json:"granted"`
	// Target is what the holder should have. A holder lowers its use to it at
	// once. Granted is lowered with the holder's [Reduction] and raised when
	// enough is free.
	Target Share `cbor:"t" json:"target"`
	// Version is the log index of the last change of the grant. A [Reduction] for
	// an earlier version is ignored.
	Version uint64 `cbor:"v" json:"version"`
	// Total is the workspace's total when the target was set.
	Total Quota `cbor:"a" json:"whole"`
}

// Allowed returns what the holder may use now: of each part the smaller of what is
// granted and the target.
func (g Grant) Allowed() Share { return g.Granted.min(g.Target) }

// account is the total of one workspace with its grants by instance name.
type account struct {
	Total  Quota             `cbor:"whole"`
	Grants map[string]*Grant `cbor:"grants"`
}

// Ledger holds the accounts of all workspaces by name. The zero value is empty and
// ready to use. It is not safe for concurrent use.
type Ledger struct {
	Accounts map[string]*account `cbor:"accounts"`
}

// Command is one change of the ledger. Exactly one of its fields is set.
type Command struct {
	Plan         *Plan         `cbor:"plan,omitempty"`
	Reduce       *Reduce       `cbor:"lower,omitempty"`
	ExpireLeases *ExpireLeases `cbor:"lapse,omitempty"`
	Remove       *Remove       `cbor:"remove,omitempty"`
}

// Plan sets the targets of all grants of one workspace: the share of each holder by
// name. The target of an instance that is not listed becomes zero.
type Plan struct {
	Workspace string           `cbor:"w"`
	Shares    map[string]Share `cbor:"s"`
}

// Reduce reduces grants of a holder that already uses no more than the
// [Reduction] of each allows.
type Reduce struct {
	Instance   string      `cbor:"i"`
	Reductions []Reduction `cbor:"c"`
}

// Reduction is a holder's confirmation that it uses no more than To of a workspace.
// Version is the version of the grant that it has applied.
type Reduction struct {
	Workspace string `cbor:"w"`
	Version   uint64 `cbor:"v"`
	To        Share  `cbor:"t"`
}

// ExpireLeases takes back the leased parts of all grants of an instance: one that
// has been out of contact for longer than the lease and the drift of clocks, or
// has given them up.
type ExpireLeases struct {
	Instance string `cbor:"i"`
}

// Remove takes back all grants of an instance that an operator has declared gone
// for good.
type Remove struct {
	Instance string `cbor:"i"`
}

// SetTotal sets the total of a workspace. The grants change with the next plan.
func (l *Ledger) SetTotal(workspace string, total Quota) {
	if l.Accounts == nil {
		l.Accounts = map[string]*account{}
	}
	existing, known := l.Accounts[workspace]
	if !known {
		l.Accounts[workspace] = &account{Total: total, Grants: map[string]*Grant{}}
		return
	}
	existing.Total = total
}

// Apply executes the command that stands in the log at index. It is deterministic:
// commands and changes of totals in the same order give the same ledger.
func (l *Ledger) Apply(index uint64, command Command) {
	switch {
	case command.Plan != nil:
		l.applyPlan(index, *command.Plan)
	case command.Reduce != nil:
		l.applyReduce(index, *command.Reduce)
	case command.ExpireLeases != nil:
		l.forEachGrant(command.ExpireLeases.Instance, func(grant *Grant) {
			grant.update(index, Share{Floor: grant.Granted.Floor}, grant.Target)
		})
	case command.Remove != nil:
		l.forEachGrant(command.Remove.Instance, func(grant *Grant) { grant.update(index, Share{}, Share{}) })
	}
}

// Free returns what is not granted of a workspace's total. It is negative after a
// cut of the total, until the holders have confirmed that they use less.
func (l *Ledger) Free(workspace string) Quota {
	account, known := l.Accounts[workspace]
	if !known {
		return Quota{}
	}
	return account.free()
}

// free returns what is not granted; see [Ledger.Free].
func (a *account) free() Quota {
	free := a.Total
	for _, grant := range a.Grants {
		free = free.Sub(grant.Granted.Sum())
	}
	return free
}

// applyPlan sets the targets of all grants of a workspace and raises grants
// towards them, in the order of the instances' names, as far as enough is free.
// Grants above their target stay until their holders confirm a reduction.
func (l *Ledger) applyPlan(index uint64, plan Plan) {
	account, known := l.Accounts[plan.Workspace]
	if !known {
		return
	}
	for instance := range plan.Shares {
		if account.Grants[instance] == nil {
			account.Grants[instance] = &Grant{Workspace: plan.Workspace, Instance: instance}
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(account.Grants)) {
		grant := account.Grants[instance]
		grant.update(index, grant.Granted, plan.Shares[instance])
		if grant.Total != account.Total {
			grant.Total = account.Total
			grant.Version = index
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(account.Grants)) {
		account.raiseTowardsTarget(index, account.Grants[instance])
	}
	account.removeEmptyGrants()
	if len(account.Grants) == 0 && account.Total == (Quota{}) {
		delete(l.Accounts, plan.Workspace)
	}
}

// raiseTowardsTarget raises a grant up to its target, as far as enough is free:
// first the floor, then the leased part.
func (a *account) raiseTowardsTarget(index uint64, grant *Grant) {
	free := a.free().atLeastZero()
	floorRaise := grant.Target.Floor.Sub(grant.Granted.Floor).atLeastZero().Min(free)
	free = free.Sub(floorRaise)
	leasedRaise := grant.Target.Leased.Sub(grant.Granted.Leased).atLeastZero().Min(free)
	granted := Share{Floor: grant.Granted.Floor.Add(floorRaise), Leased: grant.Granted.Leased.Add(leasedRaise)}
	grant.update(index, granted, grant.Target)
}

// removeEmptyGrants deletes the grants of which neither anything is granted nor a
// target set.
func (a *account) removeEmptyGrants() {
	maps.DeleteFunc(a.Grants, func(_ string, grant *Grant) bool {
		return grant.Granted == Share{} && grant.Target == Share{}
	})
}

// applyReduce reduces the grants for which a holder has confirmed a reduction,
// except those that have changed since the version that it has applied.
func (l *Ledger) applyReduce(index uint64, reduce Reduce) {
	for _, reduction := range reduce.Reductions {
		account, known := l.Accounts[reduction.Workspace]
		if !known {
			continue
		}
		grant := account.Grants[reduce.Instance]
		if grant == nil || grant.Version != reduction.Version {
			continue
		}
		grant.update(index, grant.Granted.min(reduction.To), grant.Target)
	}
}

// update sets what is granted and the target, and the version if either changes.
func (g *Grant) update(index uint64, granted, target Share) {
	if g.Granted == granted && g.Target == target {
		return
	}
	g.Granted = granted
	g.Target = target
	g.Version = index
}

// forEachGrant calls update with the instance's grant of each workspace.
func (l *Ledger) forEachGrant(instance string, update func(*Grant)) {
	for _, account := range l.Accounts {
		if grant := account.Grants[instance]; grant != nil {
			update(grant)
		}
	}
}

// ChangedSince returns copies of an instance's grants that have changed after a
// log index, sorted by workspace.
func (l *Ledger) ChangedSince(instance string, index uint64) []Grant {
	var grants []Grant
	for _, account := range l.Accounts {
		grant := account.Grants[instance]
		if grant != nil && grant.Version > index {
			grants = append(grants, *grant)
		}
	}
	slices.SortFunc(grants, func(a, b Grant) int { return compareStrings(a.Workspace, b.Workspace) })
	return grants
}

// Grants returns copies of all grants of a workspace, sorted by instance name.
func (l *Ledger) Grants(workspace string) []Grant {
	account, known := l.Accounts[workspace]
	if !known {
		return nil
	}
	grants := make([]Grant, 0, len(account.Grants))
	for _, instance := range slices.Sorted(maps.Keys(account.Grants)) {
		grants = append(grants, *account.Grants[instance])
	}
	return grants
}

// Total returns the total of a workspace, or zero if it has none.
func (l *Ledger) Total(workspace string) Quota {
	if account, known := l.Accounts[workspace]; known {
		return account.Total
	}
	return Quota{}
}

// Snapshot returns the ledger encoded as CBOR.
func (l *Ledger) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(l)
	return data, trace.Wrap(err)
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
