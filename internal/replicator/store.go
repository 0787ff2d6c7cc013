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

	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/journaler"
)

// ErrDiskLost means that the files of a group that the disk is recorded to hold
// are missing. The store must start again with an empty disk and be readmitted.
var ErrDiskLost = errors.New("part of the disk's contents is missing")

// identityFile is the name of the file that holds the encoded Identity.
const identityFile = "identity"

// Identity is the store ID of a disk and the list of the groups that the disk
// holds. All groups on a disk share it, each from its own goroutine.
type Identity struct {
	Store  StoreID  `cbor:"store"`
	Groups []string `cbor:"groups"`
	disk   journaler.Disk
	mu     sync.Mutex
}

// OpenIdentity reads the identity of a disk. An empty disk gets a random new
// one. The error is journaler.ErrCorrupt if the identity cannot be decoded.
func OpenIdentity(disk journaler.Disk) (*Identity, error) {
	return OpenIdentityAs(disk, newStoreID())
}

// OpenIdentityAs is like OpenIdentity, but an empty disk gets the given ID. This
// lets the first members of a group know each other's IDs before they have
// communicated. The same ID must never be given to a second disk.
func OpenIdentityAs(disk journaler.Disk, newID StoreID) (*Identity, error) {
	identity := &Identity{disk: disk}
	data, err := disk.Read(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		identity.Store = newID
		return identity, identity.save()
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := decoder.Stored(data, identity); err != nil {
		return nil, trace.Wrap(journaler.ErrCorrupt, "%s: %v", identityFile, err)
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
	return trace.Wrap(i.disk.Replace(identityFile, data))
}

// addGroup records on the disk that it holds a group.
func (i *Identity) addGroup(group string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if slices.Contains(i.Groups, group) {
		return nil
	}
	i.Groups = append(i.Groups, group)
	return i.save()
}

// holdsGroup reports whether the disk is recorded to hold a group.
func (i *Identity) holdsGroup(group string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Contains(i.Groups, group)
}

// storage is the part of a disk that belongs to one group.
type storage struct {
	identity *Identity
	group    string
	journal  *journaler.Journal
}

// openStorage reads a group's state from a disk. The error is ErrDiskLost if the
// disk is recorded to hold the group but has no snapshot of it.
func openStorage(identity *Identity, group string) (*storage, PersistedState, error) {
	journal, contents, err := journaler.Open(identity.disk, group)
	if err != nil {
		return nil, PersistedState{}, trace.Wrap(err)
	}
	s := &storage{identity: identity, group: group, journal: journal}
	if contents.Snapshot == nil && identity.holdsGroup(group) {
		return nil, PersistedState{}, trace.Wrap(ErrDiskLost, "group %s", group)
	}
	stored, err := replay(contents)
	if err != nil {
		return nil, PersistedState{}, err
	}
	if contents.Snapshot != nil {
		err = identity.addGroup(group)
	}
	return s, stored, trace.Wrap(err)
}

// replay rebuilds a group's state from the snapshot and the batches of records
// in its journal.
func replay(contents journaler.Contents) (PersistedState, error) {
	var stored PersistedState
	if contents.Snapshot != nil {
		if err := decoder.Stored(contents.Snapshot, &stored.Snapshot); err != nil {
			return stored, trace.Wrap(journaler.ErrCorrupt, "snapshot: %v", err)
		}
	}
	entries := log{snapshot: stored.Snapshot}
	for _, batch := range contents.Batches {
		var records []Persist
		if err := decoder.Stored(batch, &records); err != nil {
			return stored, trace.Wrap(journaler.ErrCorrupt, "batch: %v", err)
		}
		for _, record := range records {
			if record.State != nil {
				stored.State = *record.State
			}
			entries.truncateAndAppend(record.Entries)
		}
	}
	stored.Entries = entries.entries
	return stored, nil
}

// appendRecords writes the records as one batch and syncs it before it returns.
func (s *storage) appendRecords(records []Persist) error {
	batch, err := cbor.Marshal(records)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.journal.Append(batch))
}

// compact atomically replaces everything that the disk holds of the group.
func (s *storage) compact(stored PersistedState) error {
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
	return s.identity.addGroup(s.group)
}
