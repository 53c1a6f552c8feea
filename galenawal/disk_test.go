package galenawal

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var errDiskFull = errors.New("injected: no space left on device")

// diskFault says what a failed operation of a fullDisk leaves behind.
type diskFault int

const (
	// notCarriedOut leaves everything as it was.
	notCarriedOut diskFault = iota
	// partlyWritten leaves the first half of a write in the file.
	partlyWritten
	// carriedOut carries out the operation and reports an error all the same.
	carriedOut
	// evicted is like carriedOut, but reads return zeros for what failed syncs should
	// have stored.
	evicted
	diskFaultCount
)

func (f diskFault) String() string {
	return [...]string{"not carried out", "partly written", "carried out", "evicted"}[f]
}

// fullDisk is an in-memory Dir. Its operation failFrom+i fails if bit i of failures is
// set. Reads never fail. As on Linux, what a failed sync of a file should have stored
// can still be read, but later syncs of the file do not store it either.
type fullDisk struct {
	rand       *rand.Rand
	fault      diskFault
	failFrom   int
	failures   uint64
	operations int
	// names are the files by name, and durableNames those that a power loss leaves.
	names, durableNames map[string]*diskFile
	openFiles           int
}

// diskFile is a file of a fullDisk.
type diskFile struct {
	disk *fullDisk
	// cached is what reads return, and stored what a power loss leaves. The next sync
	// stores the bytes of cached from dirtyFrom on.
	cached, stored []byte
	dirtyFrom      int
}

// diskHandle is an open diskFile.
type diskHandle struct {
	*diskFile
	closed bool
}

func newFullDisk(seed uint64, fault diskFault, failFrom int, failures uint64) *fullDisk {
	return &fullDisk{
		rand: rand.New(rand.NewPCG(seed, seed)), fault: fault, failFrom: failFrom, failures: failures,
		names: map[string]*diskFile{}, durableNames: map[string]*diskFile{},
	}
}

// fails counts one operation and reports whether it fails.
func (d *fullDisk) fails() bool {
	d.operations++
	return d.operations >= d.failFrom && d.failures>>(d.operations-d.failFrom)&1 != 0
}

// change carries out an operation on names, unless it fails without effect.
func (d *fullDisk) change(op func()) error {
	failed := d.fails()
	if !failed || d.fault >= carriedOut {
		op()
	}
	if failed {
		return errDiskFull
	}
	return nil
}

func (d *fullDisk) ReadFile(name string) ([]byte, error) {
	f, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	if d.fault == evicted {
		f.evict()
	}
	return slices.Clone(f.cached), nil
}

func (d *fullDisk) Open(name string) (File, error) {
	if d.names[name] == nil {
		if err := d.change(func() { d.names[name] = &diskFile{disk: d} }); err != nil {
			return nil, err
		}
	}
	d.openFiles++
	return &diskHandle{diskFile: d.names[name]}, nil
}

func (d *fullDisk) Rename(from, to string) error {
	f, ok := d.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	return d.change(func() {
		delete(d.names, from)
		d.names[to] = f
	})
}

func (d *fullDisk) Remove(name string) error {
	if d.names[name] == nil {
		return nil
	}
	return d.change(func() { delete(d.names, name) })
}

func (d *fullDisk) Sync() error {
	if d.fails() {
		return errDiskFull
	}
	d.durableNames = maps.Clone(d.names)
	return nil
}

// losePower leaves what is certain to be on the disk, and of the rest what the random
// numbers say. Each name and the end of each file is kept or lost independently.
func (d *fullDisk) losePower() {
	kept := maps.Clone(d.durableNames)
	for _, name := range slices.Sorted(maps.Keys(allNames(d.names, d.durableNames))) {
		if d.rand.IntN(2) == 0 {
			continue
		}
		delete(kept, name)
		if f, ok := d.names[name]; ok {
			kept[name] = f
		}
	}
	d.names, d.durableNames = kept, maps.Clone(kept)
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		f := kept[name]
		if unsynced := len(f.cached) - f.dirtyFrom; unsynced > 0 && d.rand.IntN(2) == 0 {
			f.store(f.cached[:f.dirtyFrom+d.rand.IntN(unsynced+1)])
		}
		f.cached = slices.Clone(f.stored)
		f.dirtyFrom = len(f.cached)
	}
}

