// Package journaler keeps records and one snapshot on a disk, so that what
// was synced survives a crash at any step.
//
// A journal is a snapshot and the records after it. Records are appended and
// synced one batch at a time; a batch that a crash tore is cut off at the next
// start, because no one was told that it had been kept.
package journaler

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// ErrCorrupt means that synced bytes have changed. The store must be treated
// as lost: no part of it can be trusted.
var ErrCorrupt = errors.New("journal is corrupt")

// headerSize is the length and the checksum before each batch, in bytes.
const headerSize = 8

// maxBatchSize bounds a batch, in bytes.
const maxBatchSize = 256 << 20

// Journal appends batches of records to a disk.
type Journal struct {
	disk Disk
	name string
	file File
	// generation pairs the log file with the snapshot it follows.
	generation uint64
	size       int64
	batches    int
}

// Contents is what a journal held when it was opened.
type Contents struct {
	// Snapshot is nil when none was ever written.
	Snapshot []byte
	// Batches are in the order they were appended.
	Batches [][]byte
	// Torn is the number of bytes cut off the end.
	Torn int64
}

// envelope is a snapshot with the generation of the log that follows it.
type envelope struct {
	Generation uint64 `cbor:"generation"`
	Checksum   uint32 `cbor:"checksum"`
	Data       []byte `cbor:"data"`
}

// Open reads a journal whole and prepares it for appending.
func Open(disk Disk, name string) (*Journal, Contents, error) {
	journal := &Journal{disk: disk, name: name}
	var contents Contents
	snapshot, err := journal.readSnapshot()
	if err != nil {
		return nil, contents, err
	}
	contents.Snapshot = snapshot
	if err := journal.readLog(&contents); err != nil {
		return nil, contents, err
	}
	file, err := disk.Append(journal.logName(), journal.size)
	if err != nil {
		return nil, contents, trace.Wrap(err)
	}
	journal.file = file
	return journal, contents, nil
}

// Append writes a batch and syncs it. After an error the end of the log is
// unknown: call Repair before anything else.
func (j *Journal) Append(batch []byte) error {
	if len(batch) > maxBatchSize {
		return trace.BadParameter("a batch of %d bytes is too large", len(batch))
	}
	frame := make([]byte, headerSize, headerSize+len(batch))
	binary.BigEndian.PutUint32(frame, uint32(len(batch)))
	binary.BigEndian.PutUint32(frame[4:], checksum(batch))
	frame = append(frame, batch...)
	if _, err := j.file.Write(frame); err != nil {
		return trace.Wrap(err)
	}
	if err := j.file.Sync(); err != nil {
		return trace.Wrap(err)
	}
	j.size += int64(len(frame))
	j.batches++
	return nil
}

// Repair cuts off what a failed Append may have left, so that the same batch
// can be written again, as after a full disk has room again.
func (j *Journal) Repair() error {
	file, err := j.disk.Append(j.logName(), j.size)
	if err != nil {
		return trace.Wrap(err)
	}
	old := j.file
	j.file = file
	return trace.Wrap(old.Close())
}

// Compact replaces all that the journal holds by a snapshot and one batch.
// A crash leaves either the old contents or the new ones.
func (j *Journal) Compact(snapshot, batch []byte) error {
	next := &Journal{disk: j.disk, name: j.name, generation: j.generation + 1}
	file, err := j.disk.Append(next.logName(), 0)
	if err != nil {
		return trace.Wrap(err)
	}
	next.file = file
	if err := next.Append(batch); err != nil {
		return trace.NewAggregate(err, file.Close())
	}
	if err := next.writeSnapshot(snapshot); err != nil {
		return trace.NewAggregate(err, file.Close())
	}
	old := j.file
	*j = *next
	return trace.Wrap(old.Close())
}

// Size returns the bytes and the batches appended since the last compaction.
func (j *Journal) Size() (bytes int64, batches int) {
	return j.size, j.batches
}

// Close closes the log file.
func (j *Journal) Close() error {
	return trace.Wrap(j.file.Close())
}

// logName alternates between two files, so that the old log stays whole
// until the snapshot that replaces it is in place.
func (j *Journal) logName() string {
	if j.generation%2 == 0 {
		return j.name + ".log-0"
	}
	return j.name + ".log-1"
}

func (j *Journal) snapshotName() string {
	return j.name + ".snapshot"
}

func (j *Journal) writeSnapshot(data []byte) error {
	text, err := cbor.Marshal(envelope{Generation: j.generation, Checksum: checksum(data), Data: data})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(j.disk.Replace(j.snapshotName(), text))
}

func (j *Journal) readSnapshot() ([]byte, error) {
	text, err := j.disk.Read(j.snapshotName())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var stored envelope
	if err := cbor.Unmarshal(text, &stored); err != nil {
		return nil, trace.Wrap(ErrCorrupt, "%s: %v", j.snapshotName(), err)
	}
	if stored.Checksum != checksum(stored.Data) {
		return nil, trace.Wrap(ErrCorrupt, "%s: wrong checksum", j.snapshotName())
	}
	j.generation = stored.Generation
	return stored.Data, nil
}

func (j *Journal) readLog(contents *Contents) error {
	text, err := j.disk.Read(j.logName())
	if errors.Is(err, fs.ErrNotExist) {
		return j.missingLog(contents)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	rest := text
	for len(rest) > 0 {
		batch, size, err := readBatch(rest)
		if err != nil {
			return trace.Wrap(err, "%s: at byte %d", j.logName(), j.size)
		}
		if size == 0 {
			break
		}
		contents.Batches = append(contents.Batches, batch)
		rest = rest[size:]
		j.size += int64(size)
		j.batches++
	}
	contents.Torn = int64(len(rest))
	return nil
}

// missingLog accepts a missing log only in a journal that is new.
func (j *Journal) missingLog(contents *Contents) error {
	if contents.Snapshot == nil {
		return nil
	}
	return trace.Wrap(ErrCorrupt, "%s is missing", j.logName())
}

// readBatch returns the first batch and its framed size. Size 0 means that
// the rest is a torn tail. Since every append is one batch and is synced
// before the next begins, only the last one can be torn.
func readBatch(text []byte) (batch []byte, size int, err error) {
	if len(text) < headerSize {
		return nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(text))
	sum := binary.BigEndian.Uint32(text[4:])
	end := headerSize + length
	if end > len(text) {
		return nil, 0, nil
	}
	batch = text[headerSize:end]
	if length > 0 && checksum(batch) == sum {
		return batch, end, nil
	}
	if end < len(text) && length > 0 {
		return nil, 0, ErrCorrupt
	}
	return nil, 0, nil
}

func checksum(data []byte) uint32 {
	return crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli))
}
