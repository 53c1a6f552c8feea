package galenaplace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
)

// policy is a placement algorithm.
type policy interface {
	place(s galenahead.JobSpec) (galenahead.Placement, error)
}

// policySimulation runs jobs under a policy. The true size of a job differs from its
// declared size by a factor of the service and by 20% noise.
type policySimulation struct {
	*benchFleet
	now         time.Time
	workerIndex map[galenahead.VMName]int
	running     map[galenahead.JobID]*simJob
	// declared is the total declared size of the jobs on each worker, actual their
	// true use.
	declared       []size
	actual         []size
	jobsOn         []map[galenahead.JobID]*simJob
	pendingReports []pendingReport
	// policyRNG makes the random choices that depend on the policy, so that all
	// policies get the same arrivals.
	policyRNG      *rand.Rand
	checkpoints    int
	throttles      int
	urgentRejected int
	urgent         int
}

type simJob struct {
	galenahead.JobSpec
	actual size
	worker int
}

func newPolicySimulation(n int) *policySimulation {
	sim := &policySimulation{benchFleet: newBenchFleet(n), now: t0, workerIndex: map[galenahead.VMName]int{}, running: map[galenahead.JobID]*simJob{},
		declared: make([]size, n), actual: make([]size, n), jobsOn: make([]map[galenahead.JobID]*simJob, n), policyRNG: rand.New(rand.NewPCG(2, 2))}
	for i, spec := range sim.workers {
		sim.workerIndex[spec.Name] = i
		sim.jobsOn[i] = map[galenahead.JobID]*simJob{}
	}
	return sim
}

// trueSizeFactor returns the true size of a service's jobs relative to the declared
// size: 0.4 to 1.3.
func trueSizeFactor(s galenahead.ServiceName) float64 {
	h := uint64(0)
	for _, c := range s {
		h = h*131 + uint64(c)
	}
	return 0.4 + 0.9*rand.New(rand.NewPCG(h, 7)).Float64()
}

func (sim *policySimulation) placeRandomJob(p policy) bool {
	s := sim.randomJob(sim.rng.IntN(5) == 0)
	noise := trueSizeFactor(s.Service) * (0.8 + 0.4*sim.rng.Float64())
	d := declaredSize(s)
	j := &simJob{JobSpec: s, actual: size{int64(float64(d.milliCPU) * noise), int64(float64(d.memoryMB) * noise), 0}}
	if s.Urgent {
		sim.urgent++
	}
	placement, err := p.place(s)
	if err != nil {
		if s.Urgent {
			sim.urgentRejected++
		}
		return false
	}
	for _, id := range placement.Preempt {
		sim.endJob(id)
		sim.checkpoints++
	}
	for _, id := range placement.Throttle {
		sim.throttle(id)
	}
	j.worker = sim.workerIndex[placement.Worker]
	_ = sim.index.Commit(s, placement, sim.now)
	sim.running[s.ID] = j
	sim.jobsOn[j.worker][s.ID] = j
	sim.jobs = append(sim.jobs, s.ID)
	sim.declared[j.worker] = sim.declared[j.worker].plus(d)
	sim.actual[j.worker] = sim.actual[j.worker].plus(j.actual)
	return true
}

func (sim *policySimulation) endJob(id galenahead.JobID) {
	j := sim.running[id]
	if j == nil {
		return
	}
	sim.index.End(id, sim.now)
	delete(sim.running, id)
	delete(sim.jobsOn[j.worker], id)
	sim.declared[j.worker] = sim.declared[j.worker].minus(declaredSize(j.JobSpec))
	sim.actual[j.worker] = sim.actual[j.worker].minus(j.actual)
}

func (sim *policySimulation) throttle(id galenahead.JobID) {
	sim.throttles++
	j := sim.running[id]
	sim.actual[j.worker] = sim.actual[j.worker].minus(j.actual)
	j.actual = throttledCharge(j.actual)
	sim.actual[j.worker] = sim.actual[j.worker].plus(j.actual)
}

// report measures one worker and delivers the oldest pending measurement.
func (sim *policySimulation) report(i int) {
	u := Usage{sim.now, sim.actual[i].milliCPU, sim.actual[i].memoryMB}
	sim.pendingReports = append(sim.pendingReports, pendingReport{sim.workers[i].Name, u})
	if len(sim.pendingReports) > len(sim.workers) {
		sim.index.Report(sim.pendingReports[0].worker, sim.pendingReports[0].usage)
		sim.pendingReports = sim.pendingReports[1:]
	}
}

// runSteadyLoad starts and ends jobs, at about 5 jobs per worker, with usage reports.
func (sim *policySimulation) runSteadyLoad(p policy, rounds int) {
	for r := range rounds {
		for i := range sim.workers {
			sim.now = sim.now.Add(2 * time.Millisecond)
			sim.report(i)
			if i%4 == 0 && sim.placeRandomJob(p) && r > rounds/3 {
				sim.endJob(sim.jobs[sim.policyRNG.IntN(len(sim.jobs))])
			}
		}
	}
}

// offerJobs offers jobs until the fleet is full.
func (sim *policySimulation) offerJobs(p policy, offers int) {
	for i := range offers {
		sim.now = sim.now.Add(2 * time.Millisecond)
		sim.report(i % len(sim.workers))
		sim.placeRandomJob(p)
	}
}

