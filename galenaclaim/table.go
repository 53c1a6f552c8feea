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
	// Window is the age up to which a key may be claimed.
	Window = 10 * time.Minute
	// MaxAhead is how far a key's issue time may be ahead of the clock.
	MaxAhead = 2 * time.Second
	// clockMargin is the largest step back that the clock of a replica can make
	// while it is trusted: from one second ahead of the median to one second
	// behind it, and half a second for the errors of the estimates.
	clockMargin = 2*galenapeer.MaxClockOffset + 500*time.Millisecond
	// restartMargin is added to a replica's start time. Its former process may
	// have voted on keys up to MaxAhead ahead of its clock, and that clock may
	// have been clockMargin ahead of the present one.
	restartMargin = MaxAhead + clockMargin
	// MaxResult is the largest recorded result, in bytes.
	MaxResult = 64 << 10
	// MaxResults is the limit for all results recorded at a replica, in bytes.
	MaxResults = 64 << 20
	// ResultTTL is how long a result is kept.
	ResultTTL = 60 * time.Second
	// DefaultMaxKeys bounds the table at about 128 MB.
	DefaultMaxKeys = 1 << 20

	shardCount = 64
	// bucketWidth groups keys by issue time, so that expired keys are dropped
	// by the map and cost no queue entry each.
	bucketWidth = 30 * time.Second
)

// Table is the claim table of one replica. It reads no clock and starts no
// goroutine. Its methods are safe for concurrent use.
type Table struct {
	members   map[galenahead.EntryName]uint16
	names     []galenahead.EntryName
	maxKeys   int64
	startMono time.Duration
	// oldest is the issue time in Unix milliseconds up to which keys are not
	// voted on, since the former process of this replica may have voted on
	// them. It is 0 until the clock was trusted once: a start time read from a
	// clock that is far behind would let the replica vote on such keys.
	oldest atomic.Int64
	faults tableFaults

	keys    atomic.Int64
	results atomic.Int64
	shards  [shardCount]shard
}

// tableFaults are set by tests only, to show that the tests detect them.
type tableFaults struct {
	voteOldKeys bool
	resurrect   bool
}

type shard struct {
	mu sync.Mutex
	// purged is the issue time up to which keys were dropped; no key up to it
	// is voted on again, whatever the clock does.
	purged  time.Time
	buckets map[int64]map[galenahead.RequestKey]record
	// kept lists recorded results, oldest first.
	kept []keptResult
}

type holder struct {
	order uint64
	life  uint32
	entry uint16
}

type record struct {
	claimant holder
	held     bool
	done     bool
	answer   *galenahead.Answer
	// fences holds the newest released order of each entry that released.
	fences []holder
}

type keptResult struct {
	key     galenahead.RequestKey
	bucket  int64
	size    int64
	expires time.Duration
}

// NewTable returns the empty table of a replica that starts at now. A maxKeys
// of 0 selects DefaultMaxKeys.
func NewTable(now galenapeer.Instant, entries []galenapeer.Entry, maxKeys int) *Table {
	if maxKeys == 0 {
		maxKeys = DefaultMaxKeys
	}
	t := &Table{
		members:   make(map[galenahead.EntryName]uint16, len(entries)),
		maxKeys:   int64(maxKeys),
		startMono: now.Mono,
	}
	for i, e := range entries {
		t.members[e.Name] = uint16(i)
		t.names = append(t.names, e.Name)
	}
	for i := range t.shards {
		t.shards[i].buckets = make(map[int64]map[galenahead.RequestKey]record)
	}
	return t
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return int(t.keys.Load()) }

// ResultBytes returns the size of all recorded results.
func (t *Table) ResultBytes() int64 { return t.results.Load() }

