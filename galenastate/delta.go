package galenastate

import (
	"maps"
	"slices"
	"sort"

	"github.com/galenahead/galenahead"
)

// ConfigVM is what entries know of a VM. The owned phase and the up condition
// are left out of its JSON form.
type ConfigVM struct {
	Name      galenahead.VMName   `json:"name"`
	Pool      galenahead.PoolName `json:"pool,omitempty"`
	Epoch     galenahead.Epoch    `json:"epoch"`
	Phase     Phase               `json:"phase,omitzero"`
	Condition Condition           `json:"condition,omitzero"`
}

// Usable tells whether the VM's instances may get new work.
func (v ConfigVM) Usable() bool {
	return v.Phase == PhaseOwned && v.Condition == ConditionUp
}

// Delta is the configuration that changed after From up to Revision, or the
// whole configuration when Full is set.
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

// Since returns what changed after a revision. It returns false when the
// revision is too old, or newer than the view: then the replica needs Full.
func (v *View) Since(from galenahead.Revision) (Delta, bool) {
	if from > v.revision || from < v.deltaFloor {
		return Delta{}, false
	}
	d := Delta{From: from, Revision: v.revision}
	first := sort.Search(len(v.deltas), func(i int) bool { return v.deltas[i].revision > from })
	seen := make(map[touched]bool)
	for _, t := range v.deltas[first:] {
		t.revision = 0
		if seen[t] {
			continue
		}
		seen[t] = true
		d.add(&v.state, t)
	}
	return d, true
}

// add adds the current content of a record.
func (d *Delta) add(s *state, t touched) {
	switch t.kind {
	case kindPool:
		if p, ok := s.pools.get(galenahead.PoolName(t.name)); ok {
			d.Pools = append(d.Pools, *p)
		}
	case kindService:
		if p, ok := s.services.get(galenahead.ServiceName(t.name)); ok {
			d.Services = append(d.Services, *p)
		}
	case kindSetting:
		if p, ok := s.settings.get(t.name); ok {
			d.Settings = append(d.Settings, *p)
		}
	case kindVM:
		if p, ok := s.vms.get(galenahead.VMName(t.name)); ok {
			d.VMs = append(d.VMs, p.config())
			return
		}
		d.RemovedVMs = append(d.RemovedVMs, galenahead.VMName(t.name))
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
		VMs:      make([]ConfigVM, 0, v.vms.n),
		Services: v.Services(),
		Settings: v.Settings(),
	}
	for vm := range v.vms.values() {
		d.VMs = append(d.VMs, vm.config())
	}
	return d
}

// Config is the configuration that an entry builds from deltas. It is
// immutable; its zero value is empty at revision 0.
type Config struct {
	Revision galenahead.Revision
	Pools    map[galenahead.PoolName]Pool
	VMs      map[galenahead.VMName]ConfigVM
	Services map[galenahead.ServiceName]Service
	Settings map[string]string
}

// With returns the configuration after a delta. It returns false when the
// delta is not newer, or does not start at c's revision or before it.
func (c Config) With(d Delta) (Config, bool) {
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

// merged returns base with the changed values. Maps without changes are shared.
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
