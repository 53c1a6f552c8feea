package galenastate

import (
	"bytes"
	"slices"

	"github.com/galenahead/galenahead"
	"github.com/rotisserie/eris"
)

// snapshotVersion is the version of the snapshot's format.
const snapshotVersion = 1

// snapshot is the encoded form of a Machine.
type snapshot struct {
	Version          int                 `cbor:"1,keyasint"`
	Index            uint64              `cbor:"2,keyasint"`
	Revision         galenahead.Revision `cbor:"3,keyasint"`
	OperatorRevision galenahead.Revision `cbor:"4,keyasint"`
	Epochs           galenahead.Epoch    `cbor:"5,keyasint"`
	Steps            uint64              `cbor:"6,keyasint"`
	Pools            []*Pool             `cbor:"7,keyasint"`
	VMs              []*VM               `cbor:"8,keyasint"`
	Services         []*Service          `cbor:"9,keyasint"`
	Teams            []*Team             `cbor:"10,keyasint"`
	Settings         []*Setting          `cbor:"11,keyasint"`
	Waves            []waveRecord        `cbor:"12,keyasint"`
	Jobs             []*Job              `cbor:"13,keyasint"`
	Ended            []galenahead.JobID  `cbor:"14,keyasint"`
	History          []historyRecord     `cbor:"15,keyasint"`
	Requests         []requestRecord     `cbor:"16,keyasint"`
}

type waveRecord struct {
	Wave *Wave     `cbor:"1,keyasint"`
	VMs  []*WaveVM `cbor:"2,keyasint"`
}

// Snapshot returns the whole state, request ids included. Equal states have
// equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	v := m.currentView()
	requests := m.requests.list()
	forget := m.faults.forgetRequests
	m.mu.Unlock()
	s := v.snapshot()
	s.Requests = requests
	if forget {
		s.Requests = nil
	}
	return m.encodeSnapshot(&s)
}

// encodeSnapshot allocates what the last snapshot took, and a little more: a
// buffer that doubles as it grows would take three times the memory.
func (m *Machine) encodeSnapshot(s *snapshot) ([]byte, error) {
	var b bytes.Buffer
	size := int(m.snapshotSize.Load())
	b.Grow(size + size/16 + bytes.MinRead)
	if err := bufferEncoding.MarshalToBuffer(s, &b); err != nil {
		return nil, eris.Wrap(err, "encoding the snapshot")
	}
	m.snapshotSize.Store(int64(b.Len()))
	return b.Bytes(), nil
}

func (v *View) snapshot() snapshot {
	s := snapshot{
		Version:          snapshotVersion,
		Index:            v.index,
		Revision:         v.revision,
		OperatorRevision: v.operatorRevision,
		Epochs:           v.epochs,
		Steps:            v.steps,
		Pools:            slices.Collect(v.pools.values()),
		VMs:              slices.Collect(v.vms.values()),
		Services:         slices.Collect(v.services.values()),
		Teams:            slices.Collect(v.teams.values()),
		Settings:         slices.Collect(v.settings.values()),
		Jobs:             slices.Collect(v.jobs.values()),
		Ended:            slices.Clone(v.ended),
		History:          slices.Clone(v.history),
	}
	for w := range v.waves.values() {
		s.Waves = append(s.Waves, waveRecord{w, slices.Collect(w.steps.values())})
	}
	return s
}

// Restore replaces the state by a snapshot. On an error the state stays as it
// was. Views taken before stay valid.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if err := decoding.Unmarshal(b, &s); err != nil {
		return eris.Wrapf(galenahead.ErrCorrupt, "decoding the snapshot: %v", err)
	}
	if s.Version != snapshotVersion {
		return eris.Wrapf(galenahead.ErrCorrupt, "snapshot version: found %d, allowed is %d", s.Version, snapshotVersion)
	}
	var requests requestTable
	requests.load(s.Requests)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s.state(m.state.gen + 1)
	m.requests = requests
	m.view = nil
	m.snapshotSize.Store(int64(len(b)))
	return nil
}

// state rebuilds the tables. Deltas are not part of a snapshot: replicas that
// are behind the snapshot's revision need the full configuration.
func (s *snapshot) state(gen uint64) state {
	out := state{
		gen:              gen,
		index:            s.Index,
		revision:         s.Revision,
		operatorRevision: s.OperatorRevision,
		epochs:           s.Epochs,
		steps:            s.Steps,
		ended:            s.Ended,
		history:          s.History,
		deltaFloor:       s.Revision,
	}
	s.shareNames(&out)
	fill(gen, &out.pools, s.Pools, func(p *Pool) galenahead.PoolName { return p.Name })
	fill(gen, &out.vms, s.VMs, func(v *VM) galenahead.VMName { return v.Name })
	fill(gen, &out.services, s.Services, func(v *Service) galenahead.ServiceName { return v.Name })
	fill(gen, &out.teams, s.Teams, func(t *Team) galenahead.TeamName { return t.Name })
	fill(gen, &out.settings, s.Settings, func(v *Setting) string { return v.Key })
	fill(gen, &out.jobs, s.Jobs, func(j *Job) galenahead.JobID { return j.ID })
	for _, r := range s.Waves {
		fill(gen, &r.Wave.steps, r.VMs, func(v *WaveVM) galenahead.VMName { return v.VM })
		out.waves.put(gen, r.Wave.Name, r.Wave)
	}
	return out
}

// fill puts records, sorted by key, into an empty table.
func fill[K ~string, V any](gen uint64, t *table[K, V], records []*V, key func(*V) K) {
	for _, r := range records {
		t.put(gen, key(r), r)
	}
}

// shareNames makes the VMs and jobs share the bytes of the names that many of
// them hold.
func (s *snapshot) shareNames(out *state) {
	for _, v := range s.VMs {
		v.Pool = galenahead.PoolName(out.sharedName(string(v.Pool)))
		v.Home = galenahead.PoolName(out.sharedName(string(v.Home)))
		v.DataCentre = galenahead.DataCentre(out.sharedName(string(v.DataCentre)))
		v.Rack = galenahead.RackName(out.sharedName(string(v.Rack)))
	}
	for _, j := range s.Jobs {
		j.Pool = galenahead.PoolName(out.sharedName(string(j.Pool)))
		j.Team = galenahead.TeamName(out.sharedName(string(j.Team)))
		j.Service = galenahead.ServiceName(out.sharedName(string(j.Service)))
	}
}
