// Package granter divides each workspace's rate and burst into grants, so that
// no workspace gets more than its share over all instances together.
//
// The one idea: what is free and what is granted always add up to the whole. A
// holder lowers itself first and is debited after; a grant is raised only from
// what is free. The [Ledger] is a deterministic state machine over a
// replicated log; the [Planner] decides what it should become.
package granter

import (
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// milli is the number of units in a token.
const milli = 1000

// Amount is a rate and a burst in thousandths of a token, so that sums are
// exact.
type Amount struct {
	Rate  int64 `cbor:"r" json:"rate"`
	Burst int64 `cbor:"b" json:"burst"`
}

// Tokens returns an amount from tokens per second and tokens, rounded down.
func Tokens(rate, burst float64) Amount {
	return Amount{Rate: int64(math.Floor(rate * milli)), Burst: int64(math.Floor(burst * milli))}
}

// RateTokens returns the rate in tokens per second.
func (a Amount) RateTokens() float64 { return float64(a.Rate) / milli }

// BurstTokens returns the burst in tokens.
func (a Amount) BurstTokens() float64 { return float64(a.Burst) / milli }

// Plus adds two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst}
}

// Minus subtracts an amount; the result may be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{Rate: a.Rate - b.Rate, Burst: a.Burst - b.Burst}
}

// Min returns the smaller of each part.
func (a Amount) Min(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}

// Scale multiplies both parts by a share, rounded down.
func (a Amount) Scale(share float64) Amount {
	return Amount{Rate: int64(float64(a.Rate) * share), Burst: int64(float64(a.Burst) * share)}
}

func (a Amount) floorAtZero() Amount {
	return Amount{Rate: max(a.Rate, 0), Burst: max(a.Burst, 0)}
}

// Share is what one instance has, or should have, of a workspace.
type Share struct {
	// Floor is kept without contact. It returns only by consent or by an
	// operator's word that the instance is gone.
	Floor Amount `cbor:"f" json:"floor"`
	// Leased lapses without contact.
	Leased Amount `cbor:"l" json:"leased"`
}

// Sum returns the whole share.
func (s Share) Sum() Amount { return s.Floor.Plus(s.Leased) }

func (s Share) min(other Share) Share {
	return Share{Floor: s.Floor.Min(other.Floor), Leased: s.Leased.Min(other.Leased)}
}

// Grant is one instance's part of one workspace.
type Grant struct {
	Workspace string `cbor:"w" json:"workspace"`
	Instance  string `cbor:"i" json:"instance"`
	Granted   Share  `cbor:"g" json:"granted"`
	// Target is what the holder is asked to lower itself to.
	Target Share `cbor:"t" json:"target"`
	// Version is the log index that last changed the grant, so that an old
	// consent is void.
	Version uint64 `cbor:"v" json:"version"`
	// Whole is the workspace's whole amount when the target was set.
	Whole Amount `cbor:"a" json:"whole"`
}

// Allowed returns what the holder may use now.
func (g Grant) Allowed() Share { return g.Granted.min(g.Target) }

// account is one workspace's whole with its grants.
type account struct {
	Whole  Amount            `cbor:"whole"`
	Grants map[string]*Grant `cbor:"grants"`
}

// Ledger holds all accounts. The zero value is empty and ready to use.
type Ledger struct {
	Accounts map[string]*account `cbor:"accounts"`
}

// Command is one change of the ledger. Exactly one of its parts is set.
type Command struct {
	Plan   *Plan   `cbor:"plan,omitempty"`
	Lower  *Lower  `cbor:"lower,omitempty"`
	Lapse  *Lapse  `cbor:"lapse,omitempty"`
	Remove *Remove `cbor:"remove,omitempty"`
}

// Plan says what the holders of one workspace should have.
type Plan struct {
	Workspace string           `cbor:"w"`
	Shares    map[string]Share `cbor:"s"`
}

// Lower is the consent of a holder that has lowered itself already.
type Lower struct {
	Instance string    `cbor:"i"`
	Consents []Consent `cbor:"c"`
}

// Consent is a holder's word that it uses no more than an amount.
type Consent struct {
	Workspace string `cbor:"w"`
	Version   uint64 `cbor:"v"`
	To        Share  `cbor:"t"`
}

// Lapse takes back the leased parts of an instance that was silent for
// longer than the lease and the drift of clocks.
type Lapse struct {
	Instance string `cbor:"i"`
}

