package galenaraft

import "github.com/galenahead/galenahead/galenawal"

// entryLog is the part of the log that is kept in memory.
type entryLog struct {
	// base and baseTerm are the position before the first entry.
	base     uint64
	baseTerm uint64
	entries  []galenawal.Entry
	// stable is the last position that is durable.
	stable uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at index, if the log still knows it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// from returns the entries after index.
func (l *entryLog) from(index uint64) []galenawal.Entry {
	return l.entries[index-l.base:]
}

// batch returns entries after index of at most limit bytes, but at least one.
func (l *entryLog) batch(index uint64, limit int) []galenawal.Entry {
	es := l.from(index)
	size := 0
	for i, e := range es {
		size += len(e.Data)
		if size > limit && i > 0 {
			return es[:i:i]
		}
	}
	return es[:len(es):len(es)]
}

// put stores e and drops the entries from its position on.
func (l *entryLog) put(e galenawal.Entry) {
	// The full slice expression forces a copy, since messages share the array.
	keep := e.Index - l.base - 1
	if keep < uint64(len(l.entries)) {
		l.entries = l.entries[:keep:keep]
	}
	l.entries = append(l.entries, e)
	l.stable = min(l.stable, e.Index-1)
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	t, _ := l.term(index)
	l.entries = append([]galenawal.Entry(nil), l.from(index)...)
	l.base, l.baseTerm = index, t
}

// reset empties the log at the position of a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index}
}
