package galenawal

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// Names of the files in the data directory.
const (
	identityName = "identity"
	logName      = "log"
	snapshotName = "snapshot"
	tempSuffix   = ".tmp"
	damageSuffix = ".damaged"
)

// ErrFailed reports a write or sync that failed. What reached the disk is
// unknown, so the process must end; every later write fails as well.
var ErrFailed = eris.New("write to the data directory failed")

// Log holds the open files of one replica. It is not safe for concurrent use.
type Log struct {
	dir         Dir
	file        File
	incarnation uint64
	sequence    uint64
	size        int64
	syncs       uint64
	failed      error
}

// Open reads the files in dir and truncates a torn tail. In a directory
// without an identity it starts a new replica with the incarnation that
// newIncarnation returns. It fails with galenahead.ErrCorrupt when stored data
// is damaged or missing; the caller may then use Reject and open again.
func Open(dir Dir, newIncarnation func() uint64) (*Log, State, error) {
	incarnation, err := readIdentity(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return create(dir, newIncarnation())
	}
	if err != nil {
		return nil, State{}, err
	}
	l := &Log{dir: dir, incarnation: incarnation}
	s, err := l.load()
	if err != nil {
		return nil, State{}, err
	}
	return l, s, nil
}

// Reject sets the files of a replica with damaged data aside, so that the next
// Open starts a new replica. The identity goes first: a crash in between must
// not leave the old identity without its promises.
func Reject(dir Dir) error {
	for _, name := range []string{identityName, logName, snapshotName} {
		err := dir.Rename(name, name+damageSuffix)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrapf(err, "set %s aside", name)
		}
		if err := dir.Sync(); err != nil {
			return eris.Wrap(err, "sync data directory")
		}
	}
	return nil
}

func create(dir Dir, incarnation uint64) (*Log, State, error) {
	// Files without an identity are left from a first start or a Reject that
	// did not finish.
	if err := Reject(dir); err != nil {
		return nil, State{}, err
	}
	l := &Log{dir: dir, incarnation: incarnation}
	if err := l.rewrite(HardState{}, nil); err != nil {
		return nil, State{}, err
	}
	payload, err := cbor.Marshal(incarnation)
	if err != nil {
		return nil, State{}, eris.Wrap(err, "encode identity")
	}
	f, _, err := replace(dir, identityName, frame(0, 0, payload))
	if err != nil {
		return nil, State{}, err
	}
	return l, State{Incarnation: incarnation}, eris.Wrap(f.Close(), "close identity")
}

func readIdentity(dir Dir) (uint64, error) {
	b, err := dir.ReadFile(identityName)
	if err != nil {
		return 0, eris.Wrap(err, "read identity")
	}
	payload, _, _, ok := parseFrame(0, b)
	var incarnation uint64
	if !ok || cbor.Unmarshal(payload, &incarnation) != nil {
		return 0, eris.Wrap(galenahead.ErrCorrupt, "identity is damaged")
	}
	return incarnation, nil
}

// replace durably replaces the file name by content and returns it open.
func replace(dir Dir, name string, content []byte) (File, int64, error) {
	temp := name + tempSuffix
	if err := dir.Remove(temp); err != nil {
		return nil, 0, eris.Wrapf(err, "remove %s", temp)
	}
	f, err := dir.Open(temp)
	if err != nil {
		return nil, 0, eris.Wrapf(err, "create %s", temp)
	}
	if err := writeAndRename(dir, f, temp, name, content); err != nil {
		_ = f.Close()
		return nil, 0, err
	}
	return f, int64(len(content)), nil
}

func writeAndRename(dir Dir, f File, temp, name string, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return eris.Wrapf(err, "write %s", temp)
	}
	if err := f.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", temp)
	}
	if err := dir.Rename(temp, name); err != nil {
		return eris.Wrapf(err, "rename %s", temp)
	}
	return eris.Wrap(dir.Sync(), "sync data directory")
}

func (l *Log) load() (State, error) {
	s := State{Incarnation: l.incarnation}
	var err error
	if s.Snapshot, err = l.LoadSnapshot(); err != nil {
		return s, err
	}
	b, err := l.dir.ReadFile(logName)
	if errors.Is(err, fs.ErrNotExist) {
		return s, eris.Wrap(galenahead.ErrCorrupt, "log is missing")
	}
	if err != nil {
		return s, eris.Wrap(err, "read log")
	}
	records, good, err := scan(l.incarnation, b)
	if err != nil {
		return s, err
	}
	if len(records) == 0 {
		// The first record is synced before the file gets its name.
		return s, eris.Wrap(galenahead.ErrCorrupt, "log has no intact record")
	}
	replaced, err := s.replay(records)
	if err != nil {
		return s, err
	}
	l.sequence = uint64(len(records))
	l.size = int64(good)
	if err := l.reopen(good < len(b)); err != nil || !replaced {
		return s, err
	}
	// New entries would not follow the replaced ones in the file.
	return s, l.Compact(s.HardState, nil)
}

