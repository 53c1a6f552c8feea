package fleet

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenawal"
)

// Size is the number of records in a prepared control state.
type Size struct {
	VMs, Pools, Teams, Services int
	// Jobs is the number of running jobs, at most one per VM.
	Jobs int
	// Changes is the number of additional changes by operators.
	Changes int
}

const (
	// dataCentreCount is the number of data centres in section 1.6 of the design page.
	dataCentreCount = 36
	vmsPerRack      = 4
	// seedTime is the time of all prepared commands, in Unix milliseconds.
	seedTime = 1_767_225_600_000
	// callersPerService is the number of callers with a configured share.
	callersPerService = 4
	// settingKeys is the number of settings that Size.Changes changes in rotation.
	settingKeys = 50
)

var weightKeys = []string{galenastate.SettingBufferCost, galenastate.SettingRolloutTime}

// Seed is a prepared control state: the state machine and the commands that led to it.
type Seed struct {
	Machine galenastate.StateMachine
	// records are the encoded commands in log order; the first one has index 1.
	records [][]byte
}

// NewSeed creates a state of the given size by applying the commands that operators
// and the control leader would have submitted.
func NewSeed(s Size) (*Seed, error) {
	d := &Seed{}
	steps := []struct {
		n      int
		change func(int) galenastate.Change
	}{
		// The first leader of a cluster sets the weights.
		{len(weightKeys), func(i int) galenastate.Change {
			return galenastate.Change{SettingSet: &galenastate.Setting{Key: weightKeys[i], Value: "1"}}
		}},
		{s.Pools, seedPool},
		{s.Teams, seedTeam},
		{s.VMs, func(i int) galenastate.Change { return seedVM(i, s.Pools) }},
		{s.Services, func(i int) galenastate.Change { return seedService(i, s.Pools) }},
		{s.Jobs, func(i int) galenastate.Change { return seedJob(i, s) }},
		{s.Changes, func(i int) galenastate.Change {
			return galenastate.Change{SettingSet: &galenastate.Setting{Key: fmt.Sprint("key-", i%settingKeys), Value: fmt.Sprint("value-", i)}}
		}},
	}
	for _, step := range steps {
		for i := range step.n {
			if err := d.applyOperatorChange(step.change(i)); err != nil {
				return nil, err
			}
		}
	}
	return d, d.placeJobs(s.Jobs)
}