// Remove is the operator's word that an instance is gone for good.
type Remove struct {
	Instance string `cbor:"i"`
}

// SetWhole sets the whole amount of a workspace.
func (l *Ledger) SetWhole(workspace string, whole Amount) {
	if l.Accounts == nil {
		l.Accounts = map[string]*account{}
	}
	existing, known := l.Accounts[workspace]
	if !known {
		l.Accounts[workspace] = &account{Whole: whole, Grants: map[string]*Grant{}}
		return
	}
	existing.Whole = whole
}

// Apply performs a command at a log index.
func (l *Ledger) Apply(index uint64, command Command) {
	switch {
	case command.Plan != nil:
		l.plan(index, *command.Plan)
	case command.Lower != nil:
		l.lower(index, *command.Lower)
	case command.Lapse != nil:
		l.eachOf(command.Lapse.Instance, func(grant *Grant) {
			grant.change(index, Share{Floor: grant.Granted.Floor}, grant.Target)
		})
	case command.Remove != nil:
		l.eachOf(command.Remove.Instance, func(grant *Grant) { grant.change(index, Share{}, Share{}) })
	}
}

// Free returns what is not granted. It is negative while holders still have
// to lower themselves after a cut of the whole.
func (l *Ledger) Free(workspace string) Amount {
	account, known := l.Accounts[workspace]
	if !known {
		return Amount{}
	}
	return account.free()
}

func (a *account) free() Amount {
	free := a.Whole
	for _, grant := range a.Grants {
		free = free.Minus(grant.Granted.Sum())
	}
	return free
}

// plan asks holders to lower themselves, and raises others from what is free.
func (l *Ledger) plan(index uint64, plan Plan) {
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
		grant.change(index, grant.Granted, plan.Shares[instance])
		if grant.Whole != account.Whole {
			grant.Whole = account.Whole
			grant.Version = index
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(account.Grants)) {
		account.raise(index, account.Grants[instance])
	}
	account.forgetEmpty()
	if len(account.Grants) == 0 && account.Whole == (Amount{}) {
		delete(l.Accounts, plan.Workspace)
	}
}

// raise moves a grant up towards its target, as far as there is free.
func (a *account) raise(index uint64, grant *Grant) {
	free := a.free().floorAtZero()
	floor := grant.Target.Floor.Minus(grant.Granted.Floor).floorAtZero().Min(free)
	free = free.Minus(floor)
	leased := grant.Target.Leased.Minus(grant.Granted.Leased).floorAtZero().Min(free)
	granted := Share{Floor: grant.Granted.Floor.Plus(floor), Leased: grant.Granted.Leased.Plus(leased)}
	grant.change(index, granted, grant.Target)
}

func (a *account) forgetEmpty() {
	maps.DeleteFunc(a.Grants, func(_ string, grant *Grant) bool {
		return grant.Granted == Share{} && grant.Target == Share{}
	})
}

func (l *Ledger) lower(index uint64, lower Lower) {
	for _, consent := range lower.Consents {
		account, known := l.Accounts[consent.Workspace]
		if !known {
			continue
		}
		grant := account.Grants[lower.Instance]
		if grant == nil || grant.Version != consent.Version {
			continue
		}
		grant.change(index, grant.Granted.min(consent.To), grant.Target)
	}
}

// change sets a grant and notes the log index when anything changed.
func (g *Grant) change(index uint64, granted, target Share) {
	if g.Granted == granted && g.Target == target {
		return
	}
	g.Granted = granted
	g.Target = target
	g.Version = index
}

func (l *Ledger) eachOf(instance string, change func(*Grant)) {
	for _, account := range l.Accounts {
		if grant := account.Grants[instance]; grant != nil {
			change(grant)
		}
	}
}

// Since returns an instance's grants that were touched after a log index.
func (l *Ledger) Since(instance string, index uint64) []Grant {
	var grants []Grant
	for _, account := range l.Accounts {
		grant := account.Grants[instance]
		if grant != nil && grant.Version > index {
			grants = append(grants, *grant)
		}
	}
	slices.SortFunc(grants, func(a, b Grant) int { return cmpString(a.Workspace, b.Workspace) })
	return grants
}

// Grants returns all grants of a workspace, sorted by instance.
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

// Whole returns the whole amount of a workspace.
func (l *Ledger) Whole(workspace string) Amount {
	if account, known := l.Accounts[workspace]; known {
		return account.Whole
	}
	return Amount{}
}

// Snapshot encodes the ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(l)
	return data, trace.Wrap(err)
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
