package galenafleet

import (
	"context"

	"github.com/galenahead/galenahead/galenajob"
)

// PrepareHandover lets this process send no more starts, and records those without a response, so
// that the next owner knows of them. Most get one within Params.ResendInterval, and need no record
// then. It returns an error if they are not recorded when ctx ends. It does nothing on a replica
// that is not the owner.
func (o *Owner) PrepareHandover(ctx context.Context) error {
	answerCtx, cancel := context.WithTimeout(ctx, o.Params.ResendInterval)
	defer cancel()
	o.startGate.close(answerCtx)
	sess := o.session.Load()
	if sess == nil {
		return nil
	}
	shards := sess.allShards()
	for _, sh := range shards {
		sh.recordStartsInFlight()
	}
	for _, sh := range shards {
		select {
		case <-sh.unanswered.recorded():
		case <-sess.ctx.Done():
			return context.Cause(sess.ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// recordStartsInFlight records the starts in flight, and what is still to be recorded of others.
func (sh *shard) recordStartsInFlight() {
	sh.lock()
	defer sh.mu.Unlock()
	sh.scheduler.ReportStartsInFlight(sh.now())
	sh.recordUnanswered(sh.scheduler.TakeUnansweredStarts())
}

// enterStart reports whether a command may be sent: a start only until PrepareHandover is called.
// If so, leaveStart must follow once its outcome is handled.
func (o *Owner) enterStart(a galenajob.Action) bool {
	return a.Kind != galenajob.ActStart || o.startGate.enter()
}

func (o *Owner) leaveStart(a galenajob.Action) {
	if a.Kind == galenajob.ActStart {
		o.startGate.leave()
	}
}