func allNames(a, b map[string]*diskFile) map[string]*diskFile {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// store stores the bytes of content from dirtyFrom on.
func (f *diskFile) store(content []byte) {
	stored := make([]byte, len(content)) // bytes that were never stored read as zeros
	copy(stored, f.stored)
	copy(stored[f.dirtyFrom:], content[f.dirtyFrom:])
	f.stored, f.dirtyFrom = stored, len(content)
}

// evict replaces what failed syncs should have written by what is on the disk.
func (f *diskFile) evict() {
	clean := min(f.dirtyFrom, len(f.cached))
	onDisk := make([]byte, clean) // bytes that were never stored read as zeros
	copy(onDisk, f.stored)
	copy(f.cached, onDisk)
}

func (h *diskHandle) Write(p []byte) (int, error) {
	n := len(p)
	failed := h.disk.fails()
	switch {
	case failed && h.disk.fault == notCarriedOut:
		n = 0
	case failed && h.disk.fault == partlyWritten:
		n /= 2
	}
	h.cached = append(h.cached, p[:n]...)
	if failed {
		return n, errDiskFull
	}
	return n, nil
}

func (h *diskHandle) Sync() error {
	if h.disk.fails() {
		h.dirtyFrom = len(h.cached)
		return errDiskFull
	}
	h.store(h.cached)
	return nil
}

func (h *diskHandle) Close() error {
	if !h.closed {
		h.disk.openFiles--
	}
	h.closed = true
	return nil
}

// content returns what a replica knows from s.
func content(s State) string {
	entries := slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Index <= s.Snapshot.Index })
	return fmt.Sprintf("%v %d %q %v", s.HardState, s.Snapshot.Index, s.Snapshot.Data, entries)
}

// diskStep is a write of a replica and what the replica knows after it.
type diskStep struct {
	name string
	do   func(*Log) error
	want string
}

// diskSteps returns the writes of a replica that stores entries and a snapshot of its
// own, replaces entries of another leader, and then stores a snapshot of its leader
// that replaces its entries.
func diskSteps() []diskStep {
	entry := func(term, index uint64, size int) Entry {
		return Entry{Index: index, Term: term, Data: []byte(strings.Repeat("x", size))}
	}
	hardState := func(term uint64) HardState { return HardState{Term: term, Vote: ID{Name: "a", Incarnation: 1}} }
	own := Snapshot{Index: 2, Term: 3, Data: []byte("own")}
	leaders := Snapshot{Index: 20, Term: 4, Data: []byte("of the leader")}
	e1, e2, e3, e4 := entry(3, 1, 5), entry(3, 2, 90), entry(3, 3, 5), entry(3, 4, 200)
	f3, f21 := entry(4, 3, 7), entry(4, 21, 3)
	appendStep := func(term uint64, s Snapshot, appended Entry, known ...Entry) diskStep {
		return diskStep{
			fmt.Sprintf("append entry %d of term %d", appended.Index, appended.Term),
			func(l *Log) error { return l.Append(hardState(term), []Entry{appended}) },
			content(State{HardState: hardState(term), Snapshot: s, Entries: known}),
		}
	}
	snapshotStep := func(term uint64, s Snapshot, known ...Entry) diskStep {
		return diskStep{
			fmt.Sprintf("store snapshot %d", s.Index),
			func(l *Log) error { return l.SaveSnapshot(s) },
			content(State{HardState: hardState(term), Snapshot: s, Entries: known}),
		}
	}
	compactStep := func(term uint64, s Snapshot, known ...Entry) diskStep {
		return diskStep{
			fmt.Sprintf("compact log to snapshot %d", s.Index),
			func(l *Log) error { return l.Compact(hardState(term), known) },
			content(State{HardState: hardState(term), Snapshot: s, Entries: known}),
		}
	}
	return []diskStep{
		appendStep(3, Snapshot{}, e1, e1),
		appendStep(3, Snapshot{}, e2, e1, e2),
		appendStep(3, Snapshot{}, e3, e1, e2, e3),
		snapshotStep(3, own, e3),
		compactStep(3, own, e3),
		appendStep(3, own, e4, e3, e4),
		appendStep(4, own, f3, f3),
		snapshotStep(4, leaders),
		compactStep(4, leaders),
		appendStep(4, leaders, f21, f21),
	}
}

