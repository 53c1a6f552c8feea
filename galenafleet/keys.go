package galenafleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenarpc"
)

// MethodKeys asks the owner which keys are certainly unknown.
const MethodKeys = "fleet.keys"

// KeysQuery names the version of the copy that the caller has, or zero.
type KeysQuery struct {
	Version uint64 `json:"version"`
}

// KeysReply is the answer to a KeysQuery.
type KeysReply struct {
	Version uint64 `json:"version"`
	// Required reports that callers need a key, but for public queues.
	Required bool `json:"required"`
	// Content is an encoded keysContent. It is empty if the caller's copy is of the version, or
	// no key is required.
	Content []byte `json:"content,omitempty"`
}

// keysContent is what an entry needs to tell that a key is unknown.
type keysContent struct {
	// Digests holds the first digestPrefix bytes of the digests of all keys.
	Digests []string      `cbor:"1,keyasint"`
	Queues  []queuePrefix `cbor:"2,keyasint"`
}

type queuePrefix struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
	Public bool   `cbor:"3,keyasint,omitempty"`
}

// digestPrefix is how much of a digest a copy holds. A key that shares it with another one goes to
// the owner.
const digestPrefix = 12

// Keys returns what an entry needs to tell that a key is unknown.
func (o *Owner) Keys(_ context.Context, q KeysQuery) (KeysReply, error) {
	sess, err := o.currentSession()
	if err != nil {
		return KeysReply{}, err
	}
	c := sess.State.Config()
	if !sess.isLeader() {
		return KeysReply{}, galenahead.ErrNotLeader
	}
	if c == nil || !c.RequiresKeys {
		return KeysReply{}, nil
	}
	r := KeysReply{Version: c.Version, Required: true}
	if q.Version == c.Version {
		return r, nil
	}
	r.Content, err = c.encodeKeys()
	return r, err
}

func (c *Config) encodeKeys() ([]byte, error) {
	var content keysContent
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			content.Digests = append(content.Digests, string(k[:min(len(k), digestPrefix)]))
		}
	}
	for i := range c.Queues {
		content.Queues = append(content.Queues, queuePrefix{c.Queues[i].Host, c.Queues[i].Prefix, c.Queues[i].Public})
	}
	b, err := encoding.Marshal(content)
	if err != nil {
		return nil, eris.Wrap(err, "encode keys")
	}
	return compress(b)
}

// maxKeyCopyAge is for how long after it was asked for a copy is good for refusing a key. A key
// that is new in the configuration may be refused for as long.
const maxKeyCopyAge = 500 * time.Millisecond

// keyCopy is a copy of what tells unknown keys. It is immutable.
type keyCopy struct {
	askedAt  time.Time
	version  uint64
	required bool
	digests  map[string]bool
	queues   queueIndex
}

// decodeKeyCopy returns the copy that a reply makes of an earlier one, which may be nil.
func decodeKeyCopy(r KeysReply, earlier *keyCopy, askedAt time.Time) (*keyCopy, error) {
	c := &keyCopy{askedAt: askedAt, version: r.Version, required: r.Required}
	switch {
	case !r.Required:
		return c, nil
	case len(r.Content) == 0 && earlier != nil && earlier.version == r.Version:
		c.digests, c.queues = earlier.digests, earlier.queues
		return c, nil
	}
	b, err := expand(r.Content)
	if err != nil {
		return nil, err
	}
	var content keysContent
	if err := cbor.Unmarshal(b, &content); err != nil {
		return nil, eris.Wrap(err, "decode keys")
	}
	c.digests = make(map[string]bool, len(content.Digests))
	for _, d := range content.Digests {
		c.digests[d] = true
	}
	rules := make([]QueueRule, len(content.Queues))
	for i, q := range content.Queues {
		rules[i] = QueueRule{Host: q.Host, Prefix: q.Prefix, Public: q.Public}
	}
	c.queues = newQueueIndex(rules)
	return c, nil
}

// refuses reports whether the request needs a key and has one that is certainly unknown, or none.
func (c *keyCopy) refuses(host, path string, key galenaaccount.Digest) bool {
	q, _, ok := c.queues.match(host, path)
	return ok && !q.Public && (key == "" || !c.digests[string(key[:min(len(key), digestPrefix)])])
}

// keyCopies holds the last copy of an entry. Its zero value is ready to use.
type keyCopies struct {
	current atomic.Pointer[keyCopy]
	// seen is the highest version that an answer of the owner has named.
	seen atomic.Uint64
	// wanted is set when the owner has refused a key that the copy did not refuse.
	wanted atomic.Bool

	mu      sync.Mutex
	pending *keyFetch
	lines   galenalog.Limit
}

