package galenawal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

var (
	errInjectedSync = errors.New("injected sync failure")
	testHardState   = HardState{Term: 3, Vote: ID{Name: "a", Incarnation: 7}}
)

// failingDir is a Dir in which every sync of a file or of the directory fails
// while failSyncs is set.
type failingDir struct {
	Dir
	failSyncs bool
}

type failingFile struct {
	File
	dir *failingDir
}

func (d *failingDir) Open(name string) (File, error) {
	f, err := d.Dir.Open(name)
	return &failingFile{f, d}, err
}

func (d *failingDir) syncUnlessFailing(sync func() error) error {
	if d.failSyncs {
		return errInjectedSync
	}
	return sync()
}

func (d *failingDir) Sync() error  { return d.syncUnlessFailing(d.Dir.Sync) }
func (f *failingFile) Sync() error { return f.dir.syncUnlessFailing(f.File.Sync) }

func testEntry(index uint64) Entry {
	return Entry{Index: index, Term: 3, Data: fmt.Appendf(nil, "command %d", index)}
}

// openLog opens the log in the directory at path. It releases the directory
// lock on return, so that the directory can be opened again as after a restart.
func openLog(t *testing.T, path string) (*Log, State, error) {
	t.Helper()
	d, err := OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	return Open(d, func() uint64 { return 7 })
}

// writeRecords appends n records of one entry each in a new data directory. It
// returns the size of the log file before each record.
func writeRecords(t *testing.T, path string, n uint64) (sizesBefore []int64) {
	t.Helper()
	is := is.New(t)
	l, _, err := openLog(t, path)
	is.NoErr(err)
	for i := range n {
		sizesBefore = append(sizesBefore, l.Size())
		is.NoErr(l.Append(testHardState, []Entry{testEntry(i + 1)}))
	}
	is.NoErr(l.Close())
	return sizesBefore
}

// Guards against a restart that loses acknowledged entries.
func TestReopenKeepsAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	writeRecords(t, path, 5)
	l, s, err := openLog(t, path)
	is.NoErr(err)
	is.Equal(s.HardState, testHardState)
	is.Equal(len(s.Entries), 5)
	is.NoErr(l.Append(testHardState, []Entry{testEntry(3)})) // replaces entries 3 to 5
	is.NoErr(l.SaveSnapshot(Snapshot{Index: 2, Term: 3, Data: []byte("state")}))
	is.NoErr(l.Compact(testHardState, []Entry{testEntry(2), testEntry(3)}))
	is.NoErr(l.Append(testHardState, []Entry{testEntry(4)}))
	_, s, err = openLog(t, path)
	is.NoErr(err)
	is.Equal(s.Entries, []Entry{testEntry(2), testEntry(3), testEntry(4)})
	is.Equal(string(s.Snapshot.Data), "state")
	is.Equal(s.Incarnation, uint64(7))
}

// Guards against a replica that cannot start because its last record is torn.
// The record is cut at every length, and its remaining bytes are missing or zero.
func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	sizes := writeRecords(t, path, 3)
	logPath := filepath.Join(path, logName)
	intact, err := os.ReadFile(logPath)
	is.NoErr(err)
	for n := sizes[2]; n < int64(len(intact)); n++ {
		torn := append([]byte(nil), intact[:n]...)
		if n%2 == 1 {
			torn = append(torn, make([]byte, len(intact)-len(torn))...) // the file size reached the disk, but the data did not
		}
		is.NoErr(os.WriteFile(logPath, torn, fileMode))
		l, s, err := openLog(t, path)
		is.NoErr(err)
		is.Equal(len(s.Entries), 2)
		is.Equal(l.Size(), sizes[2])
		is.NoErr(l.Append(testHardState, []Entry{testEntry(3)}))
		_, s, err = openLog(t, path)
		is.NoErr(err)
		is.Equal(len(s.Entries), 3)
	}
}

