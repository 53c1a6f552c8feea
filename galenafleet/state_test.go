package galenafleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// apply applies operations as one command.
func apply(t *testing.T, s *State, ops ...Op) []Result {
	t.Helper()
	b, err := encodeCommand(ops)
	if err != nil {
		t.Fatal(err)
	}
	var rs []Result
	if err := cbor.Unmarshal(s.Apply(0, b), &rs); err != nil {
		t.Fatal(err)
	}
	return rs
}

var baseTime = time.Unix(1000, 0).UTC()

func submitOp(payload string, attempts int) Op {
	return Op{Submit: &galenajob.Job{
		ID: "j", Queue: "q", Service: "counter", MaxAttempts: attempts, Accepted: baseTime,
		Spec: galenajob.Spec{Payload: payload, Steps: []galenajob.Step{{Count: 2}}},
	}}
}

func endOp(index int, run int64, reason galenajob.EndReason) Op {
	return Op{End: &EndOp{Job: "j", Item: galenajob.ItemKey{Index: index}, How: reason, At: baseTime, Run: run}}
}

// Guards against counting a failed run twice if an instance lists its end again after
// a change of owner, and against losing the end of an earlier run that is listed late.
func TestRunEndsCountOnce(t *testing.T) {
	is := is.New(t)
	s := &State{}
	apply(t, s, submitOp("p", 2))
	rs := apply(t, s, endOp(0, 1001, galenajob.EndFailed), endOp(0, 1001, galenajob.EndFailed))
	is.Equal(rs[0].Code, CodeDone)
	is.Equal(rs[1].Code, CodeUnchanged) // the same run
	is.Equal(rs[1].JobState, galenajob.StateRunning)

	rs = apply(t, s, endOp(1, 2002, galenajob.EndFailed), endOp(1, 2001, galenajob.EndDone))
	is.Equal(rs[1].Code, CodeDone) // an earlier run that was listed late
	is.Equal(s.activeJobs()[0].ItemsLeft, 1)

	rs = apply(t, s, endOp(0, 2001, galenajob.EndFailed))
	is.Equal(rs[0].JobState, galenajob.StateFailed)
}

// Guards against parts of the state that a snapshot does not contain.
func TestSnapshotRestoresWholeState(t *testing.T) {
	is := is.New(t)
	s := &State{}
	apply(t, s, submitOp("p", 3), endOp(0, 1001, galenajob.EndFailed), endOp(1, 1001, galenajob.EndDone),
		Op{Owner: &OwnerOp{Owner: "a"}},
		Op{Config: &Config{Version: 7, Source: []byte("x")}},
		Op{Instance: &galenajob.Instance{ID: "i", Born: 5, Labels: []string{"a"}}},
		Op{Wave: &Wave{ID: 1, MaxDown: 1, Accepted: baseTime}}, Op{WaveStep: &WaveStepOp{1, "m", StepStarted}},
		Op{Order: &MachineOrder{"m", 1, baseTime, "i", 5, "counter"}}, Op{Peak: &DemandPeak{Service: "counter", Start: baseTime, Machines: 5, Over: true}})
	b, err := s.Snapshot()
	is.NoErr(err)
	r := &State{}
	is.NoErr(r.Restore(b))
	is.Equal(r.activeJobs(), s.activeJobs())
	is.Equal(r.epoch, s.epoch)
	is.Equal(r.Config(), s.Config())
	is.Equal(r.registeredInstances(), s.registeredInstances())
	is.Equal(r.Wave(1), s.Wave(1))
	is.Equal(r.orders, s.orders)
	is.Equal(r.recentPeaks(), s.recentPeaks())
}

// Guards against an older configuration replacing a newer one.
func TestIgnoresOlderConfiguration(t *testing.T) {
	is := is.New(t)
	s := &State{}
	rs := apply(t, s, Op{Config: &Config{Version: 7}}, Op{Config: &Config{Version: 7, Source: []byte("other")}}, Op{Config: &Config{Version: 6}})
	is.Equal(rs[0].Code, CodeDone)
	is.Equal(rs[1].Code, CodeUnchanged)
	is.Equal(rs[2].Code, CodeUnchanged)
	is.Equal(len(s.Config().Source), 0)
}

// Guards against requests that go to the wrong queue, also after a restart.
func TestQueueWithLongestPrefixMatches(t *testing.T) {
	is := is.New(t)
	s := &State{}
	apply(t, s, Op{Config: &Config{Version: 1, Queues: []QueueRule{
		{Name: "r0", Host: "a.example", Prefix: "/p/q/"}, {Name: "r1", Host: "A.example", Prefix: "/p/"},
	}}})
	b, err := s.Snapshot()
	is.NoErr(err)
	restored := &State{}
	is.NoErr(restored.Restore(b))
	for _, s := range []*State{s, restored} {
		q, rest, ok := s.MatchQueue("a.EXAMPLE", "/p/q/5c0e")
		is.True(ok)
		is.Equal(q.Name, "r0")
		is.Equal(rest, "5c0e")
		q, rest, ok = s.MatchQueue("a.example", "/p/5c0e")
		is.True(ok)
		is.Equal(q.Name, "r1")
		is.Equal(rest, "5c0e")
		_, _, ok = s.MatchQueue("b.example", "/p/5c0e")
		is.True(!ok)
	}
	_, _, ok := (&State{}).MatchQueue("a.example", "/p/5c0e")
	is.True(!ok)
}

// Guards against a large configuration that delays heartbeats of the log on the
// connections that it crosses, and against commands that replicas of this or an
// earlier version cannot read.
func TestLargeConfigurationIsCompressed(t *testing.T) {
	is := is.New(t)
	c := Config{Version: 1}
	for i := range 2000 {
		q := QueueRule{Name: fmt.Sprintf("route-%04x", i*7919%65536), Host: "a.example", Prefix: fmt.Sprintf("/%04x/", i*104729%65536), Service: "counter"}
		c.Queues = append(c.Queues, q)
		c.Source = fmt.Appendf(c.Source, `{"name":%q,"host":%q,"path_prefix":%q,"kind":"unsafe","timeout_ms":3000,"service":%q},`, q.Name, q.Host, q.Prefix, q.Service)
	}
	plain, err := encoding.Marshal(Command{[]Op{{Config: &c}}})
	is.NoErr(err)
	b, err := encodeCommand([]Op{{Config: &c}})
	is.NoErr(err)
	is.True(len(b) < len(plain)/3)
	for _, command := range [][]byte{b, plain} {
		s := &State{}
		s.Apply(1, command)
		is.Equal(s.Config().Source, c.Source)
		is.Equal(s.Config().Queues, c.Queues)
	}

	e, err := encodeConfig(c)
	is.NoErr(err)
	is.True(len(e.Data) < len(plain)/3)
	decoded, err := e.decode()
	is.NoErr(err)
	is.Equal(decoded, c)
	_, err = EncodedConfig{Data: e.Data[:len(e.Data)/2]}.decode()
	is.True(errors.Is(err, galenahead.ErrCorrupt))
	_, err = EncodedConfig{Data: []byte("{")}.decode()
	is.True(errors.Is(err, galenahead.ErrInvalid))
}
