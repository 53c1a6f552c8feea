package galenastate

import (
	"iter"
	"slices"

	"github.com/galenahead/galenahead"
)

// View is a consistent read-only copy of the state. It may be kept and read
// concurrently. While it is kept, the parts of the state that changed since stay
// in memory.
type View struct {
	state
}

// View returns the current state. It copies only one struct; later changes copy
// the parts that they modify.
func (m *StateMachine) View() *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentView()
}

func (m *StateMachine) currentView() *View {
	if m.view == nil {
		m.view = &View{m.state}
		m.state.gen++
	}
	return m.view
}

// copyValue returns a copy of a looked-up value.
func copyValue[V any](v *V, ok bool) (V, bool) {
	if !ok {
		var zero V
		return zero, false
	}
	return *v, true
}

// Revision returns the newest accepted revision.
func (v *View) Revision() galenahead.Revision { return v.revision }

// Index returns the log index of the newest command in the view.
func (v *View) Index() uint64 { return v.index }

// Pool returns one pool.
func (v *View) Pool(name galenahead.PoolName) (Pool, bool) { return copyValue(v.pools.get(name)) }

// Pools returns all pools, sorted by name.
func (v *View) Pools() []Pool { return v.pools.list() }

// Spare returns the spare pool.
func (v *View) Spare() (Pool, bool) { return copyValue(v.sparePool()) }

// VM returns one VM.
func (v *View) VM(name galenahead.VMName) (VM, bool) { return copyValue(v.vms.get(name)) }

// VMCount returns the number of VMs.
func (v *View) VMCount() int { return v.vms.rowCount }

// VMs yields all VMs, sorted by name. They must not be modified.
func (v *View) VMs() iter.Seq[*VM] { return v.vms.values() }

// ChangedVMs returns the VMs that are new or different since an older view, and
// the names that are only in the older view. Its cost grows with the number of
// changes, so that an index can follow the state. The VMs must not be modified.
func (v *View) ChangedVMs(older *View) (changed []*VM, removed []galenahead.VMName) {
	return v.vms.diff(older.vms)
}

// ChangedJobs is ChangedVMs for jobs.
func (v *View) ChangedJobs(older *View) (changed []*Job, removed []galenahead.JobID) {
	return v.jobs.diff(older.jobs)
}

// Service returns one service.
func (v *View) Service(name galenahead.ServiceName) (Service, bool) {
	return copyValue(v.services.get(name))
}

// Services returns all services, sorted by name.
func (v *View) Services() []Service { return v.services.list() }

// Team returns one team.
func (v *View) Team(name galenahead.TeamName) (Team, bool) { return copyValue(v.teams.get(name)) }

// Teams returns all teams, sorted by name.
func (v *View) Teams() []Team { return v.teams.list() }

// Setting returns the value of a setting.
func (v *View) Setting(key string) (string, bool) {
	s, ok := v.settings.get(key)
	if !ok {
		return "", false
	}
	return s.Value, true
}

// Settings returns all settings, sorted by key.
func (v *View) Settings() []Setting { return v.settings.list() }

// Weights returns the configured weights. The default is 1.
func (v *View) Weights() Weights { return v.weights() }

// Wave returns one wave.
func (v *View) Wave(name string) (Wave, bool) { return copyValue(v.waves.get(name)) }

// Waves returns all kept waves, sorted by name.
func (v *View) Waves() []Wave { return v.waves.list() }

// Job returns one job.
func (v *View) Job(id galenahead.JobID) (Job, bool) { return copyValue(v.jobs.get(id)) }

// Jobs yields all kept jobs, sorted by id. They must not be modified.
func (v *View) Jobs() iter.Seq[*Job] { return v.jobs.values() }

// JobCount returns the number of kept jobs.
func (v *View) JobCount() int { return v.jobs.rowCount }

// History returns up to limit accepted operator changes, newest first. A limit of
// 0 or less returns all that are kept.
func (v *View) History(limit int) []AcceptedChange {
	kept := v.history
	if limit > 0 && limit < len(kept) {
		kept = kept[len(kept)-limit:]
	}
	out := make([]AcceptedChange, 0, len(kept))
	for _, h := range slices.Backward(kept) {
		out = append(out, h.decode())
	}
	return out
}
