package tabler

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/decoder"
)

// Errors of refused commands, as Result.Err returns them. A refusal is recorded
// under its change id too, so a resent command is refused again.
var (
	// ErrConflict means that the expected revision is not the current one.
	ErrConflict = errors.New("revision conflict")
	// ErrUnknown means that the named item does not exist.
	ErrUnknown = errors.New("no such item")
	// ErrExists means that an item of this name exists already.
	ErrExists = errors.New("already exists")
)

// maxMemos limits the number of recorded change ids.
const maxMemos = 4096

// maxRemovals limits the number of recorded removals. A follower whose revision is
// older than the recorded ones gets a full delta.
const maxRemovals = 4096

// State is the configuration at one revision. The zero value is empty and ready to
// use. It is not safe for concurrent use. Its exported fields are encoded in
// snapshots under their names.
type State struct {
	Revision   Revision
	Regions    table[Region]
	Pools      table[Pool]
	Routes     table[Route]
	Workspaces table[Workspace]
	Keys       table[Key]
	Instances  table[Instance]
	// Removed are the last removals, oldest first.
	Removed []Removal
	// Forgotten is the newest revision whose removals are no longer recorded.
	Forgotten Revision
	// Memos are the results of the last commands with a change id, oldest
	// first.
	Memos []Memo
}

// table holds items by name.
type table[T any] map[string]item[T]

// item is a value with the revision that last changed it.
type item[T any] struct {
	Revision Revision `cbor:"r"`
	Value    T        `cbor:"v"`
}

// Instance holds the operators' settings of an entry instance.
type Instance struct {
	Name     string `json:"name"`
	Draining bool   `json:"draining"`
}

// Removal records that an item was deleted.
type Removal struct {
	Revision Revision
	Kind     Kind
	Name     string
}

// Memo is the recorded result of the command with a change id.
type Memo struct {
	ChangeID string
	Result   Result
}

// Result is the result of a command.
type Result struct {
	// Revision is the revision after the command.
	Revision Revision `json:"revision"`
	// Refusal is empty if the command was accepted.
	Refusal Refusal `json:"refusal,omitempty"`
	// Detail explains a refusal.
	Detail string `json:"detail,omitempty"`
}

// Refusal identifies why a command was refused. Its values are part of the API.
type Refusal string

// Reasons for refusals.
const (
	RefusalConflict Refusal = "revision-conflict"
	RefusalUnknown  Refusal = "unknown-item"
	RefusalExists   Refusal = "already-exists"
	RefusalInvalid  Refusal = "invalid"
)

// Err returns nil if the command was accepted, and otherwise an error that wraps
// ErrConflict, ErrUnknown, ErrExists or ErrInvalid.
func (r Result) Err() error {
	switch r.Refusal {
	case "":
		return nil
	case RefusalConflict:
		return trace.Wrap(ErrConflict, r.Detail)
	case RefusalUnknown:
		return trace.Wrap(ErrUnknown, r.Detail)
	case RefusalExists:
		return trace.Wrap(ErrExists, r.Detail)
	}
	return trace.Wrap(ErrInvalid, r.Detail)
}

// Tables returns the document that operators edit, each table sorted by name.
func (s *State) Tables() Tables {
	return Tables{
		Regions:    s.Regions.sortedValues(),
		Pools:      s.Pools.sortedValues(),
		Routes:     s.Routes.sortedValues(),
		Workspaces: s.Workspaces.sortedValues(),
	}
}

// Snapshot returns the whole state as CBOR.
func (s *State) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(s)
	return data, trace.Wrap(err)
}

// Restore replaces the state by a snapshot. On an error it changes nothing.
func (s *State) Restore(data []byte) error {
	var restored State
	if err := decoder.Stored(data, &restored); err != nil {
		return trace.Wrap(err)
	}
	*s = restored
	return nil
}

// sortedValues returns all values, sorted by name.
func (t table[T]) sortedValues() []T {
	names := slices.Sorted(maps.Keys(t))
	values := make([]T, 0, len(names))
	for _, name := range names {
		values = append(values, t[name].Value)
	}
	return values
}

// changedSince returns the values that were changed after a revision, sorted by
// name.
func (t table[T]) changedSince(revision Revision) []T {
	var names []string
	for name, item := range t {
		if item.Revision > revision {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	values := make([]T, 0, len(names))
	for _, name := range names {
		values = append(values, t[name].Value)
	}
	return values
}

// put sets an item. It allocates the table if it is nil.
func put[T any](t *table[T], revision Revision, name string, value T) {
	if *t == nil {
		*t = table[T]{}
	}
	(*t)[name] = item[T]{Revision: revision, Value: value}
}

// addMemo records the result of a command under its change id, if it has one.
func (s *State) addMemo(changeID string, result Result) {
	if changeID == "" {
		return
	}
	s.Memos = append(s.Memos, Memo{ChangeID: changeID, Result: result})
	if len(s.Memos) > maxMemos {
		s.Memos = slices.Delete(s.Memos, 0, len(s.Memos)-maxMemos)
	}
}

// memoOf returns the recorded result of a change id, if there is one.
func (s *State) memoOf(changeID string) (Result, bool) {
	if changeID == "" {
		return Result{}, false
	}
	for i := range slices.Backward(s.Memos) {
		if s.Memos[i].ChangeID == changeID {
			return s.Memos[i].Result, true
		}
	}
	return Result{}, false
}

// HasResult reports whether the result of a change id is recorded.
func (s *State) HasResult(changeID string) bool {
	_, known := s.memoOf(changeID)
	return known
}

// recordRemoval adds a removal and drops the oldest beyond maxRemovals.
func (s *State) recordRemoval(removal Removal) {
	s.Removed = append(s.Removed, removal)
	if len(s.Removed) <= maxRemovals {
		return
	}
	excess := len(s.Removed) - maxRemovals
	s.Forgotten = s.Removed[excess-1].Revision
	s.Removed = slices.Delete(s.Removed, 0, excess)
}

func compareByName[T any](name func(T) string) func(a, b T) int {
	return func(a, b T) int { return cmp.Compare(name(a), name(b)) }
}
