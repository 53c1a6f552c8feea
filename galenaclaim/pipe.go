package galenaclaim

import (
	"context"
	"sync"
	"time"

	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// maxBatches is how many messages to one replica are under way at a time.
	// Further operations wait and share the next message.
	maxBatches = 2
	// maxOps and maxBatchBytes bound a message.
	maxOps        = 64
	maxBatchBytes = 256 << 10
	// maxQueue bounds the operations that wait for one replica.
	maxQueue = 4096
)

// pipe carries operations to one replica in batches.
type pipe struct {
	service *Service
	peer    galenapeer.Entry

	mu    sync.Mutex
	queue []*pending
	loops int
}

// pending is an operation that waits for a replica's reply.
type pending struct {
	op      Op
	number  int
	tries   int
	queued  time.Time
	replies chan<- opReply
}

// opReply is the reply of one replica, or the failure to get it.
type opReply struct {
	number int
	ok     bool
	vote   VoteReply
}

// submit queues an operation, or executes it when this entry is the replica.
func (p *pipe) submit(o *pending) {
	s := p.service
	if p.peer.Name == s.cfg.Self {
		r := s.serve(Batch{Entry: s.cfg.Self, Life: s.life, Ops: []Op{o.op}})
		o.replies <- opReply{number: o.number, ok: true, vote: r.Votes[0]}
		return
	}
	o.queued = s.cfg.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= maxQueue {
		o.replies <- opReply{number: o.number}
		return
	}
	p.queue = append(p.queue, o)
	if p.loops < maxBatches {
		p.loops++
		go p.loop()
	}
}

// loop sends batches until no operation waits.
func (p *pipe) loop() {
	for {
		batch := p.next()
		if len(batch) == 0 {
			return
		}
		p.exchange(batch)
	}
}

// next takes the operations of the next message off the queue. Votes that have
// waited for the call timeout are failed: their claims are decided by now.
func (p *pipe) next() []*pending {
	now := p.service.cfg.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []*pending
	size, n := 0, 0
	for _, o := range p.queue {
		if len(batch) == maxOps || size > maxBatchBytes {
			break
		}
		n++
		if o.op.Kind == OpVote && now.Sub(o.queued) >= p.service.cfg.Timeout {
			o.replies <- opReply{number: o.number}
			continue
		}
		batch = append(batch, o)
		size += int(resultSize(o.op.Answer))
	}
	p.queue = append(p.queue[:0], p.queue[n:]...)
	if len(batch) == 0 {
		p.loops--
	}
	return batch
}

func (p *pipe) exchange(batch []*pending) {
	s := p.service
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Timeout)
	defer cancel()
	b := Batch{Entry: s.cfg.Self, Life: s.life, Ops: make([]Op, len(batch))}
	for i, o := range batch {
		b.Ops[i] = o.op
	}
	var r BatchReply
	err := s.cfg.Caller.Call(ctx, p.peer.Address, methodBatch, b, &r)
	for i, o := range batch {
		if err == nil && i < len(r.Votes) {
			o.replies <- opReply{number: o.number, ok: true, vote: r.Votes[i]}
		} else {
			p.failed(o)
		}
	}
}

// failed repeats operations other than votes.
func (p *pipe) failed(o *pending) {
	o.tries++
	if o.op.Kind == OpVote || o.tries == deliveries {
		o.replies <- opReply{number: o.number}
		return
	}
	go (&retry{pipe: p, op: o}).run(context.Background())
}

// retry submits an operation again after a delay that doubles each time.
type retry struct {
	pipe *pipe
	op   *pending
}

func (r *retry) run(ctx context.Context) {
	<-r.pipe.service.cfg.Timers.After(ctx, redeliveryDelay<<(r.op.tries-1))
	r.pipe.submit(r.op)
}
