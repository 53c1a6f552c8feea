package measure

import (
	"context"
	"encoding/json"
	"runtime"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/test/galena-capacity/fleet"
)

// Growth is the number of bytes that one additional record of a kind takes. Every
// change by an operator additionally stores a request id, which is a kind of its own.
type Growth struct {
	Kind string
	// Snapshot is the growth of the snapshot, Heap of the memory of a restored state
	// machine, Config of the full configuration as JSON, and EntryHeap of the memory of
	// an entry that stores this configuration.
	Snapshot, Heap, Config, EntryHeap float64
}

// growthBase is the state before the growth. Its number of changes exceeds the limits
// of the history and of the list of changed records, so that these no longer grow.
var growthBase = fleet.Size{Pools: 25, Teams: 100, Services: 25, Changes: 8 * galenastate.HistoryLimit}

// growthStep is the number of records that are added to growthBase.
const growthStep = 2000

// StateGrowth measures the growth of the control state for each kind of record.
func StateGrowth() ([]Growth, error) {
	kinds := []struct {
		name string
		grow func(*fleet.Size)
	}{
		{"request id", func(s *fleet.Size) { s.Changes += growthStep }},
		{"VM", func(s *fleet.Size) { s.VMs += growthStep }},
		{"team", func(s *fleet.Size) { s.Teams += growthStep }},
		{"service", func(s *fleet.Size) { s.Services += growthStep }},
		{"running job", func(s *fleet.Size) { s.VMs, s.Jobs = s.VMs+growthStep, s.Jobs+growthStep }},
	}
	base, err := measureState(growthBase)
	if err != nil {
		return nil, err
	}
	var out []Growth
	for _, kind := range kinds {
		size := growthBase
		kind.grow(&size)
		s, err := measureState(size)
		if err != nil {
			return nil, err
		}
		g := s.minus(base)
		if len(out) > 0 {
			// The change that added the record also stored a request id.
			g = g.minus(out[0])
		}
		if kind.name == "running job" {
			// Each job was added together with a VM, whose change stored another request id.
			g = g.minus(out[1]).minus(out[0])
		}
		g.Kind = kind.name
		out = append(out, g)
	}
	return out, nil
}

// measureState returns the sizes of a state in bytes, divided by growthStep.
func measureState(size fleet.Size) (Growth, error) {
	seed, err := fleet.NewSeed(size)
	if err != nil {
		return Growth{}, err
	}
	snapshot, err := seed.Machine.Snapshot()
	if err != nil {
		return Growth{}, err
	}
	config, err := json.Marshal(seed.Machine.View().Full())
	if err != nil {
		return Growth{}, eris.Wrap(err, "encode configuration")
	}
	before := liveHeapBytes()
	m := &galenastate.StateMachine{}
	if err := m.Restore(snapshot); err != nil {
		return Growth{}, err
	}
	after := liveHeapBytes()
	// The first three were reachable at the first measurement of the heap, so they and
	// m must be reachable at the second one.
	runtime.KeepAlive(seed)
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(config)
	runtime.KeepAlive(m)
	entry, err := entryHeap(config)
	return Growth{
		Snapshot: float64(len(snapshot)) / growthStep, Heap: (after - before) / growthStep,
		Config: float64(len(config)) / growthStep, EntryHeap: entry / growthStep,
	}, err
}

// entryHeap returns the heap size of the configuration as an entry stores it.
func entryHeap(config []byte) (float64, error) {
	before := liveHeapBytes()
	var d galenastate.Delta
	if err := json.Unmarshal(config, &d); err != nil {
		return 0, eris.Wrap(err, "decode configuration")
	}
	c, _ := galenastate.Config{}.ApplyDelta(d)
	d = galenastate.Delta{}
	after := liveHeapBytes()
	runtime.KeepAlive(config)
	runtime.KeepAlive(&d)
	runtime.KeepAlive(c)
	return after - before, nil
}

// minus returns the difference of g and o in each field.
func (g Growth) minus(o Growth) Growth {
	return Growth{
		Snapshot: g.Snapshot - o.Snapshot, Heap: g.Heap - o.Heap, Config: g.Config - o.Config, EntryHeap: g.EntryHeap - o.EntryHeap,
	}
}

// liveHeapBytes returns the size of the live heap objects. It collects garbage twice,
// because objects in a sync.Pool are only freed by the second collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// RestartResult is the result of starting daemons with a stored state.
type RestartResult struct {
	VMs, Changes int
	// TimeToRespond is the time from the restart of a follower until it answers
	// operators, CPU its processor time until then.
	TimeToRespond, CPU time.Duration
	// TimeToLeader is the time from the start of all daemons until one of them is the
	// leader.
	TimeToLeader time.Duration
	PeakRSS      float64
}

const (
	// restartChanges is the number of additional changes in the stored state.
	restartChanges = 20_000
	// restartLogTail is the number of log entries after the newest snapshot, given a
	// snapshot every 4,096 entries.
	restartLogTail = restartChanges % 4096
	// restartTimeout limits the time until the restarted daemon answers.
	restartTimeout = 20 * time.Second
)

// MeasureRestart measures the start of control daemons with a stored state of the
// given size plus 20,000 changes.
func (r *Runner) MeasureRestart(ctx context.Context, size fleet.Size) (out RestartResult, err error) {
	size.Changes = restartChanges
	out = RestartResult{VMs: size.VMs, Changes: size.Changes}
	seed, err := fleet.NewSeed(size)
	if err != nil {
		return out, err
	}
	f, err := r.startFleet(ctx, fleet.Options{Controls: controlCount, Entries: 12, Seed: seed, LogTail: restartLogTail, RenewInterval: time.Second})
	if err != nil {
		return out, err
	}
	defer func() { err = firstError(err, f.Stop()) }()
	out.TimeToLeader = f.LeaderElectedAfter
	c := f.Follower()
	if err := c.Kill(); err != nil {
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	start := time.Now()
	if err := c.Start(); err != nil {
		return out, err
	}
	for !c.RespondsToStatus(ctx) {
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return out, eris.Wrap(err, "restarted daemon does not answer")
		}
	}
	out.TimeToRespond = time.Since(start)
	u, err := fleet.ReadUsage(c.PID())
	out.CPU, out.PeakRSS = u.CPU, float64(u.PeakRSS)
	return out, err
}
