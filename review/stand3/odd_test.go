package stand3

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

const (
	oddMinions  = 3
	oddWork     = 6 * time.Second
	oddFinish   = 14 * time.Second
	oddIdleSpan = 3 * time.Second
)

// oddReport is a status report of another writer under the id of the minion: right but for the
// service, which no config names, and with that writer's own start and sequence.
func (m *minion) oddReport(born, sequence int64) string {
	body, _ := json.Marshal(map[string]any{
		"service": "no-such-service", "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0}, "labels": []string{"a", m.rack},
		"clock_ms": 5000, "sequence": sequence, "born": born, "machine": m.machine,
	})
	return string(body)
}

// sendOddReport sends the report to the daemons in turn until one answers.
func (d *deployment) sendOddReport(m *minion, body string) {
	for _, addr := range d.controls() {
		status, answer := call(http.MethodPost, addr, "", "/instances/"+m.id+"/heartbeat", body)
		d.record.printf("another writer: POST /instances/%s/heartbeat %s -> %d %.80s", m.id, body, status, answer)
		if status != 0 && status != http.StatusServiceUnavailable {
			return
		}
	}
}

// oddFleet is a deployment with a service of three minions and the runs that they have begun.
type oddFleet struct {
	*deployment
	minions []*minion

	mu      sync.Mutex
	jobs    map[string]*job
	working map[string]map[string]bool // by work item, the minions that run it
	starts  map[string]int
	twice   int
}

func newOddFleet(record *recorder) (*oddFleet, error) {
	d, err := newDeployment(record)
	if err != nil {
		return nil, err
	}
	f := &oddFleet{deployment: d, jobs: map[string]*job{}, working: map[string]map[string]bool{}, starts: map[string]int{}}
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	for i := range oddMinions {
		id := fmt.Sprintf("i-%08x", 0x10+i)
		f.minions = append(f.minions, &minion{
			record: record, id: id, service: "desk", zone: zones[i%3], rack: fmt.Sprintf("r%d-0", i%3),
			machine: fmt.Sprintf("m-%05x", i+1), address: "127.63.2.1:0", controls: d.controls(), stopTime: 150 * time.Millisecond,
			work: func(string) (time.Duration, string) { return oddWork, "done" },
			ended: func(task string, _ int64, _ string) {
				f.mu.Lock()
				defer f.mu.Unlock()
				delete(f.working[task], id)
			},
			acked: func(end) {},
			started: func(_ *life, task string, run int64) {
				f.mu.Lock()
				defer f.mu.Unlock()
				if f.working[task] == nil {
					f.working[task] = map[string]bool{}
				}
				for other := range f.working[task] {
					f.twice++
					record.printf("BROKEN: %s run %d starts on %s while %s runs it", task, run, id, other)
				}
				f.working[task][id] = true
				f.starts[jobOf(task)]++
			},
		})
	}
	d.listMachines(f.minions)
	for _, m := range f.minions {
		if err := m.boot(); err != nil {
			return nil, err
		}
	}
	if err := d.startAll(deletedConfig); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	return f, nil
}

func (f *oddFleet) submit(wg *sync.WaitGroup, count int, stop chan struct{}) string {
	spec := jobSpec{CPU: 3500, Mem: 2000, WorkMS: oddWork.Milliseconds()}
	text, _ := json.Marshal(spec)
	id := fmt.Sprintf("%016x", rand.Uint64())
	body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []map[string]any{
		{"count": count, "cpu": spec.CPU, "mem_mb": spec.Mem, "estimate_ms": spec.WorkMS},
	}})
	wg.Add(1)
	go func() {
		defer wg.Done()
		follow(f.record, f.deployment, id, 1+rand.Intn(machineCount), string(body), &f.mu, f.jobs, stop)
	}()
	return id
}

// oddBusyCase sends one report of another writer under the id of a minion that is at work. The rule
// TWICE is broken if its work items start elsewhere while it runs them.
func oddBusyCase(record *recorder, trouble bool) (bool, error) {
	f, err := newOddFleet(record)
	if err != nil {
		return false, err
	}
	defer f.close()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	f.submit(&wg, 6, stop)
	time.Sleep(1500 * time.Millisecond)
	f.mu.Lock()
	var busy *minion
	for _, m := range f.minions {
		for _, on := range f.working {
			if on[m.id] {
				busy = m
			}
		}
	}
	f.mu.Unlock()
	if busy == nil {
		return false, fmt.Errorf("no minion is at work")
	}
	if trouble {
		f.sendOddReport(busy, busy.oddReport(time.Now().UnixMilli(), 4))
	}
	time.Sleep(20 * time.Second)
	close(stop)
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	record.printf("starts while another minion ran the work item: %d", f.twice)
	fmt.Printf("starts while another minion ran the work item: %d\n", f.twice)
	return f.twice > 0, nil
}

// oddIdleCase sends one report of another writer under the id of each minion of an idle service. A job
// that then never starts, while all minions are up, ready and idle, breaks LOST.
func oddIdleCase(record *recorder, trouble bool) (bool, error) {
	f, err := newOddFleet(record)
	if err != nil {
		return false, err
	}
	defer f.close()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	f.submit(&wg, 3, stop)
	time.Sleep(oddWork + 3*time.Second)
	if trouble {
		for _, m := range f.minions {
			f.sendOddReport(m, m.oddReport(time.Now().UnixMilli(), 4))
		}
	}
	time.Sleep(4 * time.Second)
	id := f.submit(&wg, 3, stop)
	record.printf("the last job is %s; end of the traffic", id)
	time.Sleep(oddFinish + oddIdleSpan)
	f.mu.Lock()
	begun := f.starts[id] > 0
	accepted := f.jobs[id] != nil
	f.mu.Unlock()
	if !accepted {
		return false, fmt.Errorf("the last job was not accepted")
	}
	if !begun {
		record.printf("BROKEN: %s after the end of the traffic nothing of job %s has run, while all minions are up, ready and idle", oddFinish+oddIdleSpan, id)
		for n := 0; n < 20 && !begun; n++ {
			time.Sleep(time.Second)
			f.mu.Lock()
			begun = f.starts[id] > 0
			f.mu.Unlock()
			if begun {
				record.printf("job %s has begun at last", id)
				fmt.Printf("it began %d s later; ", n+1)
			}
		}
		close(stop)
		wg.Wait()
		fmt.Println("begun at the end:", begun)
		return true, nil
	}
	close(stop)
	wg.Wait()
	return false, nil
}
