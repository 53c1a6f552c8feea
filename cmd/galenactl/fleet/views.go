package fleet

import (
	"fmt"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenajob"
)

var ownerView = viewSpec{
	part:   galenafleet.PartOwner,
	short:  "Show the owner of the fleet and the members of the replicated log",
	header: []string{"REPLICA", "ADDRESS", "VOTER", "OWNER", "EPOCH", "TERM", "IN OFFICE", "CONFIG"},
	rows: func(v galenafleet.View) [][]any {
		o := &v.Owner
		return cli.Rows(o.Members, func(m galenahead.Member) []any {
			if m.Name != o.Name {
				return []any{m.Name, m.Address, m.Voter, false, "", "", "", ""}
			}
			return []any{m.Name, m.Address, m.Voter, true, o.Epoch, o.Term, formatMillis(o.SessionMS), o.ConfigVersion}
		})
	},
}

var queuesView = viewSpec{
	part:   galenafleet.PartQueues,
	short:  "List the queues with their jobs",
	header: []string{"QUEUE", "SERVICE", "PRIORITY", "JOBS", "WAITING", "HOPELESS", "OLDEST"},
	rows: func(v galenafleet.View) [][]any {
		return cli.Rows(v.Queues, func(q galenajob.QueueView) []any {
			return []any{q.Queue, q.Service, q.Priority, q.Jobs, q.Waiting, q.Hopeless, formatMillis(q.OldestMS)}
		})
	},
}

var jobsView = viewSpec{
	part:   galenafleet.PartJobs,
	short:  "List the jobs that are not final, oldest first",
	header: []string{"JOB", "QUEUE", "SERVICE", "STATE", "CLASS", "AGE", "OBJECTIVE", "DONE", "PLACED", "ITEMS"},
	rows: func(v galenafleet.View) [][]any {
		return cli.Rows(v.Jobs, func(j galenajob.JobView) []any {
			done, placed, items := 0, 0, 0
			for _, s := range j.Steps {
				done, placed, items = done+s.Done, placed+s.Placed, items+s.Items
			}
			return []any{j.ID, j.Queue, j.Service, j.State, j.Class, formatMillis(j.AgeMS), formatMillis(j.ObjectiveMS), done, placed, items}
		})
	},
}

// jobView shows a row for the job, one for each step and one for each run.
var jobView = viewSpec{
	part:   galenafleet.PartJob,
	short:  "Show a job with its steps and runs",
	header: []string{"WHAT", "STATE", "DONE", "PLACED", "ITEMS", "FAILED RUNS", "RUN", "INSTANCE", "PERCENT"},
	rows: func(v galenafleet.View) [][]any {
		var out [][]any
		for i := range v.Jobs {
			j := &v.Jobs[i]
			out = append(out, []any{j.ID, j.State, "", "", "", "", "", "", ""})
			for _, s := range j.Steps {
				out = append(out, []any{stepName(s.Occurrence, s.Step), stepState(s), s.Done, s.Placed, s.Items, s.FailedRuns, "", "", ""})
			}
			for _, r := range j.Runs {
				name := fmt.Sprintf("%s item %d", stepName(r.Item.Occurrence, r.Item.Step), r.Item.Index)
				out = append(out, []any{name, r.Phase, "", "", "", r.FailedRuns, r.Run, r.Instance, r.Percent})
			}
		}
		return out
	},
}

func stepName(occurrence, step int) string {
	if occurrence == 0 {
		return fmt.Sprintf("step %d", step)
	}
	return fmt.Sprintf("occurrence %d step %d", occurrence, step)
}

func stepState(s galenajob.StepView) string {
	switch {
	case s.Done == s.Items:
		return "done"
	case s.Open:
		return "open"
	}
	return "after others"
}

var instancesView = viewSpec{
	part:   galenafleet.PartInstances,
	short:  "List the instances with the resources in use",
	header: []string{"INSTANCE", "SERVICE", "ZONE", "ADDRESS", "STATE", "ITEMS", "CPU", "OF", "MEMORY MB", "OF", "ANSWERED"},
	rows: func(v galenafleet.View) [][]any {
		return cli.Rows(v.Instances, func(n galenajob.InstanceView) []any {
			return []any{n.ID, n.Service, n.Zone, n.Address, n.State, n.Items, n.Used.MilliCPU, n.Capacity.MilliCPU,
				n.Used.MemoryMB, n.Capacity.MemoryMB, formatMillis(n.AnsweredMS) + " ago"}
		})
	},
}

var machinesView = viewSpec{
	part:   galenafleet.PartMachines,
	short:  "List the machines with their pools",
	header: []string{"MACHINE", "POOL", "STATE", "INSTANCE", "PLAN", "READ"},
	rows: func(v galenafleet.View) [][]any {
		return cli.Rows(v.Machines, func(m galenafleet.MachineView) []any {
			return []any{m.Name, m.Pool, m.State, m.Instance, m.Plan, formatMillis(m.ListAgeMS) + " ago"}
		})
	},
}

var wavesView = viewSpec{
	part:   galenafleet.PartWaves,
	short:  "List the maintenance waves",
	header: []string{"WAVE", "MACHINES", "DOWN", "MAX DOWN", "DONE", "COMPLETED", "LEFT"},
	rows: func(v galenafleet.View) [][]any {
		return cli.Rows(v.Waves, func(w galenafleet.WaveView) []any {
			return []any{w.ID, w.Machines, w.Down, w.MaxDown, w.Done, w.Completed, formatMillis(w.LeftMS)}
		})
	},
}

var accountsView = viewSpec{
	part:   galenafleet.PartAccounts,
	short:  "List the client accounts with what they have running and waiting",
	header: []string{"ACCOUNT", "WEIGHT", "RUNNING", "LIMIT", "SHARE", "FAIR", "WAITING", "OLDEST", "REJECTED", "NOTE"},
	rows: func(v galenafleet.View) [][]any {
		return cli.Rows(v.Accounts, func(a galenafleet.AccountView) []any {
			note := ""
			if a.Retired {
				note = "not in the configuration"
			}
			return []any{
				a.Name, a.Weight, formatResources(a.Running, "0"), formatResources(a.Limit, "none"), formatMille(a.ShareMille), formatMille(a.FairMille),
				a.Waiting, formatMillis(a.OldestWaitMS), a.Rejected, note,
			}
		})
	},
}

// formatResources formats an amount as cores, memory and, if there are any, GPUs. zero stands for
// none of a resource.
func formatResources(r galenahead.Resources, zero string) string {
	amount := func(n int64, text string) string {
		if n == 0 {
			return zero
		}
		return text
	}
	out := amount(r.MilliCPU, fmt.Sprintf("%.1f", float64(r.MilliCPU)/1000)) + " cores, " + amount(r.MemoryMB, fmt.Sprint(r.MemoryMB)) + " MB"
	if r.GPU > 0 {
		out += fmt.Sprintf(", %d GPU", r.GPU)
	}
	return out
}

func formatMille(n int) string { return fmt.Sprintf("%.1f%%", float64(n)/10) }
