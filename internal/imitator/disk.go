package imitator

import (
	"errors"
	"io/fs"
	"math/rand/v2"

	"github.com/boragehead/boragehead/internal/journaler"
)

// ErrFull is returned by a disk that has no room.
var ErrFull = errors.New("no space left")

// ErrCrashed is returned by a disk whose machine has crashed.
var ErrCrashed = errors.New("crashed")

// Disk is a journaler.Disk in memory. A crash loses what was not synced,
// except for a random part of it, as a real one may.
type Disk struct {
	random *rand.Rand
	files  map[string]*diskFile
	// fuse is how many more operations succeed; below 0 there is no limit.
	fuse    int
	crashed bool
	// refusals is how many more writes find no room.
	refusals int
}

// diskFile is what is durable of a file, and what was written after.
type diskFile struct {
	synced  []byte
	written []byte
}

// NewDisk returns an empty disk whose crashes follow a seed.
func NewDisk(seed uint64) *Disk {
	return &Disk{random: rand.New(rand.NewPCG(seed, 1)), files: map[string]*diskFile{}, fuse: -1}
}

// CrashAfter makes the disk crash in the middle of a later operation.
func (d *Disk) CrashAfter(operations int) {
	d.fuse = operations
}

// Refuse makes a number of later writes find no room. A part of each is kept.
func (d *Disk) Refuse(writes int) {
	d.refusals = writes
}

// Restart ends a crash: what was not synced is lost, but for a random prefix.
func (d *Disk) Restart() {
	for _, file := range d.files {
		torn := d.random.IntN(len(file.written) + 1)
		file.synced = append(file.synced, file.written[:torn]...)
		file.written = nil
	}
	d.crashed = false
	d.fuse = -1
}

// Lose empties the disk.
func (d *Disk) Lose() {
	d.files = map[string]*diskFile{}
	d.crashed = false
	d.fuse = -1
}

// Crashed reports whether the disk's machine is down.
func (d *Disk) Crashed() bool {
	return d.crashed
}

// Crash stops the machine between two operations.
func (d *Disk) Crash() {
	d.crashed = true
}

// burn counts an operation. It reports false when the crash comes now.
func (d *Disk) burn() bool {
	if d.crashed {
		return false
	}
	if d.fuse == 0 {
		d.crashed = true
		return false
	}
	if d.fuse > 0 {
		d.fuse--
	}
	return true
}

// Read implements journaler.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	file, exists := d.files[name]
	if !exists {
		return nil, fs.ErrNotExist
	}
	return append(append([]byte{}, file.synced...), file.written...), nil
}

// Replace implements journaler.Disk. A crash leaves the old file or the new.
func (d *Disk) Replace(name string, data []byte) error {
	alive := d.burn()
	if !alive && (d.fuse != 0 || d.random.IntN(2) == 0) {
		return ErrCrashed
	}
	d.files[name] = &diskFile{synced: append([]byte{}, data...)}
	if !alive {
		d.fuse = -1
		return ErrCrashed
	}
	return nil
}

// Append implements journaler.Disk.
func (d *Disk) Append(name string, offset int64) (journaler.File, error) {
	if !d.burn() {
		return nil, ErrCrashed
	}
	file, exists := d.files[name]
	if !exists {
		file = &diskFile{}
		d.files[name] = file
	}
	file.synced = append(file.synced, file.written...)[:offset:offset]
	file.written = nil
	return &openFile{disk: d, file: file}, nil
}

// openFile is a file that is open for appending.
type openFile struct {
	disk *Disk
	file *diskFile
}

// Write implements journaler.File. A crash keeps a part of the data unsynced.
func (f *openFile) Write(data []byte) (int, error) {
	if !f.disk.burn() {
		if f.disk.fuse == 0 {
			f.file.written = append(f.file.written, data[:f.disk.random.IntN(len(data)+1)]...)
			f.disk.fuse = -1
		}
		return 0, ErrCrashed
	}
	if f.disk.refusals > 0 {
		f.disk.refusals--
		f.file.written = append(f.file.written, data[:f.disk.random.IntN(len(data)+1)]...)
		return 0, ErrFull
	}
	f.file.written = append(f.file.written, data...)
	return len(data), nil
}

// Sync implements journaler.File.
func (f *openFile) Sync() error {
	if !f.disk.burn() {
		return ErrCrashed
	}
	f.file.synced = append(f.file.synced, f.file.written...)
	f.file.written = nil
	return nil
}

// Close implements journaler.File.
func (f *openFile) Close() error {
	return nil
}
