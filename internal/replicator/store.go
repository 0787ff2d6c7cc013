package replicator

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/journaler"
)

// ErrDiskLost means that part of a disk's contents is missing. The store must
// start with an empty folder and be readmitted.
var ErrDiskLost = errors.New("part of the disk's contents is missing")

const identityName = "identity"

// Identity names a disk's contents and the groups that it holds. The groups of
// a disk share it, each from its own goroutine.
type Identity struct {
	Store  StoreID  `cbor:"store"`
	Groups []string `cbor:"groups"`
	disk   journaler.Disk
	mu     sync.Mutex
}

// OpenIdentity reads the identity of a disk. An empty disk gets a new one.
func OpenIdentity(disk journaler.Disk) (*Identity, error) {
	return OpenIdentityAs(disk, newStoreID())
}

// OpenIdentityAs is OpenIdentity with the identity of an empty disk given. The
// first members of a fleet know each other's identities that way before they
// have spoken. An identity must never be given to a second disk.
func OpenIdentityAs(disk journaler.Disk, first StoreID) (*Identity, error) {
	identity := &Identity{disk: disk}
	data, err := disk.Read(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		identity.Store = first
		return identity, identity.save()
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := cbor.Unmarshal(data, identity); err != nil {
		return nil, trace.Wrap(journaler.ErrCorrupt, "%s: %v", identityName, err)
	}
	return identity, nil
}

func newStoreID() StoreID {
	id := make([]byte, 8)
	_, _ = rand.Read(id) // never fails: see the crypto/rand package
	return StoreID(hex.EncodeToString(id))
}

func (i *Identity) save() error {
	data, err := cbor.Marshal(i)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(i.disk.Replace(identityName, data))
}

// add records that the disk holds a group.
func (i *Identity) add(group string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if slices.Contains(i.Groups, group) {
		return nil
	}
	i.Groups = append(i.Groups, group)
	return i.save()
}

// holds reports whether the disk is recorded to hold a group.
func (i *Identity) holds(group string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Contains(i.Groups, group)
}

// store keeps one group's part of a disk.
type store struct {
	identity *Identity
	group    string
	journal  *journaler.Journal
}

// openStore reads what a disk holds of a group.
func openStore(identity *Identity, group string) (*store, Stored, error) {
	journal, contents, err := journaler.Open(identity.disk, group)
	if err != nil {
		return nil, Stored{}, trace.Wrap(err)
	}
	s := &store{identity: identity, group: group, journal: journal}
	if contents.Snapshot == nil && identity.holds(group) {
		return nil, Stored{}, trace.Wrap(ErrDiskLost, "group %s", group)
	}
	stored, err := replay(contents)
	if err != nil {
		return nil, Stored{}, err
	}
	if contents.Snapshot != nil {
		err = identity.add(group)
	}
	return s, stored, trace.Wrap(err)
}

func replay(contents journaler.Contents) (Stored, error) {
	var stored Stored
	if contents.Snapshot != nil {
		if err := cbor.Unmarshal(contents.Snapshot, &stored.Snapshot); err != nil {
			return stored, trace.Wrap(journaler.ErrCorrupt, "snapshot: %v", err)
		}
	}
	entries := log{snapshot: stored.Snapshot}
	for _, batch := range contents.Batches {
		var records []Persist
		if err := cbor.Unmarshal(batch, &records); err != nil {
			return stored, trace.Wrap(journaler.ErrCorrupt, "batch: %v", err)
		}
		for _, record := range records {
			if record.State != nil {
				stored.State = *record.State
			}
			entries.put(record.Entries)
		}
	}
	stored.Entries = entries.entries
	return stored, nil
}

// keep syncs records before it returns.
func (s *store) keep(records []Persist) error {
	batch, err := cbor.Marshal(records)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.journal.Append(batch))
}

// compact replaces all that the disk holds of the group.
func (s *store) compact(stored Stored) error {
	snapshot, err := cbor.Marshal(stored.Snapshot)
	if err != nil {
		return trace.Wrap(err)
	}
	batch, err := cbor.Marshal([]Persist{{State: &stored.State, Entries: stored.Entries}})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.journal.Compact(snapshot, batch); err != nil {
		return trace.Wrap(err)
	}
	return s.identity.add(s.group)
}
