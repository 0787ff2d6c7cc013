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

// Disk is the little of a file system that a journal needs. What Sync and
// Replace returned for without an error survives a crash; nothing else must.
type Disk interface {
	// Read returns a file whole, or an error that is fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Replace puts a file in place, whole and synced, or leaves the old one.
	Replace(name string, data []byte) error
	// Append opens a file for appending at an offset, cutting what follows.
	Append(name string, offset int64) (File, error)
}

// File is an open journal file.
type File interface {
	io.WriteCloser
	Sync() error
}

// Folder is a Disk that keeps its files in one folder.
type Folder struct {
	Path string
}

// The permissions of what a Folder creates.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OpenFolder creates the folder when it is missing.
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

// syncPause is the pause before a folder that could not be synced is synced
// again.
const syncPause = 100 * time.Millisecond

// Replace implements Disk by write, sync, rename and sync of the folder. Once
// the rename is made there is no way back: the sync of the folder is repeated
// until it succeeds, or a crash could still bring the old file back.
func (f Folder) Replace(name string, data []byte) error {
	path := filepath.Join(f.Path, name)
	temporary := path + ".new"
	if err := writeSynced(temporary, data); err != nil {
		return trace.Wrap(err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return trace.ConvertSystemError(err)
	}
	for f.sync() != nil {
		time.Sleep(syncPause)
	}
	return nil
}

// Append implements Disk.
func (f Folder) Append(name string, offset int64) (File, error) {
	path := filepath.Join(f.Path, name)
	_, err := os.Stat(path)
	created := errors.Is(err, fs.ErrNotExist)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := cutAt(file, offset); err != nil {
		return nil, trace.NewAggregate(err, file.Close())
	}
	if created {
		if err := f.sync(); err != nil {
			return nil, trace.NewAggregate(err, file.Close())
		}
	}
	return file, nil
}

// sync makes renames and creations in the folder durable.
func (f Folder) sync() error {
	folder, err := os.Open(f.Path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.NewAggregate(folder.Sync(), folder.Close())
}

func cutAt(file *os.File, offset int64) error {
	if err := file.Truncate(offset); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err := file.Seek(offset, io.SeekStart)
	return trace.ConvertSystemError(err)
}

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

// Clear removes all files of the folder.
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
	return f.sync()
}