// Guards against damage to acknowledged records that is mistaken for a torn
// write. The test changes each byte before the last record in turn.
func TestDamageBeforeLastRecordIsReported(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	sizes := writeRecords(t, path, 3)
	logPath := filepath.Join(path, logName)
	intact, err := os.ReadFile(logPath)
	is.NoErr(err)
	for i := range sizes[2] {
		damaged := append([]byte(nil), intact...)
		damaged[i] ^= 0x55
		is.NoErr(os.WriteFile(logPath, damaged, fileMode))
		if _, _, err := openLog(t, path); !errors.Is(err, galenahead.ErrCorrupt) {
			t.Fatalf("byte %d changed: got %v, want ErrCorrupt", i, err)
		}
	}
}

// Guards against a replica that keeps its identity after it lost data and could
// then vote twice in one term, and against a replica that cannot restart with a
// new identity.
func TestQuarantineDamagedData(t *testing.T) {
	for _, name := range []string{identityName, logName, snapshotName, "missing log"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := t.TempDir()
			writeRecords(t, path, 3)
			l, _, err := openLog(t, path)
			is.NoErr(err)
			is.NoErr(l.SaveSnapshot(Snapshot{Index: 2, Term: 3}))
			if name == "missing log" {
				is.NoErr(os.Remove(filepath.Join(path, logName)))
			} else {
				is.NoErr(os.WriteFile(filepath.Join(path, name), []byte("not a record"), fileMode))
			}
			_, _, err = openLog(t, path)
			is.True(errors.Is(err, galenahead.ErrCorrupt))

			d, err := OpenDir(path)
			is.NoErr(err)
			_, err = OpenDir(path)
			is.True(err != nil) // the directory is locked by d
			is.NoErr(Quarantine(d))
			_, s, err := Open(d, func() uint64 { return 8 })
			is.NoErr(err)
			is.True(s.Blank())
			is.Equal(s.Incarnation, uint64(8))
			_, err = d.ReadFile(snapshotName + damagedSuffix) // damaged files are kept for inspection
			is.NoErr(err)
		})
	}
}

// Guards against writes that succeed after a failed sync, when the content of
// the disk is unknown.
func TestWritesFailAfterFailedSync(t *testing.T) {
	is := is.New(t)
	d, err := OpenDir(t.TempDir())
	is.NoErr(err)
	fd := &failingDir{Dir: d}
	ops := map[string]func(l *Log) error{
		"append":   func(l *Log) error { return l.Append(testHardState, []Entry{testEntry(1)}) },
		"snapshot": func(l *Log) error { return l.SaveSnapshot(Snapshot{Index: 1, Term: 3}) },
		"compact":  func(l *Log) error { return l.Compact(testHardState, nil) },
	}
	for name, op := range ops {
		fd.failSyncs = false
		l, _, err := Open(fd, func() uint64 { return 7 })
		is.NoErr(err)
		fd.failSyncs = true
		if err := op(l); !errors.Is(err, ErrWriteFailed) {
			t.Errorf("%s: got %v, want ErrWriteFailed", name, err)
		}
		fd.failSyncs = false
		if err := l.Append(testHardState, nil); !errors.Is(err, ErrWriteFailed) {
			t.Errorf("append after a failed %s: got %v, want ErrWriteFailed", name, err)
		}
	}
}

// Guards against a log that cannot be opened after a crash between storing a
// snapshot from the leader and rewriting the log: new entries were appended after
// old ones with which they are not contiguous. Found by seed 520 of the random
// simulations.
func TestAppendAfterSnapshotReplacedLog(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	writeRecords(t, path, 3)
	l, _, err := openLog(t, path)
	is.NoErr(err)
	is.NoErr(l.SaveSnapshot(Snapshot{Index: 20, Term: 3}))
	l, s, err := openLog(t, path)
	is.NoErr(err)
	is.Equal(len(s.Entries), 0)
	is.NoErr(l.Append(testHardState, []Entry{testEntry(21)}))
	_, s, err = openLog(t, path)
	is.NoErr(err)
	is.Equal(s.Entries, []Entry{testEntry(21)})
}