// spread returns the mean over services of the largest share of jobs in one
// rack and in one data centre.
func (sim *policySimulation) spread() (rack, dc float64) {
	type serviceDomain struct {
		service galenahead.ServiceName
		domain  *failureDomain
	}
	counts, total := map[serviceDomain]int{}, map[galenahead.ServiceName]int{}
	for _, j := range sim.running {
		indexWorker := sim.index.workers[sim.workers[j.worker].Name]
		counts[serviceDomain{j.Service, indexWorker.rack}]++
		counts[serviceDomain{j.Service, indexWorker.dc}]++
		total[j.Service]++
	}
	racks, dcs := map[galenahead.ServiceName]int{}, map[galenahead.ServiceName]int{}
	for p, n := range counts {
		if sim.index.dcs[galenahead.DataCentre(p.domain.name)] == p.domain {
			dcs[p.service] = max(dcs[p.service], n)
			continue
		}
		racks[p.service] = max(racks[p.service], n)
	}
	for s, n := range total {
		rack += float64(racks[s]) / float64(n) / float64(len(total))
		dc += float64(dcs[s]) / float64(n) / float64(len(total))
	}
	return rack, dc
}

// indexPolicy places jobs with the Index.
type indexPolicy struct{ sim *policySimulation }

func (p indexPolicy) place(s galenahead.JobSpec) (galenahead.Placement, error) {
	return p.sim.index.Place(s, p.sim.now)
}

// fitPolicy is best fit or random fit by declared sizes, in the job's pool and then
// in the spare pool. For urgent jobs it checkpoints deferrable jobs.
type fitPolicy struct {
	sim    *policySimulation
	random bool
}

func (p fitPolicy) place(s galenahead.JobSpec) (galenahead.Placement, error) {
	need := declaredSize(s)
	for _, preempt := range []bool{false, s.Urgent} {
		for _, pool := range []galenahead.PoolName{s.Pool, "p0"} {
			if i := p.chooseWorker(pool, need, preempt); i >= 0 {
				return galenahead.Placement{Worker: p.sim.workers[i].Name, Preempt: p.preempted(i, need)}, nil
			}
		}
	}
	return galenahead.Placement{}, galenahead.ErrNoWorker
}

func (p fitPolicy) free(i int, preempt bool) size {
	w := p.sim.index.workers[p.sim.workers[i].Name]
	free := w.size.minus(p.sim.declared[i])
	if preempt {
		for _, j := range p.sim.jobsOn[i] {
			if !j.Urgent {
				free = free.plus(declaredSize(j.JobSpec))
			}
		}
	}
	return free
}

func (p fitPolicy) chooseWorker(pool galenahead.PoolName, need size, preempt bool) int {
	best, score, n := -1, 0.0, 0
	for i, spec := range p.sim.workers {
		if spec.Pool != pool {
			continue
		}
		free := p.free(i, preempt)
		if !free.covers(need) {
			continue
		}
		n++
		left := freeShare(p.sim.index.workers[spec.Name], free.minus(need))
		if p.random && p.sim.policyRNG.IntN(n) == 0 || !p.random && (best < 0 || left < score) {
			best, score = i, left
		}
	}
	return best
}

func (p fitPolicy) preempted(i int, need size) []galenahead.JobID {
	var ids []galenahead.JobID
	free := p.free(i, false)
	for _, indexJob := range p.sim.index.workers[p.sim.workers[i].Name].jobs {
		if j := p.sim.running[indexJob.id]; !j.Urgent && !free.covers(need) {
			free = free.plus(declaredSize(j.JobSpec))
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// BenchmarkPolicies compares the Index with best fit and random fit on the same
// arrivals, by the number of running jobs, overloaded workers, spread, checkpoints
// and throttled jobs.
func BenchmarkPolicies(b *testing.B) {
	const workers, rounds, offers = 500, 60, 4000
	for _, name := range []string{"index", "best-fit", "random-fit"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				sim := newPolicySimulation(workers)
				var p policy = indexPolicy{sim}
				if name != "index" {
					p = fitPolicy{sim, name == "random-fit"}
				}
				sim.runSteadyLoad(p, rounds)
				sim.reportSpread(b)
				sim.offerJobs(p, offers)
				sim.reportPacking(b)
			}
		})
	}
}

// reportSpread reports the mean over services of the largest share of jobs in one
// rack and in one data centre, at a moderate load.
func (sim *policySimulation) reportSpread(b *testing.B) {
	rack, dc := sim.spread()
	b.ReportMetric(100*rack, "%rack")
	b.ReportMetric(100*dc, "%dc")
}

// reportPacking reports the jobs and the use of the full fleet.
func (sim *policySimulation) reportPacking(b *testing.B) {
	overloaded, used, total := 0, 0.0, 0.0
	for i := range sim.workers {
		s := sim.index.workers[sim.workers[i].Name].size
		if !s.covers(sim.actual[i]) {
			overloaded++
		}
		used += float64(sim.actual[i].milliCPU)
		total += float64(s.milliCPU)
	}
	b.ReportMetric(float64(len(sim.running)), "jobs")
	b.ReportMetric(100*float64(overloaded)/float64(len(sim.workers)), "%overloaded")
	b.ReportMetric(100*used/total, "%cores")
	b.ReportMetric(float64(sim.checkpoints), "checkpoints")
	b.ReportMetric(float64(sim.throttles), "throttles")
	b.ReportMetric(float64(sim.urgent), "urgent")
	b.ReportMetric(float64(sim.urgentRejected), "urgent-refused")
	b.ReportMetric(0, "ns/op")
}
