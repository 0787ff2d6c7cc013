package tabler

import (
	"fmt"

	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/locator"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Command is one change of the state, as written to the replicated log. Exactly
// one of Edit, AddKey, Withdraw and Drain is set.
type Command struct {
	// ChangeID is chosen by the operator's client. A command that is resent
	// under the same id, because its response was lost, is not applied again
	// and gets the first result.
	ChangeID string          `cbor:"change-id,omitempty"`
	Edit     *Edit           `cbor:"edit,omitempty"`
	AddKey   *Key            `cbor:"give,omitempty"`
	Withdraw *Withdrawal     `cbor:"withdraw,omitempty"`
	Drain    *InstanceChange `cbor:"drain,omitempty"`
}

// Edit changes the tables. Put creates or replaces items by name. The edit is
// refused unless Expect is the current revision.
type Edit struct {
	Expect Revision `cbor:"expect"`
	Put    Tables   `cbor:"put"`
	Remove []Name   `cbor:"remove,omitempty"`
}

// Name identifies an item of the tables.
type Name struct {
	Kind Kind   `cbor:"kind" json:"kind"`
	Name string `cbor:"name" json:"name"`
}

// Kind is the table that an item belongs to.
type Kind string

// The kinds of item.
const (
	KindRegion    Kind = "region"
	KindPool      Kind = "pool"
	KindRoute     Kind = "route"
	KindWorkspace Kind = "workspace"
)

// Withdrawal permanently invalidates a key.
type Withdrawal struct {
	KeyID string `cbor:"key-id"`
}

// InstanceChange sets whether operators drain an instance.
type InstanceChange struct {
	Name     string `cbor:"name"`
	Draining bool   `cbor:"draining"`
}

// Encode returns the command as CBOR for the replicated log.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, trace.Wrap(err)
}

// DecodeCommand decodes a command that Encode returned.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	err := decoder.Stored(data, &command)
	return command, trace.Wrap(err)
}

// Apply applies a command, or returns the first result of a resent one. It is
// deterministic: replicas that apply the same commands in the same order reach
// the same state.
func (s *State) Apply(command Command) Result {
	if result, resent := s.memoOf(command.ChangeID); resent {
		return result
	}
	result := s.applyNew(command)
	s.addMemo(command.ChangeID, result)
	return result
}

// applyNew applies a command that is not resent.
func (s *State) applyNew(command Command) Result {
	switch {
	case command.Edit != nil:
		return s.applyEdit(*command.Edit)
	case command.AddKey != nil:
		return s.addKey(*command.AddKey)
	case command.Withdraw != nil:
		return s.withdrawKey(*command.Withdraw)
	case command.Drain != nil:
		return s.setDraining(*command.Drain)
	}
	return s.refuse(RefusalInvalid, "empty change")
}

// refuse returns a refusal at the current revision.
func (s *State) refuse(refusal Refusal, format string, args ...any) Result {
	return Result{Revision: s.Revision, Refusal: refusal, Detail: fmt.Sprintf(format, args...)}
}

func (s *State) applyEdit(edit Edit) Result {
	if edit.Expect != s.Revision {
		return s.refuse(RefusalConflict, "expected revision %d, but %d is in force", edit.Expect, s.Revision)
	}
	if faults := s.checkEdit(edit); len(faults) > 0 {
		return s.refuse(RefusalInvalid, "%s: %s", faults[0].Field, faults[0].Text)
	}
	if edit.IsEmpty() {
		return Result{Revision: s.Revision}
	}
	s.Revision++
	s.putTables(edit.Put)
	for _, name := range edit.Remove {
		s.removeItem(name)
	}
	return Result{Revision: s.Revision}
}

// putTables creates or replaces items at the state's revision.
func (s *State) putTables(tables Tables) {
	for _, region := range tables.Regions {
		put(&s.Regions, s.Revision, region.Name, region)
	}
	for _, pool := range tables.Pools {
		put(&s.Pools, s.Revision, pool.Name, pool)
	}
	for _, route := range tables.Routes {
		put(&s.Routes, s.Revision, route.Name, route)
	}
	for _, workspace := range tables.Workspaces {
		put(&s.Workspaces, s.Revision, workspace.Name, workspace)
	}
}

// checkEdit returns the faults that the tables would have after the edit.
func (s *State) checkEdit(edit Edit) []locator.Fault {
	next := Merge(s.Tables(), edit)
	faults := Check(next)
	return append(faults, s.checkClaimRegions(next)...)
}

// checkClaimRegions returns a fault for each route with Once set whose claims would
// move to another region. Claims made in the old region would not be seen in the
// new one, so requests could run twice.
func (s *State) checkClaimRegions(next Tables) []locator.Fault {
	before := claimRegionsByRoute(s.Tables())
	var faults []locator.Fault
	for name, region := range claimRegionsByRoute(next) {
		if oldRegion, known := before[name]; known && oldRegion != region {
			faults = append(faults, locator.Fault{
				Field: "routes." + name + ".pools",
				Text:  fmt.Sprintf("claims of a once route cannot move from region %q to %q: add a new route", oldRegion, region),
			})
		}
	}
	return faults
}

// claimRegionsByRoute returns the region that holds the claims of each route with
// Once set: the region of its first pool.
func claimRegionsByRoute(tables Tables) map[string]string {
	regionsByPool := map[string]string{}
	for _, pool := range tables.Pools {
		regionsByPool[pool.Name] = pool.Region
	}
	regionsByRoute := map[string]string{}
	for _, route := range tables.Routes {
		if route.Once && len(route.Pools) > 0 {
			regionsByRoute[route.Name] = regionsByPool[route.Pools[0]]
		}
	}
	return regionsByRoute
}

// removeItem deletes an item and records the removal at the state's revision.
func (s *State) removeItem(name Name) {
	switch name.Kind {
	case KindRegion:
		delete(s.Regions, name.Name)
	case KindPool:
		delete(s.Pools, name.Name)
	case KindRoute:
		delete(s.Routes, name.Name)
	case KindWorkspace:
		delete(s.Workspaces, name.Name)
	}
	s.recordRemoval(Removal{Revision: s.Revision, Kind: name.Kind, Name: name.Name})
}

func (s *State) setDraining(change InstanceChange) Result {
	if !namePattern.MatchString(change.Name) {
		return s.refuse(RefusalInvalid, "instance: %q is not a name", change.Name)
	}
	if s.Instances[change.Name].Value.Draining == change.Draining {
		return Result{Revision: s.Revision}
	}
	s.Revision++
	put(&s.Instances, s.Revision, change.Name, Instance(change))
	return Result{Revision: s.Revision}
}
