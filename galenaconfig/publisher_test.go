package galenaconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenatimer"
)

// fixedSource is the state of a replica that always leads.
type fixedSource struct{ stateMachine galenastate.StateMachine }

func (s *fixedSource) Current(context.Context) (*galenastate.View, error) {
	return s.stateMachine.View(), nil
}

func (*fixedSource) Changed() <-chan struct{} { return nil }

// applySetting applies an operator's change of one setting.
func (s *fixedSource) applySetting(is *is.I, value string) {
	rev := s.stateMachine.View().Revision()
	c := galenastate.Command{
		RequestID: fmt.Sprint("request-", rev), BaseRevision: rev, Operator: "operator", TimeMS: 1,
		Change: galenastate.Change{SettingSet: &galenastate.Setting{Key: "key-" + value, Value: value}},
	}
	record, err := c.Encode()
	is.NoErr(err)
	r, err := galenastate.DecodeResult(s.stateMachine.Apply(uint64(rev)+1, record))
	is.NoErr(err)
	is.NoErr(r.Err())
}

// TestPublisherSharesOnlyEqualDeltas guards against replying with a cached delta
// that was encoded for another request or for an older revision.
func TestPublisherSharesOnlyEqualDeltas(t *testing.T) {
	is := is.New(t)
	s := &fixedSource{}
	p := NewPublisher(s, &galenatimer.Service{}, []galenahead.EntryName{"entry"})
	requests := []ConfigRequest{{Full: true}, {Revision: 1}, {Revision: 1, Full: true}, {Revision: 2}, {Revision: 1 << 20}, {}}
	s.applySetting(is, "first")
	for n, first := range requests {
		for _, second := range requests {
			checkReply(is, p, s, first)
			checkReply(is, p, s, second)
			s.applySetting(is, fmt.Sprint(n))
			checkReply(is, p, s, second)
		}
	}
}

// checkReply compares a reply with the delta that the state yields.
func checkReply(is *is.I, p *Publisher, s *fixedSource, req ConfigRequest) {
	is.Helper()
	v := s.stateMachine.View()
	want, ok := v.Since(req.Revision)
	if req.Full || !ok {
		want = v.Full()
	}
	expected, err := json.Marshal(ConfigReply{Delta: want})
	is.NoErr(err)
	r, err := p.handlePoll(context.Background(), req)
	is.NoErr(err)
	got, err := json.Marshal(r)
	is.NoErr(err)
	is.Equal(string(got), string(expected))
}

// Guards against a record for each name that a request gives, and against a request that waits for as
// long as it likes.
func TestPublisherKeepsOnlyConfiguredEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fixedSource{}
		s.applySetting(is, "first")
		p := NewPublisher(s, &galenatimer.Service{}, []galenahead.EntryName{"entry"})
		for i := range 100 {
			_, err := p.handlePoll(t.Context(), ConfigRequest{Entry: galenahead.EntryName(fmt.Sprint("stranger-", i))})
			is.NoErr(err)
		}
		is.Equal(len(p.entryRevisions), 0)
		start := time.Now()
		_, err := p.handlePoll(t.Context(), ConfigRequest{Entry: "entry", Revision: s.stateMachine.View().Revision(), WaitMS: 1 << 40})
		is.NoErr(err)
		is.Equal(time.Since(start), maxPollWait)
		is.Equal(len(p.entryRevisions), 1)
	})
}