// keyFetch is a fetch of a copy for which requests wait.
type keyFetch struct {
	done chan struct{}
	copy *keyCopy
	err  error
}

// note takes notice of an answer of the owner.
func (k *keyCopies) note(r Reply) {
	for {
		seen := k.seen.Load()
		if r.ConfigVersion <= seen || k.seen.CompareAndSwap(seen, r.ConfigVersion) {
			break
		}
	}
	if r.Outcome == OutcomeUnauthorized {
		k.wanted.Store(true)
	}
}

// Authorize refuses a request whose key is certainly unknown, so that it does not reach the owner.
// It reports true if the owner decides. Otherwise the request was not sent, and the reply is the
// answer.
func (oc *OwnerClient) Authorize(ctx context.Context, host, path string, key galenaaccount.Digest) (Reply, bool) {
	c := oc.keys.current.Load()
	if c == nil || !c.required {
		if !oc.keys.wanted.Load() {
			return Reply{}, true
		}
	} else if !c.refuses(host, path, key) {
		return Reply{}, true
	}
	if c == nil || !oc.isFresh(c) {
		var err error
		if c, err = oc.fetchKeys(ctx); galenarpc.IsUnknownMethod(err) {
			return Reply{}, true
		} else if err != nil {
			return oc.refuse(unreadyReply(err.Error())), false
		}
	}
	if !c.required || !c.refuses(host, path, key) {
		return Reply{}, true
	}
	return oc.refuse(unauthorizedReply(key)), false
}

// refuse counts and logs a reply that the owner has not given.
func (oc *OwnerClient) refuse(r Reply) Reply {
	oc.Metrics.Counters.Add("answer_"+string(r.Outcome), 1)
	if ok, suppressed := oc.keys.lines.Allow(oc.Directory.Timers.Now()); ok {
		galenalog.Info(oc.Logger, "request refused", refusalLine{r, suppressed})
	}
	return r
}

// isFresh reports whether a key that the copy lacks may be refused.
func (oc *OwnerClient) isFresh(c *keyCopy) bool {
	return c.version >= oc.keys.seen.Load() && oc.Directory.Timers.Now().Sub(c.askedAt) < maxKeyCopyAge
}

// maxKeyFetches bounds the fetches that one request waits for: one that was under way may have
// been asked too early.
const maxKeyFetches = 2

// fetchKeys fetches a copy, or waits for the fetch that is under way.
func (oc *OwnerClient) fetchKeys(ctx context.Context) (*keyCopy, error) {
	var f *keyFetch
	for range maxKeyFetches {
		oc.keys.mu.Lock()
		f = oc.keys.pending
		first := f == nil
		if first {
			f = &keyFetch{done: make(chan struct{})}
			oc.keys.pending = f
		}
		oc.keys.mu.Unlock()
		if first {
			oc.fetchKeysFor(f)
		}
		select {
		case <-f.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if f.err != nil || oc.isFresh(f.copy) {
			return f.copy, f.err
		}
	}
	return nil, eris.Wrap(galenahead.ErrNotReady, "the keys change")
}

// fetchKeysFor asks the owner once for a copy.
func (oc *OwnerClient) fetchKeysFor(f *keyFetch) {
	earlier := oc.keys.current.Load()
	f.copy, f.err = oc.askForKeys(earlier)
	if f.err == nil {
		oc.keys.current.Store(f.copy)
		oc.keys.wanted.Store(false)
	}
	oc.keys.mu.Lock()
	oc.keys.pending = nil
	oc.keys.mu.Unlock()
	close(f.done)
}

func (oc *OwnerClient) askForKeys(earlier *keyCopy) (*keyCopy, error) {
	addr, ok := oc.Directory.Leader()
	if !ok {
		return nil, galenahead.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	var q KeysQuery
	if earlier != nil {
		q.Version = earlier.version
	}
	askedAt := oc.Directory.Timers.Now()
	var r KeysReply
	if err := oc.RPCClient.Call(ctx, addr, MethodKeys, q, &r); err != nil {
		if !galenarpc.IsUnknownMethod(err) {
			oc.Directory.ReportFailure(addr)
		}
		return nil, err
	}
	return decodeKeyCopy(r, earlier, askedAt)
}

// refusalLine is the log line of a request that an entry has refused.
type refusalLine struct {
	reply      Reply
	suppressed int64
}

// AppendFields implements galenalog.Line.
func (l refusalLine) AppendFields(b []byte) []byte {
	b = galenalog.AppendString(b, "outcome", string(l.reply.Outcome))
	b = galenalog.AppendString(b, "reason", l.reply.Reason)
	return galenalog.AppendInt(b, "lines_left_out", l.suppressed)
}
