package galenafleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// Part is a part of the fleet that operators can view.
type Part string

// Parts of the fleet.
const (
	PartOwner     Part = "owner"
	PartQueues    Part = "queues"
	PartJobs      Part = "jobs"
	PartJob       Part = "job"
	PartInstances Part = "instances"
	PartMachines  Part = "machines"
	PartWaves     Part = "waves"
	PartAccounts  Part = "accounts"
)

// ViewQuery requests a view of a part of the fleet from the owner.
type ViewQuery struct {
	Part Part `json:"part"`
	// Queue restricts PartJobs to the jobs of a queue; empty for all queues.
	Queue string `json:"queue,omitempty"`
	// Job is the job that PartJob shows.
	Job galenahead.JobID `json:"job,omitempty"`
	// Limit bounds the number of rows; zero means MaxViewRows.
	Limit int `json:"limit,omitempty"`
}

// MaxViewRows bounds the rows of a view. A row takes about 300 bytes; without a bound
// the view of a large fleet would delay heartbeats on the same connection.
const MaxViewRows = 2000

// View is the answer to a ViewQuery: the owner of the fleet and the requested part.
type View struct {
	Owner OwnerView `json:"owner"`
	// Total is the number of rows before Limit was applied.
	Total     int                      `json:"total"`
	Queues    []galenajob.QueueView    `json:"queues,omitempty"`
	Jobs      []galenajob.JobView      `json:"jobs,omitempty"`
	Instances []galenajob.InstanceView `json:"instances,omitempty"`
	Machines  []MachineView            `json:"machines,omitempty"`
	Waves     []WaveView               `json:"waves,omitempty"`
	Accounts  []AccountView            `json:"accounts,omitempty"`
}

// OwnerView is the view of the owner and the members of its log.
type OwnerView struct {
	Name  galenahead.ReplicaName `json:"name"`
	Epoch uint64                 `json:"epoch"`
	// SessionMS is how long the owner's session has lasted, in milliseconds.
	SessionMS int64 `json:"office_ms"`
	// ConfigVersion is zero before the first configuration.
	ConfigVersion uint64              `json:"config_version"`
	Term          uint64              `json:"term"`
	Members       []galenahead.Member `json:"members"`
}

// MachineView is a machine in the list that the owner read last.
type MachineView struct {
	Name     galenahead.VMName      `json:"name"`
	Pool     galenahead.ServiceName `json:"pool"`
	State    MachineState           `json:"state"`
	Instance galenahead.InstanceID  `json:"instance,omitempty"`
	// Plan is what the owner does with the machine: "move to" and the name of a pool,
	// "empty for upkeep" while it is evacuated for maintenance, or empty.
	Plan string `json:"plan,omitempty"`
	// ListAgeMS is the age of the list in milliseconds.
	ListAgeMS int64 `json:"read_ms"`
}

// WaveView is a maintenance wave with counts of its machines.
type WaveView struct {
	ID       int64 `json:"id"`
	Machines int   `json:"machines"`
	Down     int   `json:"down"`
	Done     int   `json:"done"`
	MaxDown  int   `json:"max_down"`
	// LeftMS is the time until the wave's deadline, negative if it has passed.
	LeftMS    int64 `json:"left_ms"`
	Completed bool  `json:"completed"`
}

// View returns a part of the fleet for operators. It fails with ErrInvalid for an
// unknown part and with ErrNotFound for an unknown job.
func (o *Owner) View(_ context.Context, q ViewQuery) (View, error) {
	sess, err := o.currentSession()
	if err != nil {
		return View{}, err
	}
	v := View{Owner: sess.viewOwner()}
	limit := MaxViewRows
	if q.Limit > 0 {
		limit = min(limit, q.Limit)
	}
	switch q.Part {
	case PartOwner:
	case PartQueues:
		v.Queues, v.Total = limitRows(sess.viewQueues(), limit)
	case PartJobs:
		v.Jobs, v.Total = limitRows(sess.viewJobs(q.Queue), limit)
	case PartJob:
		j, err := sess.viewJob(q.Job)
		if err != nil {
			return View{}, err
		}
		v.Jobs, v.Total = []galenajob.JobView{j}, 1
	case PartInstances:
		v.Instances, v.Total = limitRows(sess.viewInstances(), limit)
	case PartMachines:
		v.Machines, v.Total = limitRows(sess.viewMachines(), limit)
	case PartWaves:
		v.Waves, v.Total = limitRows(sess.viewWaves(), limit)
	case PartAccounts:
		v.Accounts, v.Total = limitRows(sess.viewAccounts(), limit)
	default:
		return View{}, eris.Wrapf(galenahead.ErrInvalid, "unknown part %q", q.Part)
	}
	return v, nil
}

