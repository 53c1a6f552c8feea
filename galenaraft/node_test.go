package galenaraft

import (
	"context"
	"encoding/binary"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// counter is a state machine that counts the bytes of its commands.
type counter struct{ n uint64 }

func (c *counter) Apply(_ uint64, command []byte) []byte {
	c.n += uint64(len(command))
	return binary.BigEndian.AppendUint64(nil, c.n)
}

func (c *counter) Snapshot() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, c.n), nil }

func (c *counter) Restore(b []byte) error {
	c.n = binary.BigEndian.Uint64(b)
	return nil
}

// running is a Node whose Run is active.
type running struct {
	*Node
	machine *counter
	stop    func()
}

func startNode(t *testing.T, cfg Config) *running {
	t.Helper()
	r := &running{machine: &counter{}}
	cfg.StateMachine = r.machine
	n, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r.Node = n
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	r.stop = func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
	}
	return r
}

func (r *running) self() galenahead.Member {
	s := r.Status()
	return galenahead.Member{Name: s.Name, Address: string(s.Name), Incarnation: s.Incarnation, Voter: true}
}

// Guards against a single replica that loses acknowledged commands in a
// restart, and against a second bootstrap over existing state.
func TestSingleMemberRestarts(t *testing.T) {
	path := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := Config{Name: "a", Path: path, SnapshotEntries: 4, RetainedEntries: 2}
		r := startNode(t, cfg)
		_, err := r.Propose(t.Context(), []byte("x"))
		is.True(errors.Is(err, galenahead.ErrNotLeader)) // a blank replica leads nothing
		is.NoErr(r.Bootstrap(t.Context(), []galenahead.Member{r.self()}))
		time.Sleep(DefaultTick * 2)
		for i := range uint64(10) {
			res, err := r.Propose(t.Context(), []byte("x"))
			is.NoErr(err)
			is.Equal(binary.BigEndian.Uint64(res), i+1)
		}
		is.NoErr(r.ReadBarrier(t.Context()))
		r.stop()

		r = startNode(t, cfg)
		is.True(errors.Is(r.Bootstrap(t.Context(), []galenahead.Member{r.self()}), galenahead.ErrConflict))
		time.Sleep(DefaultMaxElectionTimeout + DefaultTick)
		is.NoErr(r.ReadBarrier(t.Context()))
		is.Equal(r.machine.n, uint64(10))
		r.stop()
		is.Equal(r.HoldsLease(), false)
	})
}
