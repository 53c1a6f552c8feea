package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
)

// BenchmarkPlan measures one call of Plan for a service with nearly full instances
// and waiting jobs, by the number of instances and of waiting jobs.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ instances, jobs int }{{12, 40}, {85, 40}, {85, 400}, {640, 400}} {
		b.Run(fmt.Sprintf("instances=%d/jobs=%d", size.instances, size.jobs), func(b *testing.B) {
			var ids []string
			for i := range size.instances {
				ids = append(ids, fmt.Sprintf("i%d", i))
			}
			s := newFencedScheduler(ids...)
			for i := range size.instances {
				s.AddJob(t0, testJob(fmt.Sprintf("r%d", i), 4), 0, false)
			}
			for _, a := range s.Plan(t0, t0) {
				s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
			}
			for i := range size.jobs {
				s.AddJob(t0, testJob(fmt.Sprintf("w%d", i), 6), 0, false)
			}
			b.ResetTimer()
			for i := range b.N {
				now := t0.Add(time.Duration(i) * time.Microsecond)
				s.Plan(now, now)
			}
		})
	}
}

// BenchmarkHandlePoll measures the handling of one poll response, by the number of runs.
func BenchmarkHandlePoll(b *testing.B) {
	for _, runs := range []int{4, 40} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			s := newFencedScheduler("a")
			s.instances["a"].Capacity = Resources{MilliCPU: 1 << 30, MemoryMB: 1 << 30}
			s.AddJob(t0, testJob("j", runs), 0, false)
			resp := PollResponse{Clock: 1000, Born: 1, Sent: t0}
			for _, o := range s.Plan(t0, t0) {
				s.HandleOutcome(t0, o, OutcomeDone, 1000, t0)
				resp.Runs = append(resp.Runs, Run{Item: o.Item, Number: o.Run, Percent: 50})
			}
			for b.Loop() {
				o, _ := s.NextPoll(t0, galenahead.InstanceID("a"))
				resp.Fence = o.Fence
				s.HandlePoll(t0, "a", resp)
			}
		})
	}
}
