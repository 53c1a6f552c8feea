package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// admissionFixture is a service with one instance of 10 cores that is full of work.
func admissionFixture() *Scheduler {
	s := newFencedScheduler("a")
	s.instances["a"].Capacity = Resources{MilliCPU: 10000, MemoryMB: 1 << 20}
	s.SetPoolLimits(PoolLimits{MilliCPU: 10000})
	s.AddJob(t0, testJob("running", 10), 0, false)
	for _, a := range s.Plan(t0, t0) {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
	}
	return s
}

// Pattern: demand far above what the service can do. Guards against jobs that are accepted
// although what waits before them takes longer than their result is of use, and against
// jobs that are rejected although they could be done in time.
func TestJobsAreRejectedOnceTheyCannotBeOfUse(t *testing.T) {
	is := is.New(t)
	s := admissionFixture()
	// A job takes 1 s of 10 cores. Its objective is 1.6 + 0.6 s, so that it is of use if it
	// starts within 3 * 2.2 - 1 = 5.6 s: as long as no more than five wait.
	accepted, last := 0, time.Duration(0)
	for i := range 20 {
		j := testJob(fmt.Sprintf("j%02d", i), 10)
		retryAfter, ok := s.Admit(t0, j)
		if !ok {
			is.True(retryAfter >= minRetryAfter)
			is.True(retryAfter >= last) // first come, first back
			last = retryAfter
			continue
		}
		accepted++
		s.AddJob(t0, j, 0, false)
		s.Plan(t0, t0)
	}
	is.Equal(accepted, 6)
	is.True(last > 10*time.Second) // 13 jobs were told to come back before it
	is.True(last <= maxRetryAfter)

	// A smaller job comes before those that wait, and is done in time.
	_, ok := s.Admit(t0, testJob("small", 1))
	is.True(ok)
	// Work that lasts, or is due later, is always accepted.
	_, ok = s.Admit(t0, &Job{ID: "lasting", Queue: "q", Spec: Spec{Steps: []Step{{Count: 100, Need: Resources{MilliCPU: 10000}, LongRunning: true}}}})
	is.True(ok)
	_, ok = s.Admit(t0, &Job{ID: "due", Queue: "q", Spec: Spec{Repetitions: 3, Interval: time.Second, Steps: []Step{{Count: 100, Need: Resources{MilliCPU: 10000}, Estimate: time.Second}}}})
	is.True(ok)
}

// Guards against rejections at the start of a peak, while machines are on their way, and
// against counting on machines that the owner cannot start work on.
func TestAdmissionCountsOnMachinesThatCome(t *testing.T) {
	is := is.New(t)
	s := admissionFixture()
	for i := range 10 {
		s.AddJob(t0, testJob(fmt.Sprintf("j%02d", i), 10), 0, false)
	}
	s.Plan(t0, t0)
	_, ok := s.Admit(t0, testJob("next", 10))
	is.True(!ok)
	s.SetPoolLimits(PoolLimits{MilliCPU: 100000})
	_, ok = s.Admit(t0, testJob("next", 10))
	is.True(ok)
	s.SetPoolLimits(PoolLimits{MilliCPU: 100000, StartLimited: true})
	_, ok = s.Admit(t0, testJob("next", 10))
	is.True(!ok)
}

// Guards against a new owner that rejects all jobs before it knows its pools.
func TestAllJobsAreAcceptedBeforePoolsAreKnown(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler()
	for i := range 100 {
		j := testJob(fmt.Sprintf("j%02d", i), 10)
		_, ok := s.Admit(t0, j)
		is.True(ok)
		s.AddJob(t0, j, 0, false)
		s.Plan(t0, t0)
	}
}

// Guards against a measured rate that forgets what was started, or keeps it.
func TestStartRate(t *testing.T) {
	is := is.New(t)
	var r startRate
	now := t0
	for range 16 {
		r.add(now, 100)
		now = now.Add(rateBucket)
	}
	is.True(r.perSecond(now) >= 350 && r.perSecond(now) <= 400)
	is.Equal(r.perSecond(now.Add(rateBucket*rateBuckets)), int64(0))
}
