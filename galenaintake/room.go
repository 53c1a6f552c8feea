package galenaintake

import "sync"

// Room bounds what accepted work holds of a process's memory, by who has submitted it. Each holder may
// take as much as is still free beside it, so that none uses up the room of all. It is safe for
// concurrent use. Its zero value, and nil, bound nothing.
type Room struct {
	// Bytes is how much may be held.
	Bytes int64

	mu   sync.Mutex
	used int64
	held map[string]int64
}

// Take takes n bytes for a holder, and reports whether there is room for them. Large pieces of work
// leave a part of the room to the others. The first piece of a holder may take what is free.
func (r *Room) Take(holder string, n int64) bool {
	if r == nil || r.Bytes == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	free := r.largest(n) - r.used
	held := r.held[holder]
	if n > free || held > 0 && held+n > free {
		return false
	}
	r.add(holder, n)
	return true
}

// Fits reports whether a piece of work of n bytes could be taken if nothing else were held.
func (r *Room) Fits(n int64) bool { return r == nil || r.Bytes == 0 || n <= r.largest(n) }

// largest returns how much may be held together with a piece of work of n bytes.
func (r *Room) largest(n int64) int64 {
	if n > LargeFrom {
		return r.Bytes - r.Bytes/reservePart
	}
	return r.Bytes
}

// Force takes n bytes for a holder that are held already.
func (r *Room) Force(holder string, n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(holder, n)
}

// Free gives n bytes of a holder back.
func (r *Room) Free(holder string, n int64) { r.Force(holder, -n) }

// add changes what a holder has. mu must be held.
func (r *Room) add(holder string, n int64) {
	r.used += n
	if r.held == nil {
		r.held = map[string]int64{}
	}
	if r.held[holder] += n; r.held[holder] == 0 {
		delete(r.held, holder)
	}
}

// Used returns how much is held.
func (r *Room) Used() int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Reset forgets what is held.
func (r *Room) Reset() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used, r.held = 0, nil
}
