package stand3

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// jobSpec is the text that a client sends as spec; a minion reads from it what a work item needs.
type jobSpec struct {
	CPU    int64 `json:"cpu"`
	Mem    int64 `json:"mem"`
	WorkMS int64 `json:"work_ms"`
}

// job is a job of the clients.
type job struct {
	id    string
	state string
}

// jobOf returns the job of a work item.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// listMachines lets the platform list the machines of the minions.
func (d *deployment) listMachines(minions []*minion) {
	d.machines = func() []map[string]any {
		var rows []map[string]any
		for _, m := range minions {
			rows = append(rows, map[string]any{
				"machine": m.machine, "pool": m.service, "state": "up", "zone": m.zone, "labels": []string{"a", m.rack},
				"capacity": map[string]any{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0}, "id": m.id,
			})
		}
		return rows
	}
}

// follow submits a job until it is accepted or rejected, and then reads its state until that
// is final or stop is closed.
func follow(record *recorder, d *deployment, id string, entry int, body string, mu *sync.Mutex, jobs map[string]*job, stop chan struct{}) {
	for try := 0; ; try++ {
		addr := d.address(1+(entry+try)%machineCount, "front")
		status, answer := call(http.MethodPost, addr, "shop.example", "/q/"+id, body)
		record.printf("client: POST %s at %s -> %d %s", id, addr, status, answer)
		if status == http.StatusOK {
			break
		}
		if try >= 4 || (status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	j := &job{id: id, state: "accepted"}
	mu.Lock()
	jobs[id] = j
	mu.Unlock()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		status, answer := call(http.MethodGet, d.address(1+(entry+n)%machineCount, "front"), "shop.example", "/q/"+id, "")
		var shown struct {
			State string `json:"state"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
			record.printf("client: GET %s -> %d %s", id, status, answer)
			continue
		}
		mu.Lock()
		changed := j.state != shown.State
		j.state = shown.State
		mu.Unlock()
		if changed {
			record.printf("client: GET %s -> %s", id, answer)
		}
		if shown.State == "completed" || shown.State == "failed" || shown.State == "cancelled" {
			return
		}
	}
}
