package galenaraft

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/galenahead/galenahead/galenawal"
)

var errCrash = errors.New("simulated crash")

// memFile is an in-memory file. Only its first syncedSize bytes are certain to
// survive a crash.
type memFile struct {
	disk       *memDisk
	data       []byte
	syncedSize int
}

// memDisk is an in-memory galenawal.Dir. A crash loses a random part of the data
// and file names that were not synced.
type memDisk struct {
	rand  *rand.Rand
	files map[string]*memFile
	// durableFiles are the files by their names at the last sync of the directory.
	durableFiles map[string]*memFile
	// opsUntilCrash is the number of operations until a crash. It is negative if no
	// crash is planned, and zero after the crash.
	opsUntilCrash int
	// skipLogSync is an injected fault: syncs of the log file have no effect.
	skipLogSync bool
}

func newMemDisk(r *rand.Rand) *memDisk {
	return &memDisk{rand: r, files: map[string]*memFile{}, durableFiles: map[string]*memFile{}, opsUntilCrash: -1}
}

// countOperation counts one operation and fails if the disk crashes before it.
func (d *memDisk) countOperation() error {
	if d.opsUntilCrash > 0 {
		d.opsUntilCrash--
	}
	if d.opsUntilCrash == 0 {
		return errCrash
	}
	return nil
}

// recoverFromCrash sets the files to what a process finds after a crash. Unsynced
// data may be lost, kept in part or damaged.
func (d *memDisk) recoverFromCrash() {
	d.opsUntilCrash = -1
	if d.rand.IntN(2) == 0 {
		d.durableFiles = maps.Clone(d.files)
	}
	d.files = maps.Clone(d.durableFiles)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		kept := f.syncedSize + d.rand.IntN(len(f.data)-f.syncedSize+1)
		if kept > f.syncedSize && d.rand.IntN(2) == 0 {
			f.data[kept-1] ^= 0x55
		}
		f.data = f.data[:kept:kept]
		f.syncedSize = kept
	}
}

func (d *memDisk) ReadFile(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

func (d *memDisk) Open(name string) (galenawal.File, error) {
	if d.files[name] == nil {
		d.files[name] = &memFile{disk: d}
	}
	return d.files[name], d.countOperation()
}

func (d *memDisk) Rename(from, to string) error {
	f, ok := d.files[from]
	if !ok {
		return fs.ErrNotExist
	}
	if err := d.countOperation(); err != nil {
		return err
	}
	delete(d.files, from)
	d.files[to] = f
	return nil
}

func (d *memDisk) Remove(name string) error {
	delete(d.files, name)
	return d.countOperation()
}

func (d *memDisk) Sync() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.durableFiles = maps.Clone(d.files)
	return nil
}

func (f *memFile) Write(p []byte) (int, error) {
	if f.disk.opsUntilCrash == 0 {
		return 0, errCrash
	}
	f.data = append(f.data, p...)
	return len(p), f.disk.countOperation()
}

func (f *memFile) Sync() error {
	if err := f.disk.countOperation(); err != nil {
		return err
	}
	if !f.disk.skipLogSync || f.disk.files["log"] != f {
		f.syncedSize = len(f.data)
	}
	return nil
}

func (f *memFile) Close() error { return nil }