// Vote handles a claim. trusted tells whether this replica's clock is near the
// median of its peers.
func (t *Table) Vote(now galenapeer.Instant, trusted bool, q VoteRequest) VoteReply {
	issued, err := q.Key.IssueTime()
	if err != nil {
		return refuse(RefusedBadKey)
	}
	h, ok := t.holder(q.Attempt)
	if !ok {
		return refuse(RefusedUnknown)
	}
	t.noteStart(now, trusted)
	s := t.shard(q.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expireResults(s, now)
	r, known := s.get(issued, q.Key)
	if r.done || r.held {
		return t.taken(r, h)
	}
	if reason := t.refusal(now, trusted, s, issued); reason != "" {
		return refuse(reason)
	}
	if r.fenced(h) && !t.faults.resurrect {
		return refuse(RefusedStale)
	}
	if !known && !t.admit() {
		return refuse(RefusedFull)
	}
	r.claimant = h
	r.held = true
	s.put(issued, q.Key, r)
	return VoteReply{Vote: VoteGranted}
}

// Finish records the result of a granted attempt, also when this replica had
// voted for another one: two other replicas voted for the attempt, so that no
// other attempt can have run.
func (t *Table) Finish(now galenapeer.Instant, trusted bool, q FinishRequest) {
	issued, h, ok := t.accepts(now, trusted, q.Key, q.Attempt)
	if !ok {
		return
	}
	s := t.shard(q.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expireResults(s, now)
	r, known := s.get(issued, q.Key)
	if !issued.After(s.purged) || r.done || (!known && !t.admit()) {
		return
	}
	r.claimant = h
	r.held = true
	r.done = true
	r.fences = nil
	t.keep(s, now, issued, q, &r)
	s.put(issued, q.Key, r)
}

// Release withdraws the attempt's vote and fences late messages of the attempt
// and of earlier ones of the same entry.
func (t *Table) Release(now galenapeer.Instant, trusted bool, q ReleaseRequest) {
	issued, h, ok := t.accepts(now, trusted, q.Key, q.Attempt)
	if !ok {
		return
	}
	s := t.shard(q.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.get(issued, q.Key)
	if !issued.After(s.purged) || r.done || (!known && !t.admit()) {
		return
	}
	if r.held && r.claimant == h {
		r.held = false
		r.claimant = holder{}
	}
	r.fence(h)
	s.put(issued, q.Key, r)
}

// Tick drops expired keys and results. An untrusted clock drops no keys, since
// it could be far ahead.
func (t *Table) Tick(now galenapeer.Instant, trusted bool) {
	t.noteStart(now, trusted)
	cutoff := now.Wall.Add(-Window - clockMargin).Truncate(bucketWidth)
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

// noteStart derives the start time from the first trusted reading.
func (t *Table) noteStart(now galenapeer.Instant, trusted bool) {
	if trusted && t.oldest.Load() == 0 {
		start := now.Wall.Add(t.startMono - now.Mono)
		t.oldest.CompareAndSwap(0, start.Add(restartMargin).UnixMilli())
	}
}

func (t *Table) purge(s *shard, cutoff time.Time) {
	if !cutoff.After(s.purged) {
		return
	}
	for b, keys := range s.buckets {
		if b < bucketOf(cutoff) {
			t.keys.Add(-int64(len(keys)))
			delete(s.buckets, b)
		}
	}
	// Keys issued exactly at cutoff are in the bucket that is kept.
	s.purged = cutoff.Add(-time.Millisecond)
}

func (t *Table) taken(r record, h holder) VoteReply {
	switch {
	case r.done && r.answer != nil:
		return VoteReply{Vote: VoteDone, Answer: r.answer}
	case r.done:
		return VoteReply{Vote: VoteRunning}
	case r.claimant == h:
		return VoteReply{Vote: VoteGranted}
	}
	c := Attempt{Entry: t.names[r.claimant.entry], Life: r.claimant.life, Order: r.claimant.order}
	return VoteReply{Vote: VoteRunning, Holder: &c}
}

func (t *Table) refusal(now galenapeer.Instant, trusted bool, s *shard, issued time.Time) Refusal {
	switch {
	case !trusted:
		return RefusedClock
	case issued.After(now.Wall.Add(MaxAhead)):
		return RefusedFuture
	case issued.Before(now.Wall.Add(-Window)), !issued.After(s.purged):
		return RefusedExpired
	case issued.UnixMilli() <= t.oldest.Load() && !t.faults.voteOldKeys:
		return RefusedRestart
	}
	return ""
}

// accepts checks a message other than a claim. Keys far ahead of a trusted
// clock are not stored, since they would stay for as long.
func (t *Table) accepts(now galenapeer.Instant, trusted bool, key galenahead.RequestKey, a Attempt) (time.Time, holder, bool) {
	issued, err := key.IssueTime()
	if err != nil || trusted && issued.After(now.Wall.Add(MaxAhead+clockMargin)) {
		return time.Time{}, holder{}, false
	}
	h, ok := t.holder(a)
	return issued, h, ok
}

func (t *Table) holder(a Attempt) (holder, bool) {
	i, ok := t.members[a.Entry]
	return holder{entry: i, life: a.Life, order: a.Order}, ok
}

// admit counts a new key, unless the table is full.
func (t *Table) admit() bool {
	if t.keys.Add(1) > t.maxKeys {
		t.keys.Add(-1)
		return false
	}
	return true
}

// keep records the answer within the bounds, dropping older results of the
// shard to make room.
func (t *Table) keep(s *shard, now galenapeer.Instant, issued time.Time, q FinishRequest, r *record) {
	size := resultSize(q.Answer)
	if q.Answer == nil || size > MaxResult {
		return
	}
	for t.results.Load()+size > MaxResults {
		if len(s.kept) == 0 {
			return
		}
		t.dropOldest(s)
	}
	r.answer = q.Answer
	t.results.Add(size)
	s.kept = append(s.kept, keptResult{key: q.Key, bucket: bucketOf(issued), size: size, expires: now.Mono + ResultTTL})
}

func (t *Table) expireResults(s *shard, now galenapeer.Instant) {
	for len(s.kept) > 0 && s.kept[0].expires <= now.Mono {
		t.dropOldest(s)
	}
}

func (t *Table) dropOldest(s *shard) {
	k := s.kept[0]
	s.kept = s.kept[1:]
	t.results.Add(-k.size)
	if r, ok := s.buckets[k.bucket][k.key]; ok {
		r.answer = nil
		s.buckets[k.bucket][k.key] = r
	}
}

func (t *Table) shard(key galenahead.RequestKey) *shard {
	return &t.shards[xxhash.Sum64String(string(key))%shardCount]
}

func (s *shard) get(issued time.Time, key galenahead.RequestKey) (record, bool) {
	r, ok := s.buckets[bucketOf(issued)][key]
	return r, ok
}

func (s *shard) put(issued time.Time, key galenahead.RequestKey, r record) {
	b := bucketOf(issued)
	m := s.buckets[b]
	if m == nil {
		m = make(map[galenahead.RequestKey]record)
		s.buckets[b] = m
	}
	m[key] = r
}

func (r *record) fenced(h holder) bool {
	for _, f := range r.fences {
		if f.entry == h.entry && f.order >= h.order {
			return true
		}
	}
	return false
}

func (r *record) fence(h holder) {
	for i, f := range r.fences {
		if f.entry == h.entry {
			r.fences[i].order = max(f.order, h.order)
			return
		}
	}
	r.fences = append(r.fences, h)
}

func bucketOf(issued time.Time) int64 {
	return issued.UnixMilli() / bucketWidth.Milliseconds()
}

func refuse(reason Refusal) VoteReply {
	return VoteReply{Vote: VoteRefused, Reason: reason}
}

func resultSize(a *galenahead.Answer) int64 {
	if a == nil {
		return 0
	}
	return int64(len(a.Body) + len(a.ContentType) + len(a.Reason))
}
