package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// machines is the platform's list of machines.
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
}

func newMachines(rec *record, addr string) (*machines, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &machines{rec: rec, addr: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *machines) add(m *minion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = append(p.rows, &machineRow{m, "up"})
}

func (p *machines) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []map[string]any{}
	for _, r := range p.rows {
		out = append(out, map[string]any{
			"machine": r.minion.machine, "pool": r.minion.service, "state": r.state, "zone": "zone-a", "labels": []string{"a", r.minion.rack},
			"capacity": map[string]any{"cpu": minionCPU, "mem_mb": 65536, "gpu": 0}, "id": r.minion.id,
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": out, "next_token": nil})
}
