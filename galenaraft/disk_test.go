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

// memFile is a file of which only the first synced bytes survive a crash.
type memFile struct {
	disk   *memDisk
	data   []byte
	synced int
}

// memDisk is a galenawal.Dir in memory. A crash loses data and names that were
// not synced, except for a random part.
type memDisk struct {
	rand    *rand.Rand
	names   map[string]*memFile
	durable map[string]*memFile
	// crashIn is the number of writes and syncs until a crash; negative for
	// none, zero while crashed.
	crashIn int
	// skipSync leaves appends to the log volatile, a fault that the checks must
	// catch.
	skipSync bool
}

func newMemDisk(r *rand.Rand) *memDisk {
	return &memDisk{rand: r, names: map[string]*memFile{}, durable: map[string]*memFile{}, crashIn: -1}
}

// operate counts one operation and reports a crash before it.
func (d *memDisk) operate() error {
	if d.crashIn > 0 {
		d.crashIn--
	}
	if d.crashIn == 0 {
		return errCrash
	}
	return nil
}

// restart makes the disk what a process finds after a crash.
func (d *memDisk) restart() {
	d.crashIn = -1
	if d.rand.IntN(2) == 0 {
		d.durable = maps.Clone(d.names)
	}
	d.names = maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		f := d.names[name]
		kept := f.synced + d.rand.IntN(len(f.data)-f.synced+1)
		if kept > f.synced && d.rand.IntN(2) == 0 {
			f.data[kept-1] ^= 0x55
		}
		f.data = f.data[:kept:kept]
		f.synced = kept
	}
}

func (d *memDisk) ReadFile(name string) ([]byte, error) {
	f, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

func (d *memDisk) Open(name string) (galenawal.File, error) {
	if d.names[name] == nil {
		d.names[name] = &memFile{disk: d}
	}
	return d.names[name], d.operate()
}

func (d *memDisk) Rename(from, to string) error {
	f, ok := d.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	if err := d.operate(); err != nil {
		return err
	}
	delete(d.names, from)
	d.names[to] = f
	return nil
}

func (d *memDisk) Remove(name string) error {
	delete(d.names, name)
	return d.operate()
}

func (d *memDisk) Sync() error {
	if err := d.operate(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

func (f *memFile) Write(p []byte) (int, error) {
	if f.disk.crashIn == 0 {
		return 0, errCrash
	}
	f.data = append(f.data, p...)
	return len(p), f.disk.operate()
}

func (f *memFile) Truncate(size int64) error {
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	return f.disk.operate()
}

func (f *memFile) Sync() error {
	if err := f.disk.operate(); err != nil {
		return err
	}
	if !f.disk.skipSync || f.disk.names["log"] != f {
		f.synced = len(f.data)
	}
	return nil
}

func (f *memFile) Close() error { return nil }
