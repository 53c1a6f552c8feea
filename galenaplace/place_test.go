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

func newWorker(name, pool, dc, rack string) Worker {
	return Worker{Name: galenahead.VMName(name), Pool: galenahead.PoolName(pool), DataCentre: galenahead.DataCentre(dc),
		Rack: galenahead.RackName(rack), Cores: 64, MemoryMB: 131072, Condition: Up}
}

func newJobSpec(id string, cores int, urgent bool) galenahead.JobSpec {
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

// Guards against the use of a spare or reserved VM while the pool itself has room.
func TestPlacementPrefersOwnPoolThenSpareThenReserved(t *testing.T) {
	is := is.New(t)
	reserved := newWorker("c", "p", "d", "r")
	reserved.Reserved = true
	x := newIndex(newWorker("a", "p", "d", "r"), newWorker("b", "spare", "d", "q"), reserved, newWorker("x", "other", "d", "r"))
	is.Equal(place(t, x, newJobSpec("1", 40, false)).Reason, ReasonHeadroom)
	is.Equal(place(t, x, newJobSpec("2", 40, false)).Reason, ReasonSpare)
	is.Equal(place(t, x, newJobSpec("3", 40, false)).Reason, ReasonReserved)
	_, err := x.Place(newJobSpec("4", 40, false), t0)
	is.True(errors.Is(err, galenahead.ErrNoWorker))
	x.SetWorker(newWorker("c", "p", "d", "r").WithCondition(Parked))
	_, err = x.Place(newJobSpec("5", 20, false), t0)
	is.NoErr(err)
	is.Equal(x.RemoveWorker("a"), []galenahead.JobID{"1"})
	x.SetWorker(newWorker("b", "spare", "d", "q").WithCondition(Draining))
	_, err = x.Place(newJobSpec("6", 20, true), t0)
	is.True(errors.Is(err, galenahead.ErrNoWorker))
}

// Guards against an uneven spread of a service over the racks and data centres of
// an empty pool, and against a pool with one rack that does not fill up.
func TestSpreadOfOneService(t *testing.T) {
	is := is.New(t)
	x := newIndex()
	for i := range 24 {
		x.SetWorker(newWorker(fmt.Sprintf("w%02d", i), "p", fmt.Sprintf("d%d", i%3), fmt.Sprintf("r%d", i%12)))
	}
	for i := range 120 {
		place(t, x, newJobSpec(fmt.Sprint(i), 4, false))
	}
	for _, n := range x.services["s"].jobCounts {
		is.True(n == 10 || n == 40) // an equal share in each rack and data centre
	}
	x = newIndex(newWorker("a", "p", "d", "r"), newWorker("b", "spare", "e", "q"))
	for i := range 16 {
		is.Equal(place(t, x, newJobSpec(fmt.Sprint(i), 4, false)).Reason, ReasonHeadroom)
	}
	// With a second rack in the pool, at most half of the jobs are in one rack while
	// the spare pool has room.
	x = newIndex(newWorker("a", "p", "d", "r"), newWorker("c", "p", "e", "r2"), newWorker("b", "spare", "f", "q"))
	is.NoErr(x.Start(newJobSpec("full", 64, true), "c", t0))
	for i := range 3 {
		place(t, x, newJobSpec(fmt.Sprint(i), 4, false))
	}
	is.True(x.services["s"].jobCounts[x.workers["a"].rack] <= 2)
	is.True(x.services["s"].jobCounts[x.workers["b"].rack] >= 1)
}

// Guards against urgent jobs that wait although preemption would make room, and
// against checkpoints where throttling is enough.
func TestUrgentJobPreemptsDeferrableJobs(t *testing.T) {
	is := is.New(t)
	x := newIndex(newWorker("a", "p", "d", "r"))
	place(t, x, newJobSpec("d1", 30, false))
	place(t, x, newJobSpec("d2", 30, false))
	p := place(t, x, newJobSpec("u1", 20, true))
	is.Equal(p.Reason, ReasonPreemption)
	is.Equal(p.Throttle, []galenahead.JobID{"d1"})
	is.Equal(len(p.Preempt), 0)
	is.Equal(x.Unthrottle("d1", t0), false)
	big := newJobSpec("u2", 10, true)
	big.MemoryMB = 129_100 // leaves too little memory for d1 or d2
	p = place(t, x, big)
	is.Equal(len(p.Preempt), 2)
	_, err := x.Place(newJobSpec("u3", 40, true), t0)
	is.True(errors.Is(err, galenahead.ErrNoWorker)) // urgent jobs are not preempted
	x.End("u2", t0)
	is.True(!x.Unthrottle("d1", t0)) // it was checkpointed
}

// Guards against free capacity that is used twice because usage reports are delayed,
// and against capacity that stays unused after jobs end until the next report.
func TestDelayedReports(t *testing.T) {
	is := is.New(t)
	is.NoErr(checkDelayedReports(&Index{}))
	is.True(checkDelayedReports(&Index{injectedFault: faultIgnoreUnmeasured}) != nil) // the check detects the disabled rule
}

func checkDelayedReports(index *Index) error {
	index.SetQuota("t", Quota{Cores: 1000, MemoryMB: 1 << 30})
	index.SetWorker(newWorker("a", "p", "d", "r"))
	// A process outside the jobs uses 40 processors.
	index.Report("a", Usage{MeasuredAt: t0, MilliCPU: 40_000})
	for i := range 2 {
		s := newJobSpec(fmt.Sprint(i), 12, false)
		if p, err := index.Place(s, t0.Add(time.Minute)); err != nil || index.Commit(s, p, t0.Add(time.Minute)) != nil {
			return fmt.Errorf("job %d is not placed although there is room: %w", i, err)
		}
	}
	index.Report("a", Usage{MeasuredAt: t0.Add(59 * time.Second), MilliCPU: 40_000}) // measured before the jobs started
	if p, err := index.Place(newJobSpec("2", 12, false), t0.Add(time.Minute)); err == nil {
		return fmt.Errorf("job 2 is placed by %v although there is no room", p)
	}
	index.Report("a", Usage{MeasuredAt: t0.Add(90 * time.Second), MilliCPU: 64_000})
	index.End("0", t0.Add(91*time.Second))
	if _, err := index.Place(newJobSpec("2", 8, false), t0.Add(92*time.Second)); err != nil {
		return fmt.Errorf("job 0 ended but its capacity is not free: %w", err)
	}
	return nil
}

// Guards against placing a job repeatedly on a worker on which it failed.
func TestAvoidedWorkers(t *testing.T) {
	is := is.New(t)
	x := newIndex(newWorker("a", "p", "d", "r"), newWorker("b", "p", "d", "r"), newWorker("c", "spare", "d", "q"))
	s := newJobSpec("1", 8, false)
	var tried []galenahead.VMName
	for range 3 {
		p := place(t, x, s)
		tried = append(tried, p.Worker)
		x.End("1", t0)
		x.Avoid("1", tried...)
	}
	is.Equal(tried, []galenahead.VMName{"a", "b", "c"})
	is.Equal(place(t, x, s).Worker, galenahead.VMName("a")) // all workers are to be avoided
	x.End("1", t0)
	x.Avoid("1")
	is.Equal(len(x.avoided), 0)
}

// Guards against declared sizes that are not corrected by the measured usage.
func TestLearnedSizes(t *testing.T) {
	is := is.New(t)
	x := newIndex(newWorker("a", "p", "d", "r"))
	declared := newJobSpec("0", 40, false)
	is.NoErr(x.Start(declared, "a", t0))
	for i := range 300 {
		x.Report("a", Usage{MeasuredAt: t0.Add(time.Duration(i+2) * time.Second), MilliCPU: 10_000, MemoryMB: 2048})
	}
	cores, memory := x.LearnedRatios("s")
	is.True(cores > 0.249 && cores < 0.251)
	is.True(memory > 1.99 && memory < 2.01)
	place(t, x, newJobSpec("1", 100, false)) // its declared size exceeds the worker, its learned size fits
}