// limitRows returns at most limit rows, and the number of all rows.
func limitRows[T any](rows []T, limit int) ([]T, int) {
	return rows[:min(limit, len(rows))], len(rows)
}

func (sess *ownerSession) viewOwner() OwnerView {
	st := sess.Log.Status()
	v := OwnerView{
		Name: sess.Name, Epoch: sess.epoch, SessionMS: sess.Timers.Now().Sub(sess.startedAt).Milliseconds(), Term: st.Term, Members: st.Members,
	}
	if c := sess.State.Config(); c != nil {
		v.ConfigVersion = c.Version
	}
	return v
}

func (sess *ownerSession) viewQueues() []galenajob.QueueView {
	c := sess.State.Config()
	if c == nil {
		return nil
	}
	out := make([]galenajob.QueueView, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		for _, sh := range sess.shardsOf(q) {
			sh.inspect(func(now time.Time, s *galenajob.Scheduler) { out[i] = s.ViewQueue(now, q.Name).WithJobsOf(out[i]) })
		}
	}
	return out
}

func (sess *ownerSession) viewJobs(queue string) []galenajob.JobView {
	var out []galenajob.JobView
	for _, sh := range sess.sortedShards() {
		sh.inspect(func(now time.Time, s *galenajob.Scheduler) { out = append(out, s.ViewJobs(now, queue)...) })
	}
	return out
}

func (sess *ownerSession) viewJob(id galenahead.JobID) (galenajob.JobView, error) {
	queue, service, state, ok := sess.State.JobState(id)
	if !ok {
		return galenajob.JobView{}, eris.Wrapf(galenahead.ErrNotFound, "job %s is not known", id)
	}
	v := galenajob.JobView{}
	active := false
	sess.shardFor(service).inspect(func(now time.Time, s *galenajob.Scheduler) { v, active = s.ViewJob(now, id) })
	if !active {
		v = galenajob.JobView{ID: id, Queue: queue, Service: service, State: state}
	}
	return v, nil
}

func (sess *ownerSession) viewInstances() []galenajob.InstanceView {
	var out []galenajob.InstanceView
	for _, sh := range sess.sortedShards() {
		sh.inspect(func(now time.Time, s *galenajob.Scheduler) { out = append(out, s.ViewInstances(now)...) })
	}
	return out
}

// sortedShards returns the shards sorted by the names of their services.
func (sess *ownerSession) sortedShards() []*shard {
	shards := sess.allShards()
	slices.SortFunc(shards, func(a, b *shard) int { return cmp.Compare(a.service, b.service) })
	return shards
}

func (sess *ownerSession) viewMachines() []MachineView {
	list := sess.lastMachines.Load()
	if list == nil {
		return nil
	}
	out := slices.Clone(list.machines)
	age := sess.Timers.Now().Sub(list.at).Milliseconds()
	for i := range out {
		out[i].ListAgeMS = age
	}
	return out
}

func (sess *ownerSession) viewWaves() []WaveView {
	var out []WaveView
	for _, w := range sess.State.Waves() {
		v := WaveView{
			ID: w.ID, Machines: len(w.Machines), MaxDown: w.MaxDown, Completed: w.Completed(),
			LeftMS: time.Until(w.Accepted.Add(w.Duration)).Milliseconds(),
		}
		for _, m := range w.Machines {
			switch w.Steps[m] {
			case StepDone:
				v.Done++
			case StepOrdered, StepStarted:
				v.Down++
			}
		}
		out = append(out, v)
	}
	return out
}

// machineSnapshot is the list of machines at a time, in the form of the view.
type machineSnapshot struct {
	at       time.Time
	machines []MachineView
}

// publishMachines stores the current list of machines for operators' views.
func (m *machineController) publishMachines() {
	list := &machineSnapshot{at: m.listedAt}
	for _, v := range m.machines {
		mv := MachineView{Name: v.Name, Pool: v.Pool, State: v.State, Instance: v.Instance}
		if move := m.pendingMoves[v.Name]; move != nil {
			mv.Plan = "move to " + string(move.pool)
		} else if _, ok := m.evacuating[v.Name]; ok {
			mv.Plan = "empty for upkeep"
		}
		list.machines = append(list.machines, mv)
	}
	slices.SortFunc(list.machines, func(a, b MachineView) int { return cmp.Compare(a.Name, b.Name) })
	m.ownerSession.lastMachines.Store(list)
}
