// Package journaler stores a snapshot and a log of records on a disk, so that
// synced data survives a crash at any step.
//
// A journal is a snapshot and the batches of records appended after it. Each batch
// is synced before the next is written. A batch that was only partly written when
// the process crashed is truncated at the next start: its Append never returned,
// so no caller relies on it.
package journaler

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/decoder"
)

// ErrCorrupt means that synced data has changed. All contents of the disk must be
// treated as lost: no part can be trusted.
var ErrCorrupt = errors.New("journal is corrupt")

// headerSize is the size in bytes of the header before each batch: its length and
// its checksum, 4 bytes each.
const headerSize = 8

// maxBatchSize is the largest size of a batch in bytes.
const maxBatchSize = 256 << 20

// Journal appends batches of records to a disk. It is not safe for concurrent use.
type Journal struct {
	disk Disk
	name string
	file File
	// generation is the number of compactions. It pairs the log file with the
	// snapshot that it follows.
	generation uint64
	size       int64
	batches    int
}

// Contents is the contents of a journal when it was opened.
type Contents struct {
	// Snapshot is nil if none was ever written.
	Snapshot []byte
	// Batches are in the order they were appended.
	Batches [][]byte
	// Torn is the number of bytes truncated at the end of the log, from a batch
	// that was only partly written.
	Torn int64
}

// envelope is the encoded form of a snapshot, with the generation of the log that
// follows it.
type envelope struct {
	Generation uint64 `cbor:"generation"`
	Checksum   uint32 `cbor:"checksum"`
	Data       []byte `cbor:"data"`
}

// Open reads a whole journal and prepares it for appending. A name without files on
// the disk gives an empty journal. The error is ErrCorrupt if synced data has
// changed.
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

// Append writes a batch and syncs it. After an error the state of the log's end is
// unknown: call Repair before any other method.
func (j *Journal) Append(batch []byte) error {
	if len(batch) > maxBatchSize {
		return trace.BadParameter("batch of %d bytes is too large", len(batch))
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

// Repair truncates what a failed Append may have written, so that the same batch
// can be appended again, for example once a full disk has room.
func (j *Journal) Repair() error {
	file, err := j.disk.Append(j.logName(), j.size)
	if err != nil {
		return trace.Wrap(err)
	}
	old := j.file
	j.file = file
	return trace.Wrap(old.Close())
}

// Compact atomically replaces all contents of the journal by a snapshot and one
// batch: an error or a crash leaves either the old contents or the new ones.
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

// Size returns the size of the log in bytes and the number of its batches,
// including the one that the last compaction wrote.
func (j *Journal) Size() (bytes int64, batches int) {
	return j.size, j.batches
}

// Close closes the log file. The journal must not be used afterwards.
func (j *Journal) Close() error {
	return trace.Wrap(j.file.Close())
}

// logName returns the name of the log file. Generations alternate between two
// files, so that the old log stays intact until the snapshot that replaces it is
// in place.
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
	encoded, err := cbor.Marshal(envelope{Generation: j.generation, Checksum: checksum(data), Data: data})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(j.disk.Replace(j.snapshotName(), encoded))
}

func (j *Journal) readSnapshot() ([]byte, error) {
	encoded, err := j.disk.Read(j.snapshotName())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var stored envelope
	if err := decoder.Stored(encoded, &stored); err != nil {
		return nil, trace.Wrap(ErrCorrupt, "%s: %v", j.snapshotName(), err)
	}
	if stored.Checksum != checksum(stored.Data) {
		return nil, trace.Wrap(ErrCorrupt, "%s: wrong checksum", j.snapshotName())
	}
	j.generation = stored.Generation
	return stored.Data, nil
}

// readLog reads all complete batches of the log and counts the bytes after them.
func (j *Journal) readLog(contents *Contents) error {
	data, err := j.disk.Read(j.logName())
	if errors.Is(err, fs.ErrNotExist) {
		return j.checkMissingLog(contents)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	rest := data
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

// checkMissingLog returns ErrCorrupt for a missing log file, unless the journal is
// new: a snapshot is written only after the log that follows it.
func (j *Journal) checkMissingLog(contents *Contents) error {
	if contents.Snapshot == nil {
		return nil
	}
	return trace.Wrap(ErrCorrupt, "%s is missing", j.logName())
}

// readBatch returns the first batch and its size with the header. Size 0 means that
// the data is a batch that was only partly written. Each batch is synced before the
// next is written, so only the last one can be incomplete: a wrong checksum before
// the end is ErrCorrupt, and so is a wrong length.
func readBatch(data []byte) (batch []byte, size int, err error) {
	if len(data) < headerSize {
		return nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(data))
	sum := binary.BigEndian.Uint32(data[4:])
	end := headerSize + length
	if end > len(data) || length == 0 {
		return nil, 0, checkIncomplete(data)
	}
	batch = data[headerSize:end]
	if checksum(batch) == sum {
		return batch, end, nil
	}
	if end < len(data) {
		return nil, 0, ErrCorrupt
	}
	return nil, 0, checkIncomplete(data)
}

// checkIncomplete returns ErrCorrupt if the data at the end of a log is not a batch that
// was only partly written: it is complete but for its length, or another batch follows.
func checkIncomplete(data []byte) error {
	if checksum(data[headerSize:]) == binary.BigEndian.Uint32(data[4:]) && len(data) > headerSize {
		return ErrCorrupt
	}
	for start, read := headerSize+1, 0; start+headerSize < len(data) && read < maxScanned; start++ {
		length := int(binary.BigEndian.Uint32(data[start:]))
		end := start + headerSize + length
		if length == 0 || end > len(data) {
			continue
		}
		read += length
		if checksum(data[start+headerSize:end]) == binary.BigEndian.Uint32(data[start+4:]) {
			return ErrCorrupt
		}
	}
	return nil
}

// maxScanned bounds the bytes whose checksums are taken in search of another batch.
const maxScanned = 1 << 30

func checksum(data []byte) uint32 {
	return crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli))
}