// placeJobs places every job on the VM with the same number and starts it.
func (d *Seed) placeJobs(n int) error {
	for i := range n {
		v := d.Machine.View()
		vm, _ := v.VM(vmName(i))
		job, _ := v.Job(jobID(i))
		epoch := job.Epoch + 1
		err := d.applyCommand(galenastate.Command{TimeMS: seedTime, Change: galenastate.Change{JobPlaced: &galenastate.JobPlacement{
			Job: jobID(i), Epoch: epoch, Worker: vm.Name, WorkerEpoch: vm.Epoch,
		}}})
		if err != nil {
			return err
		}
		err = d.applyCommand(galenastate.Command{TimeMS: seedTime, Change: galenastate.Change{
			JobStarted: &galenastate.JobEvent{Job: jobID(i), Epoch: epoch},
		}})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Seed) applyOperatorChange(ch galenastate.Change) error {
	return d.applyCommand(galenastate.Command{
		RequestID: fmt.Sprintf("018f3a2b-7c4d-7e8f-9a0b-%012d", len(d.records)), BaseRevision: d.Machine.View().Revision(),
		Operator: "operator", TimeMS: seedTime, Change: ch,
	})
}

func (d *Seed) applyCommand(c galenastate.Command) error {
	record, err := c.Encode()
	if err != nil {
		return err
	}
	d.records = append(d.records, record)
	r, err := galenastate.DecodeResult(d.Machine.Apply(uint64(len(d.records)), record))
	if err != nil {
		return err
	}
	return eris.Wrapf(r.Err(), "prepare command %d", len(d.records))
}

// writeDataDir writes the state to the data directory of one member. The newest
// logTail commands are in the log, all earlier ones in the snapshot.
func (d *Seed) writeDataDir(path string, self galenahead.Member, members []galenahead.Member, logTail int) error {
	dir, err := galenawal.OpenDir(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	wal, _, err := galenawal.Open(dir, func() uint64 { return self.Incarnation })
	if err != nil {
		return err
	}
	defer func() { _ = wal.Close() }()
	snapshotIndex := len(d.records) - logTail
	data, err := d.snapshotAt(snapshotIndex)
	if err != nil {
		return err
	}
	s := galenawal.Snapshot{Index: uint64(snapshotIndex), Term: 1, Members: members, Data: data}
	if err := wal.SaveSnapshot(s); err != nil {
		return err
	}
	hardState := galenawal.HardState{Term: 1}
	if err := wal.Compact(hardState, nil); err != nil {
		return err
	}
	var entries []galenawal.Entry
	for i, record := range d.records[snapshotIndex:] {
		entries = append(entries, galenawal.Entry{Index: uint64(snapshotIndex + i + 1), Term: 1, Data: record})
	}
	return wal.Append(hardState, entries)
}

// snapshotAt returns a snapshot of the state after the first n commands.
func (d *Seed) snapshotAt(n int) ([]byte, error) {
	if n == len(d.records) {
		return d.Machine.Snapshot()
	}
	m := &galenastate.StateMachine{}
	for i, record := range d.records[:n] {
		m.Apply(uint64(i+1), record)
	}
	return m.Snapshot()
}

func vmName(i int) galenahead.VMName { return galenahead.VMName(fmt.Sprintf("worker-%05d", i)) }

func poolName(i int) galenahead.PoolName { return galenahead.PoolName(fmt.Sprintf("pool-%02d", i)) }

func teamName(i int) galenahead.TeamName { return galenahead.TeamName(fmt.Sprintf("team-%03d", i)) }

func jobID(i int) galenahead.JobID { return galenahead.JobID(fmt.Sprintf("job-%06d", i)) }

func serviceName(i int) galenahead.ServiceName {
	return galenahead.ServiceName(fmt.Sprintf("service-%02d", i))
}

func seedPool(i int) galenastate.Change {
	return galenastate.Change{PoolSet: &galenastate.Pool{Name: poolName(i), Spare: i == 0}}
}

func seedTeam(i int) galenastate.Change {
	return galenastate.Change{TeamSet: &galenastate.TeamSet{
		Name: teamName(i), Quota: galenastate.Size{Cores: 100_000, MemoryMB: 100_000_000},
	}}
}

func seedVM(i, pools int) galenastate.Change {
	return galenastate.Change{VMAdd: &galenastate.VMAdd{
		Name: vmName(i), Pool: poolName(i % pools), DataCentre: galenahead.DataCentre(fmt.Sprintf("dc-%02d", i%dataCentreCount)),
		Rack: galenahead.RackName(fmt.Sprintf("rack-%04d", i/vmsPerRack)), Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		Cores: 64, MemoryMB: 131_072,
	}}
}

func seedService(i, pools int) galenastate.Change {
	s := &galenastate.Service{
		Name: serviceName(i), Pool: poolName(i % pools), BudgetPPM: 1000, Slots: 8, Connections: 64, DeadlineMS: 2000,
	}
	for c := range callersPerService {
		s.Callers = append(s.Callers, galenastate.CallerShare{Caller: galenahead.CallerName(fmt.Sprintf("caller-%02d", c)), Share: 2})
	}
	return galenastate.Change{ServiceSet: s}
}

func seedJob(i int, s Size) galenastate.Change {
	return galenastate.Change{JobSubmit: &galenastate.JobSubmit{
		ID: jobID(i), Team: teamName(i % s.Teams), Pool: poolName(i % s.Pools), Cores: 4, MemoryMB: 8192,
	}}
}
