package journaler

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// Disk is the part of a file system that a journal needs. Data survives a crash
// if Sync or Replace has returned without an error for it; other data may be lost.
type Disk interface {
	// Read returns the contents of a file. The error is fs.ErrNotExist if there
	// is no such file.
	Read(name string) ([]byte, error)
	// Replace atomically creates or replaces a file and syncs it. After an error
	// or a crash, the file is either the old one or the new one.
	Replace(name string, data []byte) error
	// Append opens a file for appending at an offset in bytes and truncates
	// what follows. It creates the file if there is none.
	Append(name string, offset int64) (File, error)
}

// File is a file that is open for appending. Sync makes all earlier writes
// durable.
type File interface {
	io.WriteCloser
	Sync() error
}

// Folder is a Disk that keeps its files in one folder of the file system.
type Folder struct {
	Path string
}

// Permissions of the folder and the files that a Folder creates.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OpenFolder returns the folder at a path and creates it if necessary.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return Folder{}, trace.ConvertSystemError(err)
	}
	return Folder{Path: path}, nil
}

// Read implements Disk.
func (f Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.Path, name))
}

// syncRetryInterval is the pause between attempts to sync a folder.
const syncRetryInterval = 100 * time.Millisecond

// Replace implements Disk: it writes and syncs a temporary file, renames it and
// syncs the folder. The rename cannot be undone, and until the folder is synced a
// crash could bring the old file back, so Replace blocks until the sync succeeds.
func (f Folder) Replace(name string, data []byte) error {
	path := filepath.Join(f.Path, name)
	temporary := path + ".new"
	if err := writeSynced(temporary, data); err != nil {
		return trace.Wrap(err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return trace.ConvertSystemError(err)
	}
	for f.syncFolder() != nil {
		time.Sleep(syncRetryInterval)
	}
	return nil
}

// Append implements Disk.
func (f Folder) Append(name string, offset int64) (File, error) {
	path := filepath.Join(f.Path, name)
	_, err := os.Stat(path)
	isNew := errors.Is(err, fs.ErrNotExist)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := truncateAt(file, offset); err != nil {
		return nil, trace.NewAggregate(err, file.Close())
	}
	if isNew {
		if err := f.syncFolder(); err != nil {
			return nil, trace.NewAggregate(err, file.Close())
		}
	}
	return file, nil
}

// syncFolder makes renames and creations in the folder durable.
func (f Folder) syncFolder() error {
	folder, err := os.Open(f.Path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.NewAggregate(folder.Sync(), folder.Close())
}

// truncateAt truncates a file at an offset and moves the write position there.
func truncateAt(file *os.File, offset int64) error {
	if err := file.Truncate(offset); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err := file.Seek(offset, io.SeekStart)
	return trace.ConvertSystemError(err)
}

// writeSynced creates or overwrites a file and syncs it.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := file.Write(data); err != nil {
		return trace.NewAggregate(err, file.Close())
	}
	return trace.NewAggregate(file.Sync(), file.Close())
}

// Clear removes all files in the folder.
func (f Folder) Clear() error {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, entry := range entries {
		if err := os.Remove(filepath.Join(f.Path, entry.Name())); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return f.syncFolder()
}