// reopenUntilWritable opens the log again until the disk works, as a daemon does. Power
// may be lost before each attempt but the first.
func reopenUntilWritable(d *fullDisk, newIncarnation func() uint64) (*Log, State, error) {
	const maxAttempts = 100
	for range maxAttempts {
		openFiles := d.openFiles
		l, s, err := Open(d, newIncarnation)
		if err == nil {
			return l, s, nil
		}
		if !errors.Is(err, errDiskFull) {
			return nil, s, fmt.Errorf("open: %w", err)
		}
		if d.openFiles != openFiles {
			return nil, s, fmt.Errorf("a failed Open leaves %d files open", d.openFiles-openFiles)
		}
		if d.rand.IntN(2) == 0 {
			d.losePower()
		}
	}
	return nil, State{}, errors.New("the log can't be opened")
}

// playFullDisk carries out diskSteps on d. It opens the log again after a failed
// operation, and checks that this and a later power loss lose and add nothing.
func playFullDisk(d *fullDisk) error {
	var incarnations uint64
	newIncarnation := func() uint64 { incarnations++; return incarnations }
	l, s, err := reopenUntilWritable(d, newIncarnation)
	if err != nil {
		return err
	}
	id, known := s.Incarnation, content(State{})
	for _, step := range append(diskSteps(), diskStep{"end", func(*Log) error { return ErrWriteFailed }, ""}) {
		err := step.do(l)
		if err == nil {
			known = step.want
			continue
		}
		if !errors.Is(err, ErrWriteFailed) {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		if err := l.Close(); err != nil {
			return err
		}
		l, s, err = reopenUntilWritable(d, newIncarnation)
		if err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		if got := content(s); s.Incarnation != id || got != known && got != step.want {
			return fmt.Errorf("%s: opened with incarnation %d and %s, want %d and %s or %s", step.name, s.Incarnation, got, id, known, step.want)
		}
		// From here on the replica acknowledges what Open returned.
		known = content(s)
		break
	}
	if d.openFiles != 1 {
		return fmt.Errorf("%d files are open, want 1", d.openFiles)
	}
	for name := range d.names {
		if strings.HasSuffix(name, tempSuffix) {
			return fmt.Errorf("temporary file %s is left", name)
		}
	}
	d.losePower()
	if _, s, err = reopenUntilWritable(d, newIncarnation); err != nil {
		return fmt.Errorf("after a power loss: %w", err)
	}
	if got := content(s); s.Incarnation != id || got != known {
		return fmt.Errorf("after a power loss: opened with incarnation %d and %s, want %d and %s", s.Incarnation, got, id, known)
	}
	return nil
}

// Guards against a replica that loses what it has acknowledged, or its identity,
// or that leaves files behind, because its disk was full for a while. Each operation
// on the disk fails in turn, in each way, with those that follow it or one of them.
func TestFullDiskLosesNothing(t *testing.T) {
	const seeds, maxDistance = 8, 8
	var patterns []uint64
	for _, n := range []int{1, 2, 3, 5, 8, 13, 40} {
		patterns = append(patterns, 1<<n-1)
	}
	for distance := 2; distance <= maxDistance; distance++ {
		patterns = append(patterns, 1|1<<distance)
	}
	for fault := range diskFaultCount {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			undisturbed := newFullDisk(0, fault, 0, 0)
			is.New(t).NoErr(playFullDisk(undisturbed))
			for failFrom := range undisturbed.operations {
				for _, failures := range patterns {
					for seed := range uint64(seeds) {
						if err := playFullDisk(newFullDisk(seed, fault, failFrom+1, failures)); err != nil {
							t.Fatalf("seed %d, operations %d + the bits of %#x fail: %v", seed, failFrom+1, failures, err)
						}
					}
				}
			}
		})
	}
}
