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
	identityName  = "identity"
	logName       = "log"
	snapshotName  = "snapshot"
	tempSuffix    = ".tmp"
	damagedSuffix = ".damaged"
)

// ErrWriteFailed reports that a write or sync failed. It is then unknown what reached
// the disk, so the data directory must be opened again; all later writes to the Log fail
// too.
var ErrWriteFailed = eris.New("write to the data directory failed")

// Log holds the open files of one replica. It is not safe for concurrent use.
type Log struct {
	dir          Dir
	file         File
	incarnation  uint64
	nextSequence uint64
	size         int64
	syncs        uint64
	writeErr     error
}

// Open reads the files in dir and drops a torn last record. If dir has no
// identity file, Open creates a new replica with the incarnation that
// newIncarnation returns. It fails with galenahead.ErrCorrupt if stored data is
// damaged or missing; calling Quarantine and then Open again creates a new
// replica.
func Open(dir Dir, newIncarnation func() uint64) (*Log, State, error) {
	// The disk may be full because of files that could not be written completely.
	for _, name := range []string{identityName, logName, snapshotName} {
		if err := dir.Remove(name + tempSuffix); err != nil {
			return nil, State{}, eris.Wrapf(err, "remove %s", name+tempSuffix)
		}
	}
	// A rename whose sync failed can be seen, but a power loss may undo it.
	if err := dir.Sync(); err != nil {
		return nil, State{}, eris.Wrap(err, "sync data directory")
	}
	incarnation, err := readIdentity(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return createReplica(dir, newIncarnation())
	}
	if err != nil {
		return nil, State{}, err
	}
	l := &Log{dir: dir, incarnation: incarnation}
	s, err := l.recoverState()
	if err != nil {
		return nil, State{}, err
	}
	return l, s, nil
}

// Quarantine renames the files of a replica with damaged data, so that the next
// Open creates a new replica. It renames the identity file first: if a crash
// left the old identity without its term and vote, the replica could vote twice
// in one term.
func Quarantine(dir Dir) error {
	for _, name := range []string{identityName, logName, snapshotName} {
		err := dir.Rename(name, name+damagedSuffix)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrapf(err, "quarantine %s", name)
		}
		if err := dir.Sync(); err != nil {
			return eris.Wrap(err, "sync data directory")
		}
	}
	return nil
}

func createReplica(dir Dir, incarnation uint64) (*Log, State, error) {
	// Files without an identity file remain if the process ended during a first
	// start or during Quarantine.
	if err := Quarantine(dir); err != nil {
		return nil, State{}, err
	}
	l := &Log{dir: dir, incarnation: incarnation}
	if err := l.rewriteLog(HardState{}, nil); err != nil {
		return nil, State{}, err
	}
	if err := writeIdentity(dir, incarnation); err != nil {
		return nil, State{}, errors.Join(err, l.Close())
	}
	return l, State{Incarnation: incarnation}, nil
}

func writeIdentity(dir Dir, incarnation uint64) error {
	payload, err := cbor.Marshal(incarnation)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	f, _, err := replaceFile(dir, identityName, encodeRecord(0, 0, payload))
	if err != nil {
		return err
	}
	return eris.Wrap(f.Close(), "close identity")
}

func readIdentity(dir Dir) (uint64, error) {
	b, err := dir.ReadFile(identityName)
	if err != nil {
		return 0, eris.Wrap(err, "read identity")
	}
	payload, _, _, ok := decodeRecord(0, b)
	var incarnation uint64
	if !ok || cbor.Unmarshal(payload, &incarnation) != nil {
		return 0, eris.Wrap(galenahead.ErrCorrupt, "identity is damaged")
	}
	return incarnation, nil
}

// replaceFile durably replaces the content of the file name. It returns the
// open file and its size.
func replaceFile(dir Dir, name string, content []byte) (File, int64, error) {
	tempName := name + tempSuffix
	if err := dir.Remove(tempName); err != nil {
		return nil, 0, eris.Wrapf(err, "remove %s", tempName)
	}
	f, err := dir.Open(tempName)
	if err != nil {
		return nil, 0, eris.Wrapf(err, "create %s", tempName)
	}
	if err := writeAndRename(dir, f, tempName, name, content); err != nil {
		_ = f.Close()
		return nil, 0, err
	}
	return f, int64(len(content)), nil
}

func writeAndRename(dir Dir, f File, tempName, name string, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return eris.Wrapf(err, "write %s", tempName)
	}
	if err := f.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", tempName)
	}
	if err := dir.Rename(tempName, name); err != nil {
		return eris.Wrapf(err, "rename %s", tempName)
	}
	return eris.Wrap(dir.Sync(), "sync data directory")
}

// recoverState reads the snapshot and the log and opens the log for appending.
func (l *Log) recoverState() (State, error) {
	state := State{Incarnation: l.incarnation}
	var err error
	if state.Snapshot, err = l.LoadSnapshot(); err != nil {
		return state, err
	}
	b, err := l.dir.ReadFile(logName)
	if errors.Is(err, fs.ErrNotExist) {
		return state, eris.Wrap(galenahead.ErrCorrupt, "log file is missing")
	}
	if err != nil {
		return state, eris.Wrap(err, "read log")
	}
	records, intactSize, err := decodeRecords(l.incarnation, b)
	if err != nil {
		return state, err
	}
	if len(records) == 0 {
		// rewriteLog syncs the first record before it renames the file to "log", so
		// every undamaged log has an intact record.
		return state, eris.Wrap(galenahead.ErrCorrupt, "log has no intact record")
	}
	discarded, err := state.replay(records)
	if err != nil {
		return state, err
	}
	if discarded {
		// Entries appended after the discarded ones would not be contiguous, and the
		// next replay would fail.
		return state, l.rewriteLog(state.HardState, nil)
	}
	return state, l.rewriteRecords(b[:intactSize], uint64(len(records)))
}

