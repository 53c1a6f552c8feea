package galenafleet

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

// Guards against long-running work that lapses on all instances because a leader that is
// late for a moment gives up its session, and each new session polls all instances anew.
func TestSessionOutlivesGapInLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		f := &countingInstances{fakeInstances: o.Instances.(*fakeInstances)}
		o.Instances = f
		var lines bytes.Buffer
		o.Logger = galenalog.New(&lines, logrus.InfoLevel)
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		sess := o.session.Load()
		time.Sleep(205 * time.Millisecond)

		log.gap.Store(true)
		configured := make(chan error, 1)
		next := testConfig
		next.Version = 2
		go func() {
			_, err := sess.committer.commit(Op{Config: &next})
			configured <- err
		}()
		sess.shardFor("counter").sendCommand(sess.ctx, galenajob.Action{Kind: galenajob.ActStart, Item: galenajob.ItemID{Job: "j"}, Run: 1001})
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		is.Equal(len(f.running), 0) // nothing is sent without the lease
		f.mu.Unlock()
		_, err = o.Configuration(ctx, Empty{})
		is.True(errors.Is(err, galenahead.ErrNotLeader)) // nor answered
		is.Equal(o.State.Config().Version, uint64(1))    // nor committed

		log.gap.Store(false)
		is.NoErr(<-configured)
		time.Sleep(time.Second)
		is.Equal(o.session.Load(), sess)
		is.Equal(o.session.Load().epoch, uint64(1))
		is.Equal(o.State.Config().Version, uint64(2))
		stop()
		time.Sleep(2 * time.Second)
		gaps := logLines(t, lines.String(), "the lease of the log is valid again")
		is.Equal(len(gaps), 1)
		is.Equal(gaps[0]["gap_ms"], 100.0)
	})
}

// Guards against a session that goes on in a later term of its replica, between which
// another owner may have acted, and against an operation of it that is appended there.
func TestSessionEndsWithItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		_, stop := startOwner(t, o, testConfig)
		sess := o.session.Load()
		log.terms.Add(1) // the lease is valid at the next check again
		is.True(!sess.isLeader())
		time.Sleep(100 * time.Millisecond)
		is.True(o.session.Load() != sess)
		is.Equal(o.session.Load().epoch, uint64(2))

		sess = o.session.Load()
		log.terms.Add(1)
		next := testConfig
		next.Version = 2
		_, err := sess.committer.commit(Op{Config: &next})
		is.True(err != nil)
		is.Equal(o.State.Config().Version, uint64(1))
		time.Sleep(100 * time.Millisecond)
		is.True(o.session.Load() != sess)
		is.Equal(o.session.Load().epoch, uint64(3))
		stop()
		time.Sleep(2 * time.Second)
	})
}
