package galenawal

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	dirMode  = 0o750
	fileMode = 0o640
	lockName = "lock"
)

// Dir is a data directory. Tests replace it to inject faults.
type Dir interface {
	// ReadFile returns the content of a file. It fails with fs.ErrNotExist if the
	// file does not exist.
	ReadFile(name string) ([]byte, error)
	// Open opens a file for appending and creates it if it does not exist.
	Open(name string) (File, error)
	// Rename atomically renames from to to and replaces an existing file.
	Rename(from, to string) error
	// Remove removes a file. A missing file is not an error.
	Remove(name string) error
	// Sync makes creations, renames and removals in the directory durable.
	Sync() error
}

// File is a file open for appending.
type File interface {
	// Write appends p.
	Write(p []byte) (int, error)
	// Sync makes the content and the size durable.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

// OSDir is a Dir in the file system. It holds an exclusive lock on the directory
// until Close.
type OSDir struct {
	path string
	lock *os.File
}

// OpenDir opens and locks the directory at path and creates it if it does not
// exist. It fails if another process holds the lock.
func OpenDir(path string) (*OSDir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, eris.Wrapf(err, "create data directory %s", path)
	}
	if err := syncDir(filepath.Dir(path)); err != nil {
		return nil, eris.Wrapf(err, "sync parent directory of %s", path)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "lock data directory %s", path)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, eris.Wrapf(err, "data directory %s is used by another process", path)
	}
	return &OSDir{path: path, lock: lock}, nil
}

// ReadFile implements Dir.
func (d *OSDir) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

// Open implements Dir.
func (d *OSDir) Open(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements Dir.
func (d *OSDir) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

// Remove implements Dir.
func (d *OSDir) Remove(name string) error {
	err := os.Remove(filepath.Join(d.path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// Sync implements Dir.
func (d *OSDir) Sync() error { return syncDir(d.path) }

// Close releases the lock.
func (d *OSDir) Close() error { return d.lock.Close() }

func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	err = f.Sync()
	return errors.Join(err, f.Close())
}