// rewriteRecords replaces the log with a copy of its intact records. The last one may
// not be durable, although it can be read: its sync may have failed, or the process may
// have ended before it. After a failed sync, a later one of the same file need not store
// what the failed one should have stored.
func (l *Log) rewriteRecords(records []byte, nextSequence uint64) error {
	f, size, err := replaceFile(l.dir, logName, records)
	if err != nil {
		return err
	}
	l.file, l.size, l.nextSequence = f, size, nextSequence
	return nil
}

// replay applies the records to the state. It reports whether all entries were
// discarded because the snapshot replaces them.
func (s *State) replay(records []recordPayload) (discarded bool, err error) {
	for _, r := range records {
		s.HardState = r.HardState
		for _, e := range r.Entries {
			if err := s.truncateAndAppend(e); err != nil {
				return false, err
			}
		}
	}
	return s.discardReplacedEntries()
}

// truncateAndAppend replaces all entries from e.Index on with e.
func (s *State) truncateAndAppend(e Entry) error {
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

// discardReplacedEntries discards the entries if they do not match the snapshot
// and reports whether it did. This happens if the process ended after it stored
// a snapshot from the leader but before it rewrote the log.
func (s *State) discardReplacedEntries() (discarded bool, err error) {
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
	offset := s.Snapshot.Index - first
	if offset < uint64(len(s.Entries)) && s.Entries[offset].Term == s.Snapshot.Term {
		return false, nil
	}
	s.Entries = nil
	return true, nil
}

// Append durably appends hs and the entries as one record, with one write and
// one sync. It fails with ErrWriteFailed.
func (l *Log) Append(hs HardState, entries []Entry) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	payload, err := cbor.Marshal(recordPayload{HardState: hs, Entries: entries})
	if err != nil {
		return l.setWriteErr(eris.Wrap(err, "encode record"))
	}
	b := encodeRecord(l.incarnation, l.nextSequence, payload)
	if _, err := l.file.Write(b); err != nil {
		return l.setWriteErr(eris.Wrap(err, "write log"))
	}
	if err := l.file.Sync(); err != nil {
		return l.setWriteErr(eris.Wrap(err, "sync log"))
	}
	l.nextSequence++
	l.syncs++
	l.size += int64(len(b))
	return nil
}

// SaveSnapshot durably replaces the snapshot. It removes no entries from the
// log; Compact does that. It fails with ErrWriteFailed.
func (l *Log) SaveSnapshot(s Snapshot) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	payload, err := cbor.Marshal(s)
	if err != nil {
		return l.setWriteErr(eris.Wrap(err, "encode snapshot"))
	}
	f, _, err := replaceFile(l.dir, snapshotName, encodeRecord(l.incarnation, 0, payload))
	if err != nil {
		return l.setWriteErr(err)
	}
	return eris.Wrap(f.Close(), "close snapshot")
}

// LoadSnapshot returns the stored snapshot, or the zero value if there is none.
// It fails with galenahead.ErrCorrupt if the snapshot is damaged.
func (l *Log) LoadSnapshot() (Snapshot, error) {
	b, err := l.dir.ReadFile(snapshotName)
	if errors.Is(err, fs.ErrNotExist) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, eris.Wrap(err, "read snapshot")
	}
	payload, _, rest, ok := decodeRecord(l.incarnation, b)
	if !ok || len(rest) > 0 {
		return Snapshot{}, eris.Wrap(galenahead.ErrCorrupt, "snapshot is damaged")
	}
	var s Snapshot
	if err := cbor.Unmarshal(payload, &s); err != nil {
		return Snapshot{}, eris.Wrapf(galenahead.ErrCorrupt, "snapshot: %v", err)
	}
	return s, nil
}

// Compact durably replaces the log with a single record of hs and entries. It
// fails with ErrWriteFailed.
func (l *Log) Compact(hs HardState, entries []Entry) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	oldFile := l.file
	if err := l.rewriteLog(hs, entries); err != nil {
		return l.setWriteErr(err)
	}
	return eris.Wrap(oldFile.Close(), "close old log")
}

func (l *Log) rewriteLog(hs HardState, entries []Entry) error {
	payload, err := cbor.Marshal(recordPayload{HardState: hs, Entries: entries})
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	return l.rewriteRecords(encodeRecord(l.incarnation, 0, payload), 1)
}

// Size returns the size of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Syncs returns the number of records appended since Open. Each takes one sync.
func (l *Log) Syncs() uint64 { return l.syncs }

// Close closes the log file. It need not sync, since Append and Compact already
// have.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close log") }

// setWriteErr stores err, so that all later writes fail with it too.
func (l *Log) setWriteErr(err error) error {
	l.writeErr = fmt.Errorf("%w: %w", ErrWriteFailed, err)
	return l.writeErr
}
