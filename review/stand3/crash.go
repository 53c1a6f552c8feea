package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"time"
)

const crashConfig = `{"version":7,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":3000,` +
	`"target_latency_ms":600,"priority":0,"service":"desk","max_attempts":3,"stretch":1.6}],` +
	`"services":[{"name":"desk","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":true,"spare":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	crashMinions  = 9
	crashDowntime = time.Second
	crashGap      = time.Second
	crashRounds   = 40
	jobsPerSecond = 14
)

// crashCase submits jobs whose work items all succeed, while one minion after the other
// crashes and comes back. A job that is shown as failed without an end failed breaks LOST.
func crashCase(record *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	jobs, ends := map[string]*job{}, map[string]int{}
	specs := map[string]int64{}
	var minions []*minion
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	for i := range crashMinions {
		minions = append(minions, &minion{
			record: record, id: fmt.Sprintf("i-%08x", 0x10+i), service: "desk", zone: zones[i%3], rack: fmt.Sprintf("r%d-%d", i%3, i/4),
			machine: fmt.Sprintf("m-%05x", i+1), address: "127.63.2.1:0", controls: d.controls(),
			work: func(task string) (time.Duration, string) {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(specs[jobOf(task)]) * time.Millisecond, "done"
			},
			ended: func(task string, _ int64, how string) {
				mu.Lock()
				defer mu.Unlock()
				ends[how]++
				if j := jobs[jobOf(task)]; j != nil && how == "failed" {
					j.failed++
				}
			},
		})
	}
	d.listMachines(minions)
	for _, m := range minions {
		if err := m.boot(); err != nil {
			return false, err
		}
	}
	if err := d.startAll(crashConfig); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	seed := time.Now().UnixNano()
	if s, err := strconv.ParseInt(envOr("SEED", ""), 10, 64); err == nil {
		seed = s
	}
	record.printf("seed %d, trouble %t", seed, trouble)
	random := rand.New(rand.NewSource(seed))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			chosen := rand.New(rand.NewSource(seed + 1))
			for range crashRounds {
				m := minions[chosen.Intn(len(minions))]
				m.crash()
				time.Sleep(crashDowntime)
				if err := m.boot(); err != nil {
					record.printf("minion %s does not boot: %v", m.id, err)
				}
				time.Sleep(crashGap - crashDowntime)
			}
		}()
	}
	end := time.Now().Add(crashRounds * crashGap)
	for n := 0; time.Now().Before(end); n++ {
		spec := jobSpec{CPU: 2000 + random.Int63n(3000), Mem: 1000 + random.Int63n(4000), WorkMS: 320 + random.Int63n(900)}
		text, _ := json.Marshal(spec)
		id, count, entry := fmt.Sprintf("%016x", random.Uint64()), 6+random.Intn(13), 1+random.Intn(machineCount)
		body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []map[string]any{
			{"count": count, "cpu": spec.CPU, "mem_mb": spec.Mem, "estimate_ms": spec.WorkMS},
		}})
		mu.Lock()
		specs[id] = spec.WorkMS
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			follow(record, d, id, entry, string(body), &mu, jobs, stop)
		}()
		time.Sleep(time.Second / jobsPerSecond)
	}
	time.Sleep(20 * time.Second)
	close(stop)
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	states, broken := map[string]int{}, false
	for _, j := range jobs {
		states[j.state]++
		if j.state == "failed" && j.failed == 0 {
			broken = true
			record.printf("BROKEN: job %s is shown as failed; ends failed of its work items: 0", j.id)
		}
	}
	record.printf("accepted jobs by last state: %v; ends: %v", states, ends)
	fmt.Printf("accepted jobs by last state: %v; ends: %v\n", states, ends)
	if states["completed"] == 0 {
		return false, fmt.Errorf("no job was completed")
	}
	return broken, nil
}
