package galenafleet

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// reassign hands jobs to the schedulers of the services that run their queues now.
func (sh *shard) reassign(rs []galenajob.Reassignment) {
	select {
	case sh.session.reassigning <- struct{}{}:
		defer func() { <-sh.session.reassigning }()
	case <-sh.session.ctx.Done():
		return
	}
	ops := make([]Op, len(rs))
	for i, r := range rs {
		ops[i] = Op{Reassign: &ReassignOp{r.Job, r.To}}
	}
	results, err := sh.session.committer.commit(ops...)
	if err != nil {
		return // the session has ended
	}
	for i, r := range rs {
		if results[i].Code == CodeDone {
			sh.session.shardFor(r.To).addReassignedJob(r)
		}
	}
	sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		for _, r := range rs {
			s.RemoveJob(now, r.Job)
		}
	})
	sh.session.Metrics.Counters.Add("reassigned_jobs", int64(len(rs)))
	sh.session.Logger.WithField("service", sh.service).WithField("to_service", rs[0].To).WithField("jobs", len(rs)).
		Info("jobs follow their queue to another service")
}

// addReassignedJob adds a job that another shard hands over, unless it has become final.
func (sh *shard) addReassignedJob(r galenajob.Reassignment) {
	sh.withScheduler(func(_ time.Time, s *galenajob.Scheduler) {
		// What makes it final later removes it from this scheduler.
		if j := sh.session.State.activeJob(r.Job); j != nil {
			s.AddReassignedJob(j, r)
		}
	})
}

// removeFinalJob removes a job that has become final from the scheduler that has it.
func (sess *ownerSession) removeFinalJob(id galenahead.JobID) {
	if _, service, _, ok := sess.State.JobState(id); ok {
		sess.shardFor(service).withScheduler(func(now time.Time, s *galenajob.Scheduler) { s.RemoveJob(now, id) })
	}
}

// shardsOf returns all shards, the one of the queue's service last. A job of the queue is with
// that one, or with another one that may hand it over meanwhile.
func (sess *ownerSession) shardsOf(q *QueueRule) []*shard {
	present := sess.shardFor(q.Service)
	others := slices.DeleteFunc(sess.allShards(), func(sh *shard) bool { return sh == present })
	return append(others, present)
}
