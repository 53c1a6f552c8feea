package galenafleet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenatimer"
)

// Guards against a voter that is replaced because the leader was too late to handle
// one answer of it.
func TestVoterIsNotLostAfterOneMissedQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		var failure error
		rpc := rpcClientFunc(func(_ context.Context, _ string, result any) error {
			*result.(*LeaderInfo) = LeaderInfo{Self: galenahead.Member{Address: "b:1"}}
			return failure
		})
		d := &Directory{RPCClient: rpc, Timers: &galenatimer.Service{}, Logger: log}
		d.SetSeeds([]string{"b:1"})
		mm := &MembershipManager{Directory: d, Timers: d.Timers}
		st := galenahead.LogStatus{Members: []galenahead.Member{{Name: "b", Address: "b:1", Voter: true}}}
		lost := func() bool { _, ok := mm.lostVoter(d.Timers.Now(), st); return ok }
		d.query(t.Context(), "b:1")
		is.True(!lost())
		failure = context.DeadlineExceeded
		d.query(t.Context(), "b:1")
		is.True(!lost())
		time.Sleep(voterTimeout + time.Millisecond)
		is.True(lost())
	})
}
