package galenastate

import (
	"iter"
	"slices"
	"sort"
)

// chunkLimit is the number of rows at which a chunk is split. The first write
// after a view was taken copies one chunk (3 KB at the limit) and the list of
// chunks.
const chunkLimit = 128

// table is an ordered copy-on-write map. A copy of the struct is a read-only
// view, provided that the owner passes a larger generation to put and del
// afterwards: parts of older generations are copied before they are modified.
// Stored values are never modified in place. The zero value is an empty table.
type table[K ~string, V any] struct {
	chunks   []*chunk[K, V]
	rowCount int
	gen      uint64
}

type chunk[K ~string, V any] struct {
	gen  uint64
	rows []row[K, V]
}

type row[K ~string, V any] struct {
	key K
	val *V
}

// locate returns the indices of the chunk and the row of key, or those at which
// key would be inserted.
func (t *table[K, V]) locate(key K) (ci, ri int, found bool) {
	ci = sort.Search(len(t.chunks), func(i int) bool { return t.chunks[i].rows[0].key > key })
	if ci == 0 {
		return 0, 0, false
	}
	ci--
	rows := t.chunks[ci].rows
	ri = sort.Search(len(rows), func(i int) bool { return rows[i].key >= key })
	return ci, ri, ri < len(rows) && rows[ri].key == key
}

func (t *table[K, V]) get(key K) (*V, bool) {
	ci, ri, found := t.locate(key)
	if !found {
		return nil, false
	}
	return t.chunks[ci].rows[ri].val, true
}

// writableChunk returns chunk ci, after copying the parts that older views share.
func (t *table[K, V]) writableChunk(gen uint64, ci int) *chunk[K, V] {
	t.copyChunkList(gen)
	c := t.chunks[ci]
	if c.gen == gen {
		return c
	}
	c = &chunk[K, V]{gen: gen, rows: slices.Clone(c.rows)}
	t.chunks[ci] = c
	return c
}

// copyChunkList copies the list of chunks if an older view shares it.
func (t *table[K, V]) copyChunkList(gen uint64) {
	if t.gen == gen {
		return
	}
	t.chunks = slices.Clone(t.chunks)
	t.gen = gen
}

func (t *table[K, V]) put(gen uint64, key K, val *V) {
	if len(t.chunks) == 0 {
		t.copyChunkList(gen)
		t.chunks = append(t.chunks, &chunk[K, V]{gen: gen, rows: []row[K, V]{{key, val}}})
		t.rowCount = 1
		return
	}
	ci, ri, found := t.locate(key)
	c := t.writableChunk(gen, ci)
	if found {
		c.rows[ri].val = val
		return
	}
	c.rows = slices.Insert(c.rows, ri, row[K, V]{key, val})
	t.rowCount++
	if len(c.rows) >= chunkLimit {
		t.split(gen, ci)
	}
}

func (t *table[K, V]) split(gen uint64, ci int) {
	c := t.chunks[ci]
	// Splitting the last chunk at its end keeps chunks full when keys are
	// inserted in ascending order.
	at := len(c.rows) / 2
	if ci == len(t.chunks)-1 {
		at = len(c.rows) - 1
	}
	tail := &chunk[K, V]{gen: gen, rows: slices.Clone(c.rows[at:])}
	c.rows = slices.Clone(c.rows[:at])
	t.chunks = slices.Insert(t.chunks, ci+1, tail)
}

func (t *table[K, V]) del(gen uint64, key K) {
	ci, ri, found := t.locate(key)
	if !found {
		return
	}
	c := t.writableChunk(gen, ci)
	c.rows = slices.Delete(c.rows, ri, ri+1)
	t.rowCount--
	if len(c.rows) == 0 {
		t.chunks = slices.Delete(t.chunks, ci, ci+1)
	}
}

// cursor iterates over the rows of a table.
type cursor[K ~string, V any] struct {
	chunks []*chunk[K, V]
	ri     int
}

func (c *cursor[K, V]) done() bool { return len(c.chunks) == 0 }

func (c *cursor[K, V]) row() row[K, V] { return c.chunks[0].rows[c.ri] }

func (c *cursor[K, V]) next() {
	c.ri++
	if c.ri == len(c.chunks[0].rows) {
		c.nextChunk()
	}
}

func (c *cursor[K, V]) nextChunk() {
	c.chunks = c.chunks[1:]
	c.ri = 0
}

// diff returns the values of t that are not in old, and the keys that are only in
// old. It skips chunks that both share.
func (t table[K, V]) diff(old table[K, V]) (changed []*V, removed []K) {
	a, b := cursor[K, V]{chunks: old.chunks}, cursor[K, V]{chunks: t.chunks}
	for !a.done() || !b.done() {
		switch {
		case b.done() || !a.done() && a.row().key < b.row().key:
			removed = append(removed, a.row().key)
			a.next()
		case a.done() || b.row().key < a.row().key:
			changed = append(changed, b.row().val)
			b.next()
		case a.ri == 0 && b.ri == 0 && a.chunks[0] == b.chunks[0]:
			a.nextChunk()
			b.nextChunk()
		default:
			if a.row().val != b.row().val {
				changed = append(changed, b.row().val)
			}
			a.next()
			b.next()
		}
	}
	return changed, removed
}

// values returns the values in ascending order of their keys.
func (t table[K, V]) values() iter.Seq[*V] {
	return func(yield func(*V) bool) {
		for _, c := range t.chunks {
			for _, r := range c.rows {
				if !yield(r.val) {
					return
				}
			}
		}
	}
}

// list returns copies of the values in ascending order of their keys.
func (t table[K, V]) list() []V {
	out := make([]V, 0, t.rowCount)
	for v := range t.values() {
		out = append(out, *v)
	}
	return out
}
