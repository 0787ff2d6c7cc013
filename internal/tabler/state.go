package tabler

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Errors of a command that was applied and refused. The refusal is itself
// remembered under the change id, so a resent change gets it again.
var (
	// ErrConflict means that another change was accepted first.
	ErrConflict = errors.New("revision conflict")
	// ErrUnknown means that the named item does not exist.
	ErrUnknown = errors.New("no such item")
	// ErrExists means that the item exists already.
	ErrExists = errors.New("already exists")
)

// memoLimit bounds the remembered change ids.
const memoLimit = 4096

// tombstoneLimit bounds the remembered removals; a follower that is behind
// the oldest gets a full delta.
const tombstoneLimit = 4096

// State is the configuration at one revision. The zero value is empty and
// ready to use. It is not safe for concurrent use.
type State struct {
	Revision   Revision
	Regions    table[Region]
	Pools      table[Pool]
	Routes     table[Route]
	Workspaces table[Workspace]
	Keys       table[Key]
	Instances  table[Instance]
	// Removed lists removals, oldest first.
	Removed []Removal
	// Forgotten is the newest revision whose removals were dropped.
	Forgotten Revision
	// Memos are the outcomes of recent changes, oldest first.
	Memos []Memo
}

// table holds items by name.
type table[T any] map[string]item[T]

// item is a value with the revision that last touched it.
type item[T any] struct {
	Revision Revision `cbor:"r"`
	Value    T        `cbor:"v"`
}

// Instance is what operators have said of an entry instance.
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

// Memo is the remembered outcome of one change id.
type Memo struct {
	ChangeID string
	Result   Result
}

// Result is the outcome of a command.
type Result struct {
	Revision Revision `json:"revision"`
	// Refusal is empty when the change was accepted.
	Refusal Refusal `json:"refusal,omitempty"`
	// Detail explains a refusal.
	Detail string `json:"detail,omitempty"`
}

// Refusal is a stable code of a refused change.
type Refusal string

// The refusals.
const (
	RefusalConflict Refusal = "revision-conflict"
	RefusalUnknown  Refusal = "unknown-item"
	RefusalExists   Refusal = "already-exists"
	RefusalInvalid  Refusal = "invalid"
)

// Err returns the refusal as an error, or nil.
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

// Tables returns the document that operators edit, sorted by name.
func (s *State) Tables() Tables {
	return Tables{
		Regions:    s.Regions.values(),
		Pools:      s.Pools.values(),
		Routes:     s.Routes.values(),
		Workspaces: s.Workspaces.values(),
	}
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(s)
	return data, trace.Wrap(err)
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	var restored State
	if err := cbor.Unmarshal(data, &restored); err != nil {
		return trace.Wrap(err)
	}
	*s = restored
	return nil
}

func (t table[T]) values() []T {
	names := slices.Sorted(maps.Keys(t))
	values := make([]T, 0, len(names))
	for _, name := range names {
		values = append(values, t[name].Value)
	}
	return values
}

// since returns the items touched after a revision, sorted by name.
func (t table[T]) since(revision Revision) []T {
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

func put[T any](t *table[T], revision Revision, name string, value T) {
	if *t == nil {
		*t = table[T]{}
	}
	(*t)[name] = item[T]{Revision: revision, Value: value}
}

func (s *State) remember(changeID string, result Result) {
	if changeID == "" {
		return
	}
	s.Memos = append(s.Memos, Memo{ChangeID: changeID, Result: result})
	if len(s.Memos) > memoLimit {
		s.Memos = slices.Delete(s.Memos, 0, len(s.Memos)-memoLimit)
	}
}

func (s *State) recall(changeID string) (Result, bool) {
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

func (s *State) bury(removal Removal) {
	s.Removed = append(s.Removed, removal)
	if len(s.Removed) <= tombstoneLimit {
		return
	}
	excess := len(s.Removed) - tombstoneLimit
	s.Forgotten = s.Removed[excess-1].Revision
	s.Removed = slices.Delete(s.Removed, 0, excess)
}

func compareNames[T any](name func(T) string) func(a, b T) int {
	return func(a, b T) int { return cmp.Compare(name(a), name(b)) }
}
