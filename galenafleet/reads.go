package galenafleet

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	// MethodRead asks any control daemon about a job or a queue. The daemon collects such
	// requests for the owner.
	MethodRead = "fleet.read"
	// MethodReads takes the requests that another daemon has collected.
	MethodReads = "fleet.reads"
)

const (
	// readPause is how long requests are collected, short compared with the time after which
	// an entry sends a request again.
	readPause = 20 * time.Millisecond
	// busyWait is how long a request waits for its turn at an owner that is short of
	// processor time. An owner that is not answers within a few milliseconds.
	busyWait = 20 * time.Millisecond
	// spreadTime is how long an entry sends its reads to other control daemons after the
	// owner has said that it is busy.
	spreadTime = 2 * time.Second
)

// isRead reports whether the request changes nothing.
func (r Request) isRead() bool { return r.Kind == RequestState || r.Kind == RequestWaiting }

// ReadBatch holds requests that a control daemon has collected. All of them are reads.
type ReadBatch struct {
	Requests []Request `json:"requests"`
}

// ReadReplies holds the replies to a ReadBatch, in the order of its requests.
type ReadReplies struct {
	Replies []Reply `json:"replies"`
}

// readInTurn answers the requests that another daemon has collected, in one turn.
func (o *Owner) readInTurn(_ context.Context, b ReadBatch, waited time.Duration) (ReadReplies, error) {
	sess, err := o.currentSession()
	if err != nil {
		return ReadReplies{}, err
	}
	if waited > maxRequestWait {
		sess.load.shed.Add(int64(len(b.Requests)))
		return ReadReplies{}, galenahead.ErrOverloaded
	}
	out := ReadReplies{Replies: make([]Reply, len(b.Requests))}
	for i, r := range b.Requests {
		if !r.isRead() {
			return ReadReplies{}, eris.Wrapf(galenahead.ErrInvalid, "%s is not a read", r.Kind)
		}
		if out.Replies[i], err = sess.answer(r, waited); err != nil {
			return ReadReplies{}, err
		}
	}
	if !sess.isLeader() {
		return ReadReplies{}, galenahead.ErrNotLeader
	}
	return out, nil
}

// ReadCollector forwards reads to the owner in batches: what an owner that is short of processor
// time spends on a message is more than what it spends on a read. Its zero value with Owner and
// Timers is ready to use once Run runs.
type ReadCollector struct {
	// Owner has connections of its own, on which nothing waits behind a read for its turn.
	Owner  *OwnerClient
	Timers galenahead.Timers

	calls collector[Request, Reply]
}

// Register adds the RPC method that takes reads.
func (c *ReadCollector) Register(mux *galenarpc.Mux) {
	galenarpc.Handle(mux, MethodRead, c.Read)
}

// Read forwards a read with others, and returns the owner's reply.
func (c *ReadCollector) Read(ctx context.Context, r Request) (Reply, error) {
	if !r.isRead() {
		return Reply{}, eris.Wrapf(galenahead.ErrInvalid, "%s is not a read", r.Kind)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.calls.do(ctx, r)
}

// Run forwards reads until ctx ends.
func (c *ReadCollector) Run(ctx context.Context) error {
	return c.calls.loop(ctx, c.Timers, readPause, c.forward)
}

func (c *ReadCollector) forward(ctx context.Context, reads []Request) []collectedResult[Reply] {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	replies, _, err := call[ReadBatch, ReadReplies](ctx, c.Owner, MethodReads, ReadBatch{reads})
	if err == nil && len(replies.Replies) != len(reads) {
		err = eris.Wrap(galenahead.ErrInvalid, "the owner answered another number of reads")
	}
	if err != nil {
		return failAll[Reply](len(reads), err)
	}
	out := make([]collectedResult[Reply], len(reads))
	for i := range out {
		out[i].value = replies.Replies[i]
	}
	return out
}

// noteBusy notes what a reply says about the load of the owner.
func (oc *OwnerClient) noteBusy(r Reply) {
	if r.Busy {
		oc.spreadUntil.Store(time.Now().Add(spreadTime).UnixNano())
	}
}

// readElsewhere sends a read to another control daemon than the owner's while the owner is
// busy. It reports false if the owner has to be asked itself.
func (oc *OwnerClient) readElsewhere(ctx context.Context, r Request) (Reply, bool) {
	if !r.isRead() || time.Now().UnixNano() >= oc.spreadUntil.Load() {
		return Reply{}, false
	}
	owner, _ := oc.Directory.Leader()
	members, _ := oc.Directory.Members()
	addr := func(i int) string { return members[i].Address }
	i := SpreadOver(r.Path, len(members), addr, func(i int) bool { return addr(i) != owner })
	if i < 0 {
		return Reply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var reply Reply
	err := oc.RPCClient.Call(ctx, addr(i), MethodRead, r, &reply)
	switch {
	case errors.Is(err, galenahead.ErrOverloaded):
		return unreadyReply(err.Error()), true // as the owner itself would answer
	case err != nil:
		oc.spreadUntil.Store(0)
		return Reply{}, false
	}
	return reply, true
}
