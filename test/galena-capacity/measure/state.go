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

// Growth is what one more record of a kind takes, in bytes. A request id is
// kept for each operators' change in addition.
type Growth struct {
	Kind string
	// Snapshot is in the snapshot, Heap in the memory of a restored state
	// machine, Config in the whole configuration in JSON, EntryHeap in the memory
	// of an entry that holds it.
	Snapshot, Heap, Config, EntryHeap float64
}

// growthBase is larger than the limits of the history and of the list of
// changed records, so that these do not count as growth.
var growthBase = fleet.Size{Pools: 25, Teams: 100, Services: 25, Changes: 8 * galenastate.HistoryLimit}

// growthStep is the number of records by which a state grows.
const growthStep = 2000

// State measures the growth of the control state by kind.
func State() ([]Growth, error) {
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
	base, err := stateSize(growthBase)
	if err != nil {
		return nil, err
	}
	var out []Growth
	for _, k := range kinds {
		size := growthBase
		k.grow(&size)
		s, err := stateSize(size)
		if err != nil {
			return nil, err
		}
		g := s.since(base)
		if len(out) > 0 {
			// The change that added the record left a request id.
			g = g.since(out[0])
		}
		if k.name == "running job" {
			// It came with a VM, which left a request id of its own.
			g = g.since(out[1]).since(out[0])
		}
		g.Kind = k.name
		out = append(out, g)
	}
	return out, nil
}

// stateSize returns the sizes of a state, divided by growthStep.
func stateSize(size fleet.Size) (Growth, error) {
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
		return Growth{}, eris.Wrap(err, "encode the configuration")
	}
	before := heap()
	m := &galenastate.StateMachine{}
	if err := m.Restore(snapshot); err != nil {
		return Growth{}, err
	}
	after := heap()
	// All of this was there before.
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

// entryHeap returns what an entry takes that holds the configuration.
func entryHeap(config []byte) (float64, error) {
	before := heap()
	var d galenastate.Delta
	if err := json.Unmarshal(config, &d); err != nil {
		return 0, eris.Wrap(err, "decode the configuration")
	}
	c, _ := galenastate.Config{}.ApplyDelta(d)
	d = galenastate.Delta{}
	after := heap()
	runtime.KeepAlive(config)
	runtime.KeepAlive(&d)
	runtime.KeepAlive(c)
	return after - before, nil
}

// since returns what g has more than o.
func (g Growth) since(o Growth) Growth {
	return Growth{
		Snapshot: g.Snapshot - o.Snapshot, Heap: g.Heap - o.Heap, Config: g.Config - o.Config, EntryHeap: g.EntryHeap - o.EntryHeap,
	}
}

// heap returns the live bytes. What a sync.Pool holds is freed by the second
// collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Restart is the start of a daemon with a stored state.
type Restart struct {
	VMs, Changes int
	// Answer is the time until the daemon answers operators, CPU its processor
	// time until then.
	Answer, CPU time.Duration
	// Lead is the time from the start of all daemons until one leads.
	Lead time.Duration
	Peak float64
}

const (
	// restartChanges is the number of changes before the restart.
	restartChanges = 20_000
	// restartTail is what the log holds after the newest snapshot at 4,096
	// entries each.
	restartTail = restartChanges % 4096
	// restartLimit bounds the wait for the restarted daemon.
	restartLimit = 20 * time.Second
)

// Restart measures the start of control daemons after 20,000 changes.
func (r *Runner) Restart(ctx context.Context, size fleet.Size) (out Restart, err error) {
	size.Changes = restartChanges
	out = Restart{VMs: size.VMs, Changes: size.Changes}
	seed, err := fleet.NewSeed(size)
	if err != nil {
		return out, err
	}
	f, err := r.start(ctx, fleet.Options{Controls: controls, Entries: 12, Seed: seed, Tail: restartTail, RenewInterval: time.Second})
	if err != nil {
		return out, err
	}
	defer func() { err = firstError(err, f.Stop()) }()
	out.Lead = f.LeadAfter
	c := f.Follower()
	if err := c.Kill(); err != nil {
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, restartLimit)
	defer cancel()
	start := time.Now()
	if err := c.Start(); err != nil {
		return out, err
	}
	for !c.Answers(ctx) {
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return out, eris.Wrap(err, "the restarted daemon does not answer")
		}
	}
	out.Answer = time.Since(start)
	u, err := fleet.ReadUsage(c.PID())
	out.CPU, out.Peak = u.CPU, float64(u.Peak)
	return out, err
}
