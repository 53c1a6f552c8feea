package galenaplace

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

var t0 = time.Unix(1_800_000_000, 0)

func up(name, pool, dc, rack string) Worker {
	return Worker{Name: galenahead.VMName(name), Pool: galenahead.PoolName(pool), DataCentre: galenahead.DataCentre(dc),
		Rack: galenahead.RackName(rack), Cores: 64, MemoryMB: 131072, Condition: Up}
}

func spec(id string, cores int, urgent bool) galenahead.JobSpec {
	return galenahead.JobSpec{ID: galenahead.JobID(id), Team: "t", Pool: "p", Service: "s", Cores: cores, MemoryMB: 1024, Urgent: urgent}
}

func newIndex(workers ...Worker) *Index {
	x := &Index{}
	x.SetQuota("t", Quota{Cores: 1 << 20, MemoryMB: 1 << 30})
	x.SetPool("spare", true)
	for _, w := range workers {
		x.SetWorker(w)
	}
	return x
}

func place(t *testing.T, x *Index, s galenahead.JobSpec) galenahead.Placement {
	t.Helper()
	is := is.New(t)
	p, err := x.Place(s, t0)
	is.NoErr(err)
	is.NoErr(x.Commit(s, p, t0))
	return p
}

// Guards against a VM set aside, or a spare VM, that is used while the pool
// itself has room.
func TestOrderOfPools(t *testing.T) {
	is := is.New(t)
	reserved := up("c", "p", "d", "r")
	reserved.Reserved = true
	x := newIndex(up("a", "p", "d", "r"), up("b", "spare", "d", "q"), reserved, up("x", "other", "d", "r"))
	is.Equal(place(t, x, spec("1", 40, false)).Reason, ReasonHeadroom)
	is.Equal(place(t, x, spec("2", 40, false)).Reason, ReasonSpare)
	is.Equal(place(t, x, spec("3", 40, false)).Reason, ReasonReserved)
	_, err := x.Place(spec("4", 40, false), t0)
	is.True(errors.Is(err, galenahead.ErrNoWorker))
	x.SetWorker(up("c", "p", "d", "r").WithCondition(Parked))
	_, err = x.Place(spec("5", 20, false), t0)
	is.NoErr(err)
	is.Equal(x.RemoveWorker("a"), []galenahead.JobID{"1"})
	x.SetWorker(up("b", "spare", "d", "q").WithCondition(Draining))
	_, err = x.Place(spec("6", 20, true), t0)
	is.True(errors.Is(err, galenahead.ErrNoWorker))
}

// Guards against a service that loses more than its part with one rack or data
// centre of an empty pool, and against a pool with one rack that cannot fill.
func TestSpreadOfOneService(t *testing.T) {
	is := is.New(t)
	x := newIndex()
	for i := range 24 {
		x.SetWorker(up(fmt.Sprintf("w%02d", i), "p", fmt.Sprintf("d%d", i%3), fmt.Sprintf("r%d", i%12)))
	}
	for i := range 120 {
		place(t, x, spec(fmt.Sprint(i), 4, false))
	}
	for _, n := range x.services["s"].counts {
		is.True(n == 10 || n == 40) // an equal part in each rack and data centre
	}
	x = newIndex(up("a", "p", "d", "r"), up("b", "spare", "e", "q"))
	for i := range 16 {
		is.Equal(place(t, x, spec(fmt.Sprint(i), 4, false)).Reason, ReasonHeadroom)
	}
	// With a second rack in the pool, half of the jobs at most share a rack as
	// long as the spare pool has room.
	x = newIndex(up("a", "p", "d", "r"), up("c", "p", "e", "r2"), up("b", "spare", "f", "q"))
	is.NoErr(x.Start(spec("full", 64, true), "c", t0))
	for i := range 3 {
		place(t, x, spec(fmt.Sprint(i), 4, false))
	}
	is.True(x.services["s"].counts[x.workers["a"].rack] <= 2)
	is.True(x.services["s"].counts[x.workers["b"].rack] >= 1)
}

