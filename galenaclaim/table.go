package galenaclaim

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// ClaimWindow is the maximum age of a key that can be claimed.
	ClaimWindow = 10 * time.Minute
	// MaxKeyAhead is how far a key's issue time may be ahead of a replica's clock.
	MaxKeyAhead = 2 * time.Second
	// clockMargin is the largest backward step that a replica's clock can make while
	// it is trusted: from one second ahead of the median to one second behind it,
	// plus half a second for estimation errors.
	clockMargin = 2*galenapeer.MaxClockOffset + 500*time.Millisecond
	// restartMargin is added to a replica's start time. Before a restart, the replica
	// may have voted on keys up to MaxKeyAhead ahead of its clock, and that clock may
	// have been clockMargin ahead of the present one.
	restartMargin = MaxKeyAhead + clockMargin
	// MaxResultBytes is the maximum size of a recorded result.
	MaxResultBytes = 64 << 10
	// MaxTotalResultBytes is the maximum size of all results recorded at a replica.
	MaxTotalResultBytes = 64 << 20
	// ResultTTL is how long a replica keeps a result.
	ResultTTL = 60 * time.Second
	// DefaultMaxKeys bounds the table at about 128 MB.
	DefaultMaxKeys = 1 << 20

	shardCount = 64
	// bucketWidth is the range of issue times whose keys share a map. Expired keys
	// are dropped one map at a time, without an expiry queue that has an entry for
	// each key.
	bucketWidth = 30 * time.Second
)

// Table is the claim table of one replica. The current time is a parameter of its
// methods; Table reads no clock and starts no goroutine. Its methods are safe for
// concurrent use.
type Table struct {
	entryIndex map[galenahead.EntryName]uint16
	entryNames []galenahead.EntryName
	maxKeys    int64
	// maxResultBytes bounds the total size of the stored results.
	maxResultBytes int64
	startMono      time.Duration
	// restartCutoffMS is an issue time in Unix milliseconds. The replica does not
	// vote on keys issued at or before it, because it may have voted on them before
	// it restarted. It is 0 until the clock is trusted for the first time: a start
	// time read from a clock that is far behind would let the replica vote on such
	// keys.
	restartCutoffMS atomic.Int64
	injectedFaults  tableFaults

	keyCount    atomic.Int64
	resultBytes atomic.Int64
	shards      [shardCount]shard
}

// tableFaults are defects that only tests enable, to prove that they detect them.
type tableFaults struct {
	// voteOldKeys lets a restarted replica vote on keys that it may have voted on
	// before.
	voteOldKeys bool
	// ignoreFences lets a replica vote for an attempt that was released.
	ignoreFences bool
}

// shard holds the keys of one part of the hash range.
type shard struct {
	mu sync.Mutex
	// purgedUpTo is the issue time up to which keys were dropped. The replica does
	// not vote on such keys again, even if its clock steps back.
	purgedUpTo time.Time
	// buckets holds the keys by the bucket index of their issue time.
	buckets map[int64]map[galenahead.RequestKey]record
	// results lists the stored results, oldest first.
	results []storedResult
}

// attemptID is the compact form of an Attempt. entry is an index of
// Table.entryNames.
type attemptID struct {
	sequence    uint64
	incarnation uint32
	entry       uint16
}

// record is the state of one key.
type record struct {
	// claimant is the attempt that the replica voted for, if claimed is set.
	claimant attemptID
	claimed  bool
	// done is set once the claimant has finished.
	done bool
	// answer is the result of the claimant, or nil if it is not stored.
	answer *galenahead.Answer
	// fences holds the highest released sequence of each entry that released an
	// attempt.
	fences []attemptID
}

// storedResult locates the result of a key and says when it expires, as a reading
// of the monotonic clock.
type storedResult struct {
	key     galenahead.RequestKey
	bucket  int64
	size    int64
	expires time.Duration
}

// NewTable returns an empty table for a replica that starts at now. A maxKeys of 0
// selects DefaultMaxKeys.
func NewTable(now galenapeer.Instant, entries []galenapeer.Entry, maxKeys int) *Table {
	if maxKeys == 0 {
		maxKeys = DefaultMaxKeys
	}
	t := &Table{
		entryIndex:     make(map[galenahead.EntryName]uint16, len(entries)),
		maxKeys:        int64(maxKeys),
		maxResultBytes: MaxTotalResultBytes,
		startMono:      now.Mono,
	}
	for i, e := range entries {
		t.entryIndex[e.Name] = uint16(i)
		t.entryNames = append(t.entryNames, e.Name)
	}
	for i := range t.shards {
		t.shards[i].buckets = make(map[int64]map[galenahead.RequestKey]record)
	}
	return t
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return int(t.keyCount.Load()) }

