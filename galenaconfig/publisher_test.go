package galenaconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenatimer"
)

// fixedSource is the state of a replica that always leads.
type fixedSource struct{ machine galenastate.Machine }

func (s *fixedSource) Current(context.Context) (*galenastate.View, error) {
	return s.machine.View(), nil
}

func (*fixedSource) Changed() <-chan struct{} { return nil }

// set commits an operators' change.
func (s *fixedSource) set(is *is.I, value string) {
	rev := s.machine.View().Revision()
	c := galenastate.Command{
		RequestID: fmt.Sprint("request-", rev), Base: rev, Operator: "operator", TimeMS: 1,
		Change: galenastate.Change{SettingSet: &galenastate.Setting{Key: "key-" + value, Value: value}},
	}
	record, err := c.Encode()
	is.NoErr(err)
	r, err := galenastate.DecodeResult(s.machine.Apply(uint64(rev)+1, record))
	is.NoErr(err)
	is.NoErr(r.Err())
}

// TestPublisherSharesOnlyEqualDeltas guards against an entry that gets the
// encoded delta of another question or of an older revision.
func TestPublisherSharesOnlyEqualDeltas(t *testing.T) {
	is := is.New(t)
	s := &fixedSource{}
	p := NewPublisher(s, &galenatimer.Service{}, []galenahead.EntryName{"entry"})
	questions := []Question{{Whole: true}, {Held: 1}, {Held: 1, Whole: true}, {Held: 2}, {Held: 1 << 20}, {}}
	s.set(is, "first")
	for n, first := range questions {
		for _, second := range questions {
			checkAnswer(is, p, s, first)
			checkAnswer(is, p, s, second)
			s.set(is, fmt.Sprint(n))
			checkAnswer(is, p, s, second)
		}
	}
}

// checkAnswer compares an answer with what the state says.
func checkAnswer(is *is.I, p *Publisher, s *fixedSource, q Question) {
	is.Helper()
	v := s.machine.View()
	want, ok := v.Since(q.Held)
	if q.Whole || !ok {
		want = v.Full()
	}
	expected, err := json.Marshal(Reply{Delta: want})
	is.NoErr(err)
	r, err := p.wait(context.Background(), q)
	is.NoErr(err)
	got, err := json.Marshal(r)
	is.NoErr(err)
	is.Equal(string(got), string(expected))
}
