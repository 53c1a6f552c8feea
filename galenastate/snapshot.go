package galenastate

import (
	"bytes"
	"slices"

	"github.com/galenahead/galenahead"
	"github.com/rotisserie/eris"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// snapshot is the encoded form of the state and the request ids.
type snapshot struct {
	Version          int                 `cbor:"1,keyasint"`
	Index            uint64              `cbor:"2,keyasint"`
	Revision         galenahead.Revision `cbor:"3,keyasint"`
	OperatorRevision galenahead.Revision `cbor:"4,keyasint"`
	LastEpoch        galenahead.Epoch    `cbor:"5,keyasint"`
	LastStep         uint64              `cbor:"6,keyasint"`
	Pools            []*Pool             `cbor:"7,keyasint"`
	VMs              []*VM               `cbor:"8,keyasint"`
	Services         []*Service          `cbor:"9,keyasint"`
	Teams            []*Team             `cbor:"10,keyasint"`
	Settings         []*Setting          `cbor:"11,keyasint"`
	Waves            []waveRecord        `cbor:"12,keyasint"`
	Jobs             []*Job              `cbor:"13,keyasint"`
	EndedJobs        []galenahead.JobID  `cbor:"14,keyasint"`
	History          []historyRecord     `cbor:"15,keyasint"`
	Requests         []requestRecord     `cbor:"16,keyasint"`
}

type waveRecord struct {
	Wave *Wave     `cbor:"1,keyasint"`
	VMs  []*WaveVM `cbor:"2,keyasint"`
}

// Snapshot returns the whole state, including the request ids. Equal states have
// equal snapshots.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	v := m.currentView()
	requests := m.requests.records()
	omitRequestIDs := m.faults.omitRequestIDs
	m.mu.Unlock()
	s := v.snapshot()
	s.Requests = requests
	if omitRequestIDs {
		s.Requests = nil
	}
	return m.encodeSnapshot(&s)
}

// encodeSnapshot allocates a buffer slightly larger than the last snapshot: a
// buffer that doubles as it grows would take three times the memory.
func (m *StateMachine) encodeSnapshot(s *snapshot) ([]byte, error) {
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
		LastEpoch:        v.lastEpoch,
		LastStep:         v.lastStep,
		Pools:            slices.Collect(v.pools.values()),
		VMs:              slices.Collect(v.vms.values()),
		Services:         slices.Collect(v.services.values()),
		Teams:            slices.Collect(v.teams.values()),
		Settings:         slices.Collect(v.settings.values()),
		Jobs:             slices.Collect(v.jobs.values()),
		EndedJobs:        slices.Clone(v.endedJobs),
		History:          slices.Clone(v.history),
	}
	for w := range v.waves.values() {
		s.Waves = append(s.Waves, waveRecord{w, slices.Collect(w.vms.values())})
	}
	return s
}

// Restore replaces the state by a snapshot. After an error the state is
// unmodified. Earlier views stay valid.
func (m *StateMachine) Restore(b []byte) error {
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

// state rebuilds the tables. The record changes that deltas need are not part of a
// snapshot, so followers behind its revision need the full configuration.
func (s *snapshot) state(gen uint64) state {
	out := state{
		gen:              gen,
		index:            s.Index,
		revision:         s.Revision,
		operatorRevision: s.OperatorRevision,
		lastEpoch:        s.LastEpoch,
		lastStep:         s.LastStep,
		endedJobs:        s.EndedJobs,
		history:          s.History,
		oldestDelta:      s.Revision,
	}
	s.internNames(&out)
	loadTable(gen, &out.pools, s.Pools, func(p *Pool) galenahead.PoolName { return p.Name })
	loadTable(gen, &out.vms, s.VMs, func(v *VM) galenahead.VMName { return v.Name })
	loadTable(gen, &out.services, s.Services, func(v *Service) galenahead.ServiceName { return v.Name })
	loadTable(gen, &out.teams, s.Teams, func(t *Team) galenahead.TeamName { return t.Name })
	loadTable(gen, &out.settings, s.Settings, func(v *Setting) string { return v.Key })
	loadTable(gen, &out.jobs, s.Jobs, func(j *Job) galenahead.JobID { return j.ID })
	for _, r := range s.Waves {
		loadTable(gen, &r.Wave.vms, r.VMs, func(v *WaveVM) galenahead.VMName { return v.VM })
		out.waves.put(gen, r.Wave.Name, r.Wave)
	}
	return out
}

// loadTable puts records, which are sorted by key, into an empty table.
func loadTable[K ~string, V any](gen uint64, t *table[K, V], records []*V, key func(*V) K) {
	for _, r := range records {
		t.put(gen, key(r), r)
	}
}

// internNames makes the VMs and jobs share the bytes of equal names.
func (s *snapshot) internNames(out *state) {
	for _, v := range s.VMs {
		v.Pool = galenahead.PoolName(out.internName(string(v.Pool)))
		v.HomePool = galenahead.PoolName(out.internName(string(v.HomePool)))
		v.DataCentre = galenahead.DataCentre(out.internName(string(v.DataCentre)))
		v.Rack = galenahead.RackName(out.internName(string(v.Rack)))
	}
	for _, j := range s.Jobs {
		j.Pool = galenahead.PoolName(out.internName(string(j.Pool)))
		j.Team = galenahead.TeamName(out.internName(string(j.Team)))
		j.Service = galenahead.ServiceName(out.internName(string(j.Service)))
	}
}
