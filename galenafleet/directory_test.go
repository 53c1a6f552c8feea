package galenafleet

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
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
		// The log has not heard from the voter either, so that only the directory tells.
		st := galenahead.LogStatus{
			Members: []galenahead.Member{{Name: "b", Address: "b:1", Voter: true}}, Contacts: []galenahead.MemberContact{{Silence: time.Hour}},
		}
		lost := func() bool { return mm.isLost(d.Timers.Now(), st, 0) }
		d.query(t.Context(), "b:1")
		is.True(!lost())
		failure = context.DeadlineExceeded
		d.query(t.Context(), "b:1")
		is.True(!lost())
		time.Sleep(mm.voterTimeout() + time.Millisecond)
		is.True(lost())
	})
}

// memberLog is a log that holds the lease and records changes of its members.
type memberLog struct {
	fakeLog
	changes []galenahead.MemberChange
}

func (l *memberLog) ChangeMember(_ context.Context, c galenahead.MemberChange) error {
	l.changes = append(l.changes, c)
	return nil
}

// Guards against removing a healthy voter, or adding a replica that is gone, because of a
// query that an earlier incarnation of the replica had sent and that arrived late.
func TestLateQueryOfEarlierIncarnationChangesNoMembers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	present := galenahead.Member{Name: "b", Address: "b:1", Incarnation: 2}
	earlier := galenahead.Member{Name: "b", Address: "b:1", Incarnation: 1}
	voter := present
	voter.Voter = true
	tests := []struct {
		name    string
		members []galenahead.Member
		query   galenahead.Member
		want    []galenahead.MemberChange
	}{
		{"late query, member", []galenahead.Member{voter}, earlier, nil},
		{"late query, no member", nil, earlier, nil},
		{"replica with a new disk", []galenahead.Member{{Name: "b", Address: "b:1", Incarnation: 1, Voter: true}}, present,
			[]galenahead.MemberChange{{Action: galenahead.MemberRemove, Member: galenahead.Member{Name: "b", Address: "b:1", Incarnation: 1, Voter: true}}}},
		{"new replica", nil, present, []galenahead.MemberChange{{Action: galenahead.MemberAddLearner, Member: present}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rpc := rpcClientFunc(func(_ context.Context, _ string, result any) error {
				*result.(*LeaderInfo) = LeaderInfo{Self: present}
				return nil
			})
			d := &Directory{RPCClient: rpc, Timers: &galenatimer.Service{}, Logger: log}
			d.SetSeeds([]string{"b:1"})
			mux := &galenarpc.Mux{}
			d.Register(mux)
			var answer json.RawMessage
			is.NoErr(mux.Call(t.Context(), MethodLeaderInfo, LeaderInfo{Self: tt.query}, &answer))
			l := &memberLog{}
			mm := &MembershipManager{Log: l, Directory: d, Timers: d.Timers, Logger: log, VoterCount: 1}
			mm.reconcileMembers(t.Context(), galenahead.LogStatus{Members: tt.members})
			is.Equal(l.changes, tt.want)
		})
	}
}
