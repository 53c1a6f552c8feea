package galenastate

import (
	"maps"
	"slices"
	"sort"

	"github.com/galenahead/galenahead"
)

// ConfigVM is the part of a VM that entries get. Its JSON form omits the phase of
// an owned VM and the condition of a VM that is up.
type ConfigVM struct {
	Name      galenahead.VMName   `json:"name"`
	Pool      galenahead.PoolName `json:"pool,omitempty"`
	Epoch     galenahead.Epoch    `json:"epoch"`
	Phase     Phase               `json:"phase,omitzero"`
	Condition Condition           `json:"condition,omitzero"`
}

// Usable reports whether the VM's instances may get new work.
func (v ConfigVM) Usable() bool {
	return v.Phase == PhaseOwned && v.Condition == ConditionUp
}

// Delta is what changed in the configuration after revision From up to Revision,
// or the whole configuration if Full is set.
type Delta struct {
	From       galenahead.Revision `json:"from,omitempty"`
	Revision   galenahead.Revision `json:"revision"`
	Full       bool                `json:"full,omitempty"`
	Pools      []Pool              `json:"pools,omitempty"`
	VMs        []ConfigVM          `json:"vms,omitempty"`
	RemovedVMs []galenahead.VMName `json:"removed_vms,omitempty"`
	Services   []Service           `json:"services,omitempty"`
	Settings   []Setting           `json:"settings,omitempty"`
}

// Since returns what changed after a revision. It returns false if the revision
// is too old or newer than the view; then the follower needs Full.
func (v *View) Since(from galenahead.Revision) (Delta, bool) {
	if from > v.revision || from < v.oldestDelta {
		return Delta{}, false
	}
	d := Delta{From: from, Revision: v.revision}
	first := sort.Search(len(v.changes), func(i int) bool { return v.changes[i].revision > from })
	seen := make(map[recordChange]bool)
	for _, c := range v.changes[first:] {
		c.revision = 0
		if seen[c] {
			continue
		}
		seen[c] = true
		d.addRecord(&v.state, c)
	}
	return d, true
}

// addRecord adds the current content of a changed record.
func (d *Delta) addRecord(s *state, c recordChange) {
	switch c.kind {
	case kindPool:
		if record, ok := s.pools.get(galenahead.PoolName(c.name)); ok {
			d.Pools = append(d.Pools, *record)
		}
	case kindService:
		if record, ok := s.services.get(galenahead.ServiceName(c.name)); ok {
			d.Services = append(d.Services, *record)
		}
	case kindSetting:
		if record, ok := s.settings.get(c.name); ok {
			d.Settings = append(d.Settings, *record)
		}
	case kindVM:
		if record, ok := s.vms.get(galenahead.VMName(c.name)); ok {
			d.VMs = append(d.VMs, record.config())
			return
		}
		d.RemovedVMs = append(d.RemovedVMs, galenahead.VMName(c.name))
	}
}

func (v *VM) config() ConfigVM {
	return ConfigVM{Name: v.Name, Pool: v.Pool, Epoch: v.Epoch, Phase: v.Phase, Condition: v.Condition}
}

// Full returns the whole configuration.
func (v *View) Full() Delta {
	d := Delta{
		Revision: v.revision,
		Full:     true,
		Pools:    v.Pools(),
		VMs:      make([]ConfigVM, 0, v.vms.rowCount),
		Services: v.Services(),
		Settings: v.Settings(),
	}
	for vm := range v.vms.values() {
		d.VMs = append(d.VMs, vm.config())
	}
	return d
}

// Config is the configuration that an entry builds from deltas. It is immutable.
// The zero value is the empty configuration at revision 0.
type Config struct {
	Revision galenahead.Revision
	Pools    map[galenahead.PoolName]Pool
	VMs      map[galenahead.VMName]ConfigVM
	Services map[galenahead.ServiceName]Service
	Settings map[string]string
}

// ApplyDelta returns the configuration after a delta. It returns c and false if
// the delta is not newer than c, or starts after c's revision.
func (c Config) ApplyDelta(d Delta) (Config, bool) {
	if d.Revision <= c.Revision || (!d.Full && d.From > c.Revision) {
		return c, false
	}
	base := c
	if d.Full {
		base = Config{}
	}
	return Config{
		Revision: d.Revision,
		Pools:    merged(base.Pools, d.Pools, func(p Pool) galenahead.PoolName { return p.Name }),
		VMs:      withoutVMs(merged(base.VMs, d.VMs, func(v ConfigVM) galenahead.VMName { return v.Name }), d.RemovedVMs),
		Services: merged(base.Services, d.Services, func(s Service) galenahead.ServiceName { return s.Name }),
		Settings: mergedSettings(base.Settings, d.Settings),
	}, true
}

// merged returns a copy of base with the changed values, or base itself if
// nothing changed.
func merged[K comparable, V any](base map[K]V, changed []V, key func(V) K) map[K]V {
	if len(changed) == 0 {
		return base
	}
	out := make(map[K]V, max(len(base), len(changed)))
	maps.Copy(out, base)
	for _, v := range changed {
		out[key(v)] = v
	}
	return out
}

func mergedSettings(base map[string]string, changed []Setting) map[string]string {
	if len(changed) == 0 {
		return base
	}
	out := make(map[string]string, len(base)+len(changed))
	maps.Copy(out, base)
	for _, s := range changed {
		out[s.Key] = s.Value
	}
	return out
}

func withoutVMs(vms map[galenahead.VMName]ConfigVM, removed []galenahead.VMName) map[galenahead.VMName]ConfigVM {
	if len(removed) == 0 {
		return vms
	}
	out := maps.Clone(vms)
	maps.DeleteFunc(out, func(name galenahead.VMName, _ ConfigVM) bool { return slices.Contains(removed, name) })
	return out
}
