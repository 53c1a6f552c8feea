package galenafleet

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
)

// MethodAlive asks whether a daemon owns the fleet. It does not wait for a turn.
const MethodAlive = "fleet.alive"

// Alive returns nil if this daemon owns the fleet.
func (o *Owner) Alive(context.Context, Empty) (Empty, error) {
	_, err := o.currentSession()
	return Empty{}, err
}

const (
	// doubtAfter is how long an owner may leave a call without an answer, and say nothing else,
	// before it is in doubt. A live one turns a request away after maxRequestWait.
	doubtAfter = 350 * time.Millisecond
	// testTimeout bounds a question to an owner in doubt, and testPause is the pause between two.
	testTimeout = 300 * time.Millisecond
	testPause   = 50 * time.Millisecond
)

// ownerWatch knows whether the owner that an entry calls lives. Its zero value is ready to use.
type ownerWatch struct {
	mu sync.Mutex
	// heardAt is when an owner last answered, and heard which.
	heard   ownerAddress
	heardAt time.Time
	// doubted is the owner in doubt, or none.
	doubted ownerAddress
	// testing is set while a question to the owner in doubt has no answer.
	testing bool
	// changed is closed when a doubt ends, or nil.
	changed chan struct{}
	// awaySince is when a call was first not answered since the last answer, or zero.
	awaySince time.Time
}

// ownerAddress is an owner in a term of the log.
type ownerAddress struct {
	addr string
	term uint64
}

// noteAnswer records a sign of life.
func (w *ownerWatch) noteAnswer(now time.Time, o ownerAddress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard, w.heardAt, w.awaySince = o, now, time.Time{}
	if w.doubted == o {
		w.doubted = ownerAddress{}
		if w.changed != nil {
			close(w.changed)
			w.changed = nil
		}
	}
}

// noteSilence records that a call that was sent at a time has no answer for long.
func (w *ownerWatch) noteSilence(now, sent time.Time, o ownerAddress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.doubted == o || w.heard == o && w.heardAt.After(sent) {
		return
	}
	w.doubted = o
	w.noteAwayLocked(now)
}

// noteAway records that no owner could be asked.
func (w *ownerWatch) noteAway(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteAwayLocked(now)
}

func (w *ownerWatch) noteAwayLocked(now time.Time) {
	if w.awaySince.IsZero() {
		w.awaySince = now
	}
}

// away returns for how long no owner has answered, as far as it was asked.
func (w *ownerWatch) away(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.awaySince.IsZero() {
		return 0
	}
	return now.Sub(w.awaySince)
}

// doubts reports whether an owner is in doubt.
func (w *ownerWatch) doubts(o ownerAddress) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return o != (ownerAddress{}) && w.doubted == o
}

// beginTest reports whether the caller may test the owner in doubt, which ends with endTest.
func (w *ownerWatch) beginTest() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.testing {
		return false
	}
	w.testing = true
	return true
}

func (w *ownerWatch) endTest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.testing = false
}

// awaitChange returns a channel that is closed when a doubt ends.
func (w *ownerWatch) awaitChange() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

// awaitOwner returns once the owner is not in doubt, or another one leads. It fails with the error
// of ctx.
func (oc *OwnerClient) awaitOwner(ctx context.Context, o ownerAddress) error {
	for {
		if !oc.watch.doubts(o) || oc.Directory.leads() != o {
			return nil
		}
		changed := oc.watch.awaitChange()
		if oc.watch.beginTest() {
			oc.test(ctx, o)
			oc.watch.endTest()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(testPause):
		}
	}
}

// test asks an owner in doubt whether it lives.
func (oc *OwnerClient) test(ctx context.Context, o ownerAddress) {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	defer oc.Directory.endWith(o.term, cancel)()
	err := oc.RPCClient.Call(ctx, o.addr, MethodAlive, Empty{}, &Empty{})
	switch {
	case err == nil, galenarpc.IsUnknownMethod(err):
		oc.watch.noteAnswer(oc.Directory.Timers.Now(), o)
	case errors.Is(err, galenahead.ErrNotLeader), errors.Is(err, galenahead.ErrUnreachable):
		oc.Directory.ReportFailure(o.addr)
	default:
		oc.Directory.ReportDelay(o.addr)
	}
}

// longAbsence is how long an owner must be away for callers to be spread over more than the next
// second. Most changes of owner take less.
const longAbsence = 1500 * time.Millisecond

// maxSpread is over how many seconds callers are spread at most.
const maxSpread = 3

// returnTime returns when a caller that the owner could not answer should come back. Callers come
// back in different seconds if the owner has been away for long.
func (oc *OwnerClient) returnTime(r Request) time.Duration {
	if oc.watch.away(oc.Directory.Timers.Now()) < longAbsence {
		return UnreadyRetryAfter
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Path))
	return time.Duration(1+h.Sum32()%maxSpread) * time.Second
}

// leads returns the leader of the log with its term, or the zero value if none is known.
func (d *Directory) leads() ownerAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == "" {
		return ownerAddress{}
	}
	return ownerAddress{d.leader, d.term}
}

// endWith calls cancel when a leader of a later term is known. release ends that.
func (d *Directory) endWith(term uint64, cancel func()) (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[uint64]termCancel{}
	}
	d.lastWaiting++
	id := d.lastWaiting
	d.waiting[id] = termCancel{term, cancel}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting, id)
	}
}

// termCancel ends a call to the leader of a term.
type termCancel struct {
	term   uint64
	cancel func()
}

// endEarlier ends the calls to leaders of earlier terms. d.mu must be held.
func (d *Directory) endEarlier() {
	for id, w := range d.waiting {
		if w.term < d.term {
			w.cancel()
			delete(d.waiting, id)
		}
	}
}
