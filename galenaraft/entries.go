package galenaraft

import "github.com/galenahead/galenahead/galenawal"

// entryLog holds the log entries that follow the last compaction.
type entryLog struct {
	// baseIndex and baseTerm are the index and the term of the entry before the
	// first one in entries.
	baseIndex uint64
	baseTerm  uint64
	entries   []galenawal.Entry
	// stableIndex is the index of the last durable entry.
	stableIndex uint64
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, or false if the log does not
// contain it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// entriesAfter returns the entries after index.
func (l *entryLog) entriesAfter(index uint64) []galenawal.Entry {
	return l.entries[index-l.baseIndex:]
}

// batchAfter returns entries after index with at most limit bytes of data in
// total. It returns the first entry even if that is larger than limit.
func (l *entryLog) batchAfter(index uint64, limit int) []galenawal.Entry {
	es := l.entriesAfter(index)
	size := 0
	for i, e := range es {
		size += len(e.Data)
		if size > limit && i > 0 {
			return es[:i:i]
		}
	}
	return es[:len(es):len(es)]
}

// truncateAndAppend replaces all entries from e.Index on with e.
func (l *entryLog) truncateAndAppend(e galenawal.Entry) {
	// The full slice expression makes append copy the entries, because messages
	// share the underlying array.
	kept := e.Index - l.baseIndex - 1
	if kept < uint64(len(l.entries)) {
		l.entries = l.entries[:kept:kept]
	}
	l.entries = append(l.entries, e)
	l.stableIndex = min(l.stableIndex, e.Index-1)
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	t, _ := l.term(index)
	l.entries = append([]galenawal.Entry(nil), l.entriesAfter(index)...)
	l.baseIndex, l.baseTerm = index, t
}

// reset removes all entries and sets the base to the last entry that a snapshot
// includes.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, stableIndex: index}
}
