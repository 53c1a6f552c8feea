package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maintenance is how long an upkeep takes.
const maintenance = 2 * time.Second

// machines is the platform's list of machines. It carries out orders for upkeep.
type machines struct {
	rec    *record
	addr   string
	server *http.Server

	mu   sync.Mutex
	rows []*machineRow
}

type machineRow struct {
	minion *minion
	state  string
	fence  uint64
	// upkeeps holds the waves whose upkeep of the machine has begun.
	upkeeps map[int64]bool
	// odd is what the list says as the state in place of the true one, or empty.
	odd string
}

func newMachines(rec *record, addr string) (*machines, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &machines{rec: rec, addr: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-upkeep", p.upkeep)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *machines) add(m *minion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = append(p.rows, &machineRow{minion: m, state: "up", upkeeps: map[int64]bool{}})
}

func (p *machines) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []map[string]any{}
	for _, r := range p.rows {
		state := r.state
		if r.odd != "" {
			state = r.odd
		}
		out = append(out, map[string]any{
			"machine": r.minion.machine, "pool": r.minion.service, "state": state, "zone": "zone-a", "labels": []string{"a", r.minion.rack},
			"capacity": map[string]any{"cpu": minionCPU, "mem_mb": 65536, "gpu": 0}, "id": r.minion.id,
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": out, "next_token": nil})
}

func (p *machines) row(machine string) *machineRow {
	for _, r := range p.rows {
		if r.minion.machine == machine {
			return r
		}
	}
	return nil
}

// setOdd makes the list say an odd state for a machine, or the true one again.
func (p *machines) setOdd(machine, state string) {
	p.mu.Lock()
	p.row(machine).odd = state
	p.mu.Unlock()
	p.rec.add("the list says of %s: state %q instead of the true one", machine, state)
}

// begun reports whether the upkeep of a machine for a wave has begun.
func (p *machines) begun(machine string, wave int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.row(machine).upkeeps[wave]
}

func (p *machines) upkeep(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(400)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Galenahead-Fencing-Token"), 10, 64)
	status, reason := p.beginUpkeep(c.Machine, c.Wave, fence)
	p.rec.add("order: upkeep of %s for wave %d by %s, fence %d: %d %s", c.Machine, c.Wave, r.Header.Get("Galenahead-Duty-Holder"), fence, status, reason)
	w.WriteHeader(status)
	if reason != "" {
		_ = json.NewEncoder(w).Encode(map[string]any{"reason": reason})
	}
}

func (p *machines) beginUpkeep(machine string, wave int64, fence uint64) (status int, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.row(machine)
	switch {
	case row == nil:
		return 400, ""
	case fence < row.fence:
		return 409, "fence"
	}
	row.fence = fence
	switch {
	case row.upkeeps[wave]:
		return 200, ""
	case row.state != "up":
		return 409, "busy"
	}
	row.upkeeps[wave], row.state = true, "upkeep"
	old := row.minion
	old.end("upkeep of its machine")
	time.AfterFunc(maintenance, func() {
		m := &minion{
			id: old.id + "n", service: old.service, addr: old.addr, machine: old.machine, rack: old.rack, controls: old.controls, rec: old.rec,
		}
		_ = m.start()
		p.mu.Lock()
		row.minion, row.state = m, "up"
		p.mu.Unlock()
	})
	return 200, ""
}