// ResultBytes returns the total size of the stored results.
func (t *Table) ResultBytes() int64 { return t.resultBytes.Load() }

// Vote handles a claim. trusted reports whether the clock of this replica is close
// to the median of the entries' clocks.
func (t *Table) Vote(now galenapeer.Instant, trusted bool, req VoteRequest) VoteReply {
	issued, err := req.Key.IssueTime()
	if err != nil {
		return reject(RejectedBadKey)
	}
	attempt, ok := t.attemptID(req.Attempt)
	if !ok {
		return reject(RejectedUnknownEntry)
	}
	t.initRestartCutoff(now, trusted)
	s := t.shard(req.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expireResults(s, now)
	r, known := s.get(issued, req.Key)
	if r.done || r.claimed {
		return t.replyToClaimed(r, attempt)
	}
	if reason := t.rejectReason(now, trusted, s, issued); reason != "" {
		return reject(reason)
	}
	if r.isFenced(attempt) && !t.injectedFaults.ignoreFences {
		return reject(RejectedFenced)
	}
	if !known && !t.reserveKey() {
		return reject(RejectedTableFull)
	}
	r.claimant = attempt
	r.claimed = true
	s.put(issued, req.Key, r)
	return VoteReply{Vote: VoteGranted}
}

// Finish records the result of a granted attempt, even if this replica voted for
// another attempt: the other two replicas voted for the granted one, so no other
// attempt can have run.
func (t *Table) Finish(now galenapeer.Instant, trusted bool, req FinishRequest) {
	issued, attempt, ok := t.checkUpdate(now, trusted, req.Key, req.Attempt)
	if !ok {
		return
	}
	s := t.shard(req.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expireResults(s, now)
	r, known := s.get(issued, req.Key)
	if !issued.After(s.purgedUpTo) || r.done || (!known && !t.reserveKey()) {
		return
	}
	r.claimant = attempt
	r.claimed = true
	r.done = true
	r.fences = nil
	t.storeResult(s, now, issued, req, &r)
	s.put(issued, req.Key, r)
}

// Release withdraws the vote for an attempt. It also fences the attempt and earlier
// ones of the same entry, so that claims which arrive late are rejected.
func (t *Table) Release(now galenapeer.Instant, trusted bool, req ReleaseRequest) {
	issued, attempt, ok := t.checkUpdate(now, trusted, req.Key, req.Attempt)
	if !ok {
		return
	}
	s := t.shard(req.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.get(issued, req.Key)
	if !issued.After(s.purgedUpTo) || r.done || (!known && !t.reserveKey()) {
		return
	}
	if r.claimed && r.claimant == attempt {
		r.claimed = false
		r.claimant = attemptID{}
	}
	r.addFence(attempt)
	s.put(issued, req.Key, r)
}

// Tick drops expired keys and results. It keeps all keys while the clock is not
// trusted, because the clock could be far ahead.
func (t *Table) Tick(now galenapeer.Instant, trusted bool) {
	t.initRestartCutoff(now, trusted)
	cutoff := now.Wall.Add(-ClaimWindow - clockMargin).Truncate(bucketWidth)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		t.expireResults(s, now)
		if trusted {
			t.purge(s, cutoff)
		}
		s.mu.Unlock()
	}
}

// initRestartCutoff computes restartCutoffMS from the first trusted clock reading
// and the time that has passed since the start.
func (t *Table) initRestartCutoff(now galenapeer.Instant, trusted bool) {
	if trusted && t.restartCutoffMS.Load() == 0 {
		start := now.Wall.Add(t.startMono - now.Mono)
		t.restartCutoffMS.CompareAndSwap(0, start.Add(restartMargin).UnixMilli())
	}
}

// purge drops the keys issued before cutoff, which is a bucket boundary.
func (t *Table) purge(s *shard, cutoff time.Time) {
	if !cutoff.After(s.purgedUpTo) {
		return
	}
	for index, keys := range s.buckets {
		if index < bucketIndex(cutoff) {
			t.keyCount.Add(-int64(len(keys)))
			delete(s.buckets, index)
		}
	}
	// Keys issued exactly at cutoff belong to a bucket that is kept.
	s.purgedUpTo = cutoff.Add(-time.Millisecond)
}

// replyToClaimed returns the reply to a claim on a key that an attempt has already
// claimed or finished.
func (t *Table) replyToClaimed(r record, attempt attemptID) VoteReply {
	switch {
	case r.done && r.answer != nil:
		return VoteReply{Vote: VoteDone, Answer: r.answer}
	case r.done:
		return VoteReply{Vote: VoteRunning}
	case r.claimant == attempt:
		return VoteReply{Vote: VoteGranted}
	}
	claimant := Attempt{Entry: t.entryNames[r.claimant.entry], Incarnation: r.claimant.incarnation, Sequence: r.claimant.sequence}
	return VoteReply{Vote: VoteRunning, Claimant: &claimant}
}

// rejectReason returns why the replica must not vote on a key issued at the given
// time, or "" if it may.
func (t *Table) rejectReason(now galenapeer.Instant, trusted bool, s *shard, issued time.Time) RejectReason {
	switch {
	case !trusted:
		return RejectedUntrustedClock
	case issued.After(now.Wall.Add(MaxKeyAhead)):
		return RejectedFuture
	case issued.Before(now.Wall.Add(-ClaimWindow)), !issued.After(s.purgedUpTo):
		return RejectedExpired
	case issued.UnixMilli() <= t.restartCutoffMS.Load() && !t.injectedFaults.voteOldKeys:
		return RejectedAfterRestart
	}
	return ""
}

// checkUpdate validates a request to finish or release an attempt. It rejects keys
// whose issue time is far ahead of a trusted clock, because they would stay in the
// table for that much longer.
func (t *Table) checkUpdate(now galenapeer.Instant, trusted bool, key galenahead.RequestKey, a Attempt) (time.Time, attemptID, bool) {
	issued, err := key.IssueTime()
	if err != nil || trusted && issued.After(now.Wall.Add(MaxKeyAhead+clockMargin)) {
		return time.Time{}, attemptID{}, false
	}
	id, ok := t.attemptID(a)
	return issued, id, ok
}

func (t *Table) attemptID(a Attempt) (attemptID, bool) {
	entry, ok := t.entryIndex[a.Entry]
	return attemptID{entry: entry, incarnation: a.Incarnation, sequence: a.Sequence}, ok
}

// reserveKey counts a new key, or returns false if the table is full.
func (t *Table) reserveKey() bool {
	if t.keyCount.Add(1) > t.maxKeys {
		t.keyCount.Add(-1)
		return false
	}
	return true
}

// storeResult stores the result of a finished attempt if it is not too large. To
// stay below maxResultBytes, it drops older results of the same shard.
func (t *Table) storeResult(s *shard, now galenapeer.Instant, issued time.Time, req FinishRequest, r *record) {
	size := resultSize(req.Answer)
	if req.Answer == nil || size > MaxResultBytes {
		return
	}
	for t.resultBytes.Load()+size > t.maxResultBytes {
		if len(s.results) == 0 {
			return
		}
		t.dropOldestResult(s)
	}
	r.answer = req.Answer
	t.resultBytes.Add(size)
	s.results = append(s.results, storedResult{key: req.Key, bucket: bucketIndex(issued), size: size, expires: now.Mono + ResultTTL})
}

func (t *Table) expireResults(s *shard, now galenapeer.Instant) {
	for len(s.results) > 0 && s.results[0].expires <= now.Mono {
		t.dropOldestResult(s)
	}
}

func (t *Table) dropOldestResult(s *shard) {
	oldest := s.results[0]
	s.results = s.results[1:]
	t.resultBytes.Add(-oldest.size)
	if r, ok := s.buckets[oldest.bucket][oldest.key]; ok {
		r.answer = nil
		s.buckets[oldest.bucket][oldest.key] = r
	}
}

func (t *Table) shard(key galenahead.RequestKey) *shard {
	return &t.shards[xxhash.Sum64String(string(key))%shardCount]
}

func (s *shard) get(issued time.Time, key galenahead.RequestKey) (record, bool) {
	r, ok := s.buckets[bucketIndex(issued)][key]
	return r, ok
}

func (s *shard) put(issued time.Time, key galenahead.RequestKey, r record) {
	index := bucketIndex(issued)
	m := s.buckets[index]
	if m == nil {
		m = make(map[galenahead.RequestKey]record)
		s.buckets[index] = m
	}
	m[key] = r
}

func (r *record) isFenced(attempt attemptID) bool {
	for _, f := range r.fences {
		if f.entry == attempt.entry && f.sequence >= attempt.sequence {
			return true
		}
	}
	return false
}

func (r *record) addFence(attempt attemptID) {
	for i, f := range r.fences {
		if f.entry == attempt.entry {
			r.fences[i].sequence = max(f.sequence, attempt.sequence)
			return
		}
	}
	r.fences = append(r.fences, attempt)
}

func bucketIndex(issued time.Time) int64 {
	return issued.UnixMilli() / bucketWidth.Milliseconds()
}

func reject(reason RejectReason) VoteReply {
	return VoteReply{Vote: VoteRejected, Reason: reason}
}

func resultSize(a *galenahead.Answer) int64 {
	if a == nil {
		return 0
	}
	return int64(len(a.Body) + len(a.ContentType) + len(a.Reason))
}