// Guards against urgent work that waits, or that ends jobs where slowing them
// down is enough.
func TestUrgentYield(t *testing.T) {
	is := is.New(t)
	x := newIndex(up("a", "p", "d", "r"))
	place(t, x, spec("d1", 30, false))
	place(t, x, spec("d2", 30, false))
	p := place(t, x, spec("u1", 20, true))
	is.Equal(p.Reason, ReasonYield)
	is.Equal(p.Throttle, []galenahead.JobID{"d1"})
	is.Equal(len(p.Preempt), 0)
	is.Equal(x.Unthrottle("d1", t0), false)
	big := spec("u2", 10, true)
	big.MemoryMB = 129_100 // leaves too little memory for d1 or d2
	p = place(t, x, big)
	is.Equal(len(p.Preempt), 2)
	_, err := x.Place(spec("u3", 40, true), t0)
	is.True(errors.Is(err, galenahead.ErrNoWorker)) // urgent jobs do not give way
	x.End("u2", t0)
	is.True(!x.Unthrottle("d1", t0)) // it has left
}

// Guards against room that is given away twice because usage reports lag, and
// against room that is lost when jobs end before the next report.
func TestReportsLag(t *testing.T) {
	is := is.New(t)
	is.NoErr(lagHistory(&Index{}))
	is.True(lagHistory(&Index{mutation: mutateRecent}) != nil) // the check catches an index without the rule
}

func lagHistory(x *Index) error {
	x.SetQuota("t", Quota{Cores: 1000, MemoryMB: 1 << 30})
	x.SetWorker(up("a", "p", "d", "r"))
	// A process outside the jobs uses 40 processors.
	x.Report("a", Usage{MeasuredAt: t0, CoresMilli: 40_000})
	for i := range 2 {
		s := spec(fmt.Sprint(i), 12, false)
		if p, err := x.Place(s, t0.Add(time.Minute)); err != nil || x.Commit(s, p, t0.Add(time.Minute)) != nil {
			return fmt.Errorf("job %d has room: %w", i, err)
		}
	}
	x.Report("a", Usage{MeasuredAt: t0.Add(59 * time.Second), CoresMilli: 40_000}) // measured before the jobs started
	if p, err := x.Place(spec("2", 12, false), t0.Add(time.Minute)); err == nil {
		return fmt.Errorf("job 2 has no room but got %v", p)
	}
	x.Report("a", Usage{MeasuredAt: t0.Add(90 * time.Second), CoresMilli: 64_000})
	x.End("0", t0.Add(91*time.Second))
	if _, err := x.Place(spec("2", 8, false), t0.Add(92*time.Second)); err != nil {
		return fmt.Errorf("job 0 left but its room is still taken: %w", err)
	}
	return nil
}

// Guards against a job that is sent again and again to a worker on which it
// failed.
func TestAvoidedWorkers(t *testing.T) {
	is := is.New(t)
	x := newIndex(up("a", "p", "d", "r"), up("b", "p", "d", "r"), up("c", "spare", "d", "q"))
	s := spec("1", 8, false)
	var tried []galenahead.VMName
	for range 3 {
		p := place(t, x, s)
		tried = append(tried, p.Worker)
		x.End("1", t0)
		x.Avoid("1", tried...)
	}
	is.Equal(tried, []galenahead.VMName{"a", "b", "c"})
	is.Equal(place(t, x, s).Worker, galenahead.VMName("a")) // no other is left
	x.End("1", t0)
	x.Avoid("1")
	is.Equal(len(x.avoided), 0)
}

// Guards against declared sizes that are trusted forever.
func TestLearnedSizes(t *testing.T) {
	is := is.New(t)
	x := newIndex(up("a", "p", "d", "r"))
	declared := spec("0", 40, false)
	is.NoErr(x.Start(declared, "a", t0))
	for i := range 300 {
		x.Report("a", Usage{MeasuredAt: t0.Add(time.Duration(i+2) * time.Second), CoresMilli: 10_000, MemoryMB: 2048})
	}
	cores, memory := x.Learned("s")
	is.True(cores > 0.249 && cores < 0.251)
	is.True(memory > 1.99 && memory < 2.01)
	place(t, x, spec("1", 100, false)) // declared larger than the worker, learned to fit
}
