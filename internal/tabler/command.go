package tabler

import (
	"fmt"

	"github.com/boragehead/boragehead/internal/locator"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Command is one change of the state. Exactly one of its parts is set.
type Command struct {
	// ChangeID is chosen by the operator's client, so that a change that is
	// resent after a lost answer gets its first outcome.
	ChangeID string          `cbor:"change-id,omitempty"`
	Edit     *Edit           `cbor:"edit,omitempty"`
	Give     *Key            `cbor:"give,omitempty"`
	Withdraw *Withdrawal     `cbor:"withdraw,omitempty"`
	Drain    *InstanceChange `cbor:"drain,omitempty"`
}

// Edit changes the tables from an expected revision.
type Edit struct {
	Expect Revision `cbor:"expect"`
	Put    Tables   `cbor:"put"`
	Remove []Name   `cbor:"remove,omitempty"`
}

// Name is an item of the tables.
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

// Withdrawal ends a key for good.
type Withdrawal struct {
	KeyID string `cbor:"key-id"`
}

// InstanceChange records the operator's word about an instance.
type InstanceChange struct {
	Name     string `cbor:"name"`
	Draining bool   `cbor:"draining"`
}

// Encode writes a command for the replicated log.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, trace.Wrap(err)
}

// DecodeCommand reads what Encode wrote.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	err := cbor.Unmarshal(data, &command)
	return command, trace.Wrap(err)
}

// Apply performs a command. Every replica applies the same commands in the
// same order and reaches the same state.
func (s *State) Apply(command Command) Result {
	if result, resent := s.recall(command.ChangeID); resent {
		return result
	}
	result := s.perform(command)
	s.remember(command.ChangeID, result)
	return result
}

func (s *State) perform(command Command) Result {
	switch {
	case command.Edit != nil:
		return s.edit(*command.Edit)
	case command.Give != nil:
		return s.give(*command.Give)
	case command.Withdraw != nil:
		return s.withdraw(*command.Withdraw)
	case command.Drain != nil:
		return s.drain(*command.Drain)
	}
	return s.refuse(RefusalInvalid, "empty change")
}

func (s *State) refuse(refusal Refusal, format string, args ...any) Result {
	return Result{Revision: s.Revision, Refusal: refusal, Detail: fmt.Sprintf(format, args...)}
}

func (s *State) edit(edit Edit) Result {
	if edit.Expect != s.Revision {
		return s.refuse(RefusalConflict, "expected revision %d, but %d is in force", edit.Expect, s.Revision)
	}
	if faults := s.checkEdit(edit); len(faults) > 0 {
		return s.refuse(RefusalInvalid, "%s: %s", faults[0].Field, faults[0].Text)
	}
	if edit.Empty() {
		return Result{Revision: s.Revision}
	}
	s.Revision++
	s.putTables(edit.Put)
	for _, name := range edit.Remove {
		s.remove(name)
	}
	return Result{Revision: s.Revision}
}

// putTables puts items in place at the state's revision.
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

// checkEdit checks the tables as they would stand after the edit.
func (s *State) checkEdit(edit Edit) []locator.Fault {
	next := Merge(s.Tables(), edit)
	faults := Check(next)
	return append(faults, s.checkClaimRegions(next)...)
}

// checkClaimRegions refuses to move the claims of a route whose work must not
// run twice: claims made in the old region would not be seen in the new one.
func (s *State) checkClaimRegions(next Tables) []locator.Fault {
	before := claimRegions(s.Tables())
	var faults []locator.Fault
	for name, region := range claimRegions(next) {
		if old, known := before[name]; known && old != region {
			faults = append(faults, locator.Fault{
				Field: "routes." + name + ".pools",
				Text:  fmt.Sprintf("claims of a once route cannot move from region %q to %q: add a new route", old, region),
			})
		}
	}
	return faults
}

func claimRegions(tables Tables) map[string]string {
	regions := map[string]string{}
	for _, pool := range tables.Pools {
		regions[pool.Name] = pool.Region
	}
	claims := map[string]string{}
	for _, route := range tables.Routes {
		if route.Once && len(route.Pools) > 0 {
			claims[route.Name] = regions[route.Pools[0]]
		}
	}
	return claims
}

func (s *State) remove(name Name) {
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
	s.bury(Removal{Revision: s.Revision, Kind: name.Kind, Name: name.Name})
}

func (s *State) drain(change InstanceChange) Result {
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
