package galenaraft

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/galenahead/galenahead/galenawal"
)

var (
	errCrash = errors.New("simulated crash")
	errFull  = errors.New("simulated full disk")
)

// memFile is an in-memory file. Only its first syncedSize bytes are certain to
// survive a crash.
type memFile struct {
	disk       *memDisk
	data       []byte
	syncedSize int
	// unstored are the ranges that failed syncs should have stored. They can still be
	// read, but later syncs do not store them.
	unstored []byteRange
}

type byteRange struct{ from, to int }

// evict replaces what failed syncs should have stored by zeros.
func (f *memFile) evict() {
	for _, r := range f.unstored {
		clear(f.data[r.from:r.to])
	}
	f.unstored = nil
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
	// opsUntilFull is the number of operations until the disk is full and onFull is
	// called. It is negative if that is not planned. While the disk is full, every
	// operation fails; writes and renames may be carried out in part or in full all the
	// same.
	opsUntilFull int
	onFull       func()
	full         bool
	// skipLogSync is an injected fault: syncs of the log file have no effect.
	skipLogSync bool
}

func newMemDisk(r *rand.Rand) *memDisk {
	return &memDisk{rand: r, files: map[string]*memFile{}, durableFiles: map[string]*memFile{}, opsUntilCrash: -1, opsUntilFull: -1}
}

// countOperation counts one operation and fails if the disk crashes before it or is
// full.
func (d *memDisk) countOperation() error {
	if d.opsUntilCrash > 0 {
		d.opsUntilCrash--
	}
	if d.opsUntilCrash == 0 {
		return errCrash
	}
	if d.opsUntilFull > 0 {
		if d.opsUntilFull--; d.opsUntilFull == 0 {
			d.full = true
			d.onFull()
		}
	}
	if d.full {
		return errFull
	}
	return nil
}

// evict removes what failed syncs should have stored from some files.
func (d *memDisk) evict() {
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if f := d.files[name]; len(f.unstored) > 0 && d.rand.IntN(2) == 0 {
			f.evict()
		}
	}
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
		f.evict()
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
	err := d.countOperation()
	if err == nil || d.full && d.rand.IntN(2) == 0 {
		delete(d.files, from)
		d.files[to] = f
	}
	return err
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
	err := f.disk.countOperation()
	n := len(p)
	if f.disk.full {
		n = f.disk.rand.IntN(n + 1)
	}
	f.data = append(f.data, p[:n]...)
	return n, err
}

func (f *memFile) Sync() error {
	err := f.disk.countOperation()
	if f.disk.full {
		f.unstored = append(f.unstored, byteRange{f.syncedSize, len(f.data)})
		f.syncedSize = len(f.data)
	}
	if err != nil {
		return err
	}
	if !f.disk.skipLogSync || f.disk.files["log"] != f {
		f.syncedSize = len(f.data)
	}
	return nil
}

func (f *memFile) Close() error { return nil }