// reopen opens the log for appending and cuts a torn tail.
func (l *Log) reopen(torn bool) error {
	f, err := l.dir.Open(logName)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	l.file = f
	if !torn {
		return nil
	}
	if err := f.Truncate(l.size); err != nil {
		return eris.Wrap(err, "truncate torn tail of log")
	}
	return eris.Wrap(f.Sync(), "sync log")
}

// replay applies the records. It tells whether the snapshot has replaced the
// whole log.
func (s *State) replay(records []record) (replaced bool, err error) {
	for _, r := range records {
		s.HardState = r.HardState
		for _, e := range r.Entries {
			if err := s.put(e); err != nil {
				return false, err
			}
		}
	}
	return s.alignWithSnapshot()
}

func (s *State) put(e Entry) error {
	if len(s.Entries) == 0 {
		s.Entries = append(s.Entries, e)
		return nil
	}
	first := s.Entries[0].Index
	if e.Index < first || e.Index > first+uint64(len(s.Entries)) {
		return eris.Wrapf(galenahead.ErrCorrupt, "entry %d does not follow entry %d", e.Index, first+uint64(len(s.Entries))-1)
	}
	s.Entries = append(s.Entries[:e.Index-first], e)
	return nil
}

// alignWithSnapshot drops entries that a snapshot from the leader has replaced
// when the process ended before the log was rewritten.
func (s *State) alignWithSnapshot() (replaced bool, err error) {
	if len(s.Entries) == 0 {
		return false, nil
	}
	first := s.Entries[0].Index
	if first > s.Snapshot.Index+1 {
		return false, eris.Wrapf(galenahead.ErrCorrupt, "log starts at entry %d, snapshot ends at %d", first, s.Snapshot.Index)
	}
	if first == s.Snapshot.Index+1 {
		return false, nil
	}
	at := s.Snapshot.Index - first
	if at < uint64(len(s.Entries)) && s.Entries[at].Term == s.Snapshot.Term {
		return false, nil
	}
	s.Entries = nil
	return true, nil
}

// Append durably records the state and the entries with one write and one
// sync. It fails with ErrFailed.
func (l *Log) Append(hs HardState, entries []Entry) error {
	if l.failed != nil {
		return l.failed
	}
	payload, err := cbor.Marshal(record{HardState: hs, Entries: entries})
	if err != nil {
		return l.fail(eris.Wrap(err, "encode record"))
	}
	b := frame(l.incarnation, l.sequence, payload)
	if _, err := l.file.Write(b); err != nil {
		return l.fail(eris.Wrap(err, "write log"))
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(eris.Wrap(err, "sync log"))
	}
	l.sequence++
	l.syncs++
	l.size += int64(len(b))
	return nil
}

// SaveSnapshot durably replaces the snapshot. The log still holds all entries
// until Compact. It fails with ErrFailed.
func (l *Log) SaveSnapshot(s Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	payload, err := cbor.Marshal(s)
	if err != nil {
		return l.fail(eris.Wrap(err, "encode snapshot"))
	}
	f, _, err := replace(l.dir, snapshotName, frame(l.incarnation, 0, payload))
	if err != nil {
		return l.fail(err)
	}
	return eris.Wrap(f.Close(), "close snapshot")
}

// LoadSnapshot returns the stored snapshot, or the zero value when there is
// none. It fails with galenahead.ErrCorrupt when the snapshot is damaged.
func (l *Log) LoadSnapshot() (Snapshot, error) {
	b, err := l.dir.ReadFile(snapshotName)
	if errors.Is(err, fs.ErrNotExist) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, eris.Wrap(err, "read snapshot")
	}
	payload, _, rest, ok := parseFrame(l.incarnation, b)
	if !ok || len(rest) > 0 {
		return Snapshot{}, eris.Wrap(galenahead.ErrCorrupt, "snapshot is damaged")
	}
	var s Snapshot
	if err := cbor.Unmarshal(payload, &s); err != nil {
		return Snapshot{}, eris.Wrapf(galenahead.ErrCorrupt, "snapshot: %v", err)
	}
	return s, nil
}

// Compact durably replaces the log by one record with the state and the given
// entries. It fails with ErrFailed.
func (l *Log) Compact(hs HardState, entries []Entry) error {
	if l.failed != nil {
		return l.failed
	}
	old := l.file
	if err := l.rewrite(hs, entries); err != nil {
		return l.fail(err)
	}
	return eris.Wrap(old.Close(), "close old log")
}

func (l *Log) rewrite(hs HardState, entries []Entry) error {
	payload, err := cbor.Marshal(record{HardState: hs, Entries: entries})
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	f, size, err := replace(l.dir, logName, frame(l.incarnation, 0, payload))
	if err != nil {
		return err
	}
	l.file, l.size, l.sequence = f, size, 1
	return nil
}

// Size returns the size of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Syncs returns how many records were appended since Open, each with one sync.
func (l *Log) Syncs() uint64 { return l.syncs }

// Close closes the log. Everything that was acknowledged is already durable.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close log") }

func (l *Log) fail(err error) error {
	l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return l.failed
}
