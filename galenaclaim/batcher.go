package galenaclaim

import (
	"context"
	"sync"
	"time"

	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// maxConcurrentBatches is the number of messages that may be in flight to one
	// replica. Further operations are queued and share the next message.
	maxConcurrentBatches = 2
	// maxBatchOps is the maximum number of operations in a message.
	maxBatchOps = 64
	// maxBatchBytes is the size of the results in a message above which no further
	// operation is added.
	maxBatchBytes = 256 << 10
	// maxQueuedOps is the maximum number of operations queued for one replica.
	maxQueuedOps = 4096
)

// batcher sends operations to one replica in batches.
type batcher struct {
	service *Service
	peer    galenapeer.Entry

	mu    sync.Mutex
	queue []*pendingOp
	// senders is the number of running loop goroutines.
	senders int
}

// pendingOp is an operation that waits for a replica's reply.
type pendingOp struct {
	op Op
	// replica is the index of the replica among the key's replicas.
	replica int
	// tries is the number of failed deliveries.
	tries   int
	queued  time.Time
	replies chan<- opReply
}

// opReply is the reply of one replica, or the failure to get one.
type opReply struct {
	replica int
	// ok is false if the replica did not reply.
	ok   bool
	vote VoteReply
}

// submit queues an operation, or executes it if this entry is the replica.
func (b *batcher) submit(o *pendingOp) {
	s := b.service
	if b.peer.Name == s.cfg.Self {
		r := s.executeBatch(Batch{Entry: s.cfg.Self, Incarnation: s.incarnation, Ops: []Op{o.op}})
		o.replies <- opReply{replica: o.replica, ok: true, vote: r.Votes[0]}
		return
	}
	o.queued = s.cfg.Timers.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueuedOps {
		o.replies <- opReply{replica: o.replica}
		return
	}
	b.queue = append(b.queue, o)
	if b.senders < maxConcurrentBatches {
		b.senders++
		go b.loop()
	}
}

// loop sends batches until the queue is empty.
func (b *batcher) loop() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.sendBatch(batch)
	}
}

// nextBatch removes the operations of the next message from the queue. Votes that
// have been queued for the call timeout fail, because their ballots are over.
func (b *batcher) nextBatch() []*pendingOp {
	now := b.service.cfg.Timers.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*pendingOp
	size, taken := 0, 0
	for _, o := range b.queue {
		if len(batch) == maxBatchOps || size > maxBatchBytes {
			break
		}
		taken++
		if o.op.Kind == OpVote && now.Sub(o.queued) >= b.service.cfg.Timeout {
			o.replies <- opReply{replica: o.replica}
			continue
		}
		batch = append(batch, o)
		size += int(resultSize(o.op.Answer))
	}
	b.queue = append(b.queue[:0], b.queue[taken:]...)
	if len(batch) == 0 {
		b.senders--
	}
	return batch
}

func (b *batcher) sendBatch(batch []*pendingOp) {
	s := b.service
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Timeout)
	defer cancel()
	msg := Batch{Entry: s.cfg.Self, Incarnation: s.incarnation, Ops: make([]Op, len(batch))}
	for i, o := range batch {
		msg.Ops[i] = o.op
	}
	var reply BatchReply
	err := s.cfg.RPCClient.Call(ctx, b.peer.Address, methodBatch, msg, &reply)
	for i, o := range batch {
		if err == nil && i < len(reply.Votes) {
			o.replies <- opReply{replica: o.replica, ok: true, vote: reply.Votes[i]}
		} else {
			b.retryOrFail(o)
		}
	}
}

// retryOrFail schedules another delivery of an operation that failed, or reports
// the failure if the operation is a vote or was sent maxDeliveries times.
func (b *batcher) retryOrFail(o *pendingOp) {
	o.tries++
	if o.op.Kind == OpVote || o.tries == maxDeliveries {
		o.replies <- opReply{replica: o.replica}
		return
	}
	go (&retry{batcher: b, op: o}).run(context.Background())
}

// retry resubmits an operation after an exponential delay.
type retry struct {
	batcher *batcher
	op      *pendingOp
}

func (r *retry) run(ctx context.Context) {
	<-r.batcher.service.cfg.Timers.After(ctx, redeliveryDelay<<(r.op.tries-1))
	r.batcher.submit(r.op)
}
