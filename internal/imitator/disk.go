package imitator

import (
	"errors"
	"io/fs"
	"math/rand/v2"

	"github.com/boragehead/boragehead/internal/journaler"
)

// ErrFull is the error of a write without space left on the disk.
var ErrFull = errors.New("no space left")

// ErrCrashed is the error of all operations except Read while the disk's machine is
// down.
var ErrCrashed = errors.New("crashed")

// Disk implements journaler.Disk in memory and simulates crashes. A crash loses
// unsynced data except for a random prefix, as a real disk may. It is not safe for
// concurrent use.
type Disk struct {
	random *rand.Rand
	files  map[string]*diskFile
	// operationsLeft is the number of operations until a crash; negative for no crash.
	operationsLeft int
	crashed        bool
	// failingWrites is how many of the next writes fail with ErrFull.
	failingWrites int
}

// diskFile holds the durable content of a file, and what was written since the last
// sync.
type diskFile struct {
	synced   []byte
	unsynced []byte
}

// NewDisk returns an empty disk. The seed determines what crashes and failed writes
// leave behind.
func NewDisk(seed uint64) *Disk {
	return &Disk{random: rand.New(rand.NewPCG(seed, 1)), files: map[string]*diskFile{}, operationsLeft: -1}
}

// CrashAfter makes the disk crash during the operation that follows the given
// number of successful ones. A negative number cancels the crash.
func (d *Disk) CrashAfter(operations int) {
	d.operationsLeft = operations
}

// FailWrites makes the next writes fail with ErrFull. Each of them still writes a
// random prefix of its data.
func (d *Disk) FailWrites(writes int) {
	d.failingWrites = writes
}

// Restart brings the disk back after a crash: of the unsynced data of each file, a
// random prefix is kept.
func (d *Disk) Restart() {
	for _, file := range d.files {
		kept := d.random.IntN(len(file.unsynced) + 1)
		file.synced = append(file.synced, file.unsynced[:kept]...)
		file.unsynced = nil
	}
	d.crashed = false
	d.operationsLeft = -1
}

// Erase empties the disk and brings it back if it has crashed.
func (d *Disk) Erase() {
	d.files = map[string]*diskFile{}
	d.crashed = false
	d.operationsLeft = -1
}

// Crashed reports whether the disk's machine is down.
func (d *Disk) Crashed() bool {
	return d.crashed
}

// Crash stops the machine between two operations.
func (d *Disk) Crash() {
	d.crashed = true
}

// countOperation counts an operation. It returns false if the disk has crashed
// before or crashes now.
func (d *Disk) countOperation() bool {
	if d.crashed {
		return false
	}
	if d.operationsLeft == 0 {
		d.crashed = true
		return false
	}
	if d.operationsLeft > 0 {
		d.operationsLeft--
	}
	return true
}

// Read implements journaler.Disk. It returns unsynced data too, and works on a crashed
// disk.
func (d *Disk) Read(name string) ([]byte, error) {
	file, exists := d.files[name]
	if !exists {
		return nil, fs.ErrNotExist
	}
	return append(append([]byte{}, file.synced...), file.unsynced...), nil
}

// Replace implements journaler.Disk. A crash leaves either the old or the new
// content.
func (d *Disk) Replace(name string, data []byte) error {
	alive := d.countOperation()
	if !alive && (d.operationsLeft != 0 || d.random.IntN(2) == 0) {
		return ErrCrashed
	}
	d.files[name] = &diskFile{synced: append([]byte{}, data...)}
	if !alive {
		d.operationsLeft = -1
		return ErrCrashed
	}
	return nil
}

// Append implements journaler.Disk.
func (d *Disk) Append(name string, offset int64) (journaler.File, error) {
	if !d.countOperation() {
		return nil, ErrCrashed
	}
	file, exists := d.files[name]
	if !exists {
		file = &diskFile{}
		d.files[name] = file
	}
	file.synced = append(file.synced, file.unsynced...)[:offset:offset]
	file.unsynced = nil
	return &openFile{disk: d, file: file}, nil
}

// openFile is a file that is open for appending.
type openFile struct {
	disk *Disk
	file *diskFile
}

// Write implements journaler.File. A crash leaves a random prefix of the data
// unsynced.
func (f *openFile) Write(data []byte) (int, error) {
	if !f.disk.countOperation() {
		if f.disk.operationsLeft == 0 {
			f.file.unsynced = append(f.file.unsynced, data[:f.disk.random.IntN(len(data)+1)]...)
			f.disk.operationsLeft = -1
		}
		return 0, ErrCrashed
	}
	if f.disk.failingWrites > 0 {
		f.disk.failingWrites--
		f.file.unsynced = append(f.file.unsynced, data[:f.disk.random.IntN(len(data)+1)]...)
		return 0, ErrFull
	}
	f.file.unsynced = append(f.file.unsynced, data...)
	return len(data), nil
}

// Sync implements journaler.File.
func (f *openFile) Sync() error {
	if !f.disk.countOperation() {
		return ErrCrashed
	}
	f.file.synced = append(f.file.synced, f.file.unsynced...)
	f.file.unsynced = nil
	return nil
}

// Close implements journaler.File.
func (f *openFile) Close() error {
	return nil
}
