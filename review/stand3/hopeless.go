package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	hopelessMinions = 3
	messages        = 60
	hopelessJobs    = 3
	hopelessWidth   = 24 // the largest of quote-small
	lull            = 4 * time.Second
	finish          = 14 * time.Second
	idleSpan        = 3 * time.Second
)

// hopelessCase sends 61 jobs to a queue, of which three can never be done, and looks finish_s after
// the end of the traffic whether one waits although its service is idle, which breaks LOST.
func hopelessCase(record *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	jobs := map[string]*job{}
	type plan struct {
		hopeless bool
		work     time.Duration
	}
	plans := map[string]plan{}
	starts, ends := map[string]int{}, map[string]int{}
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	var minions []*minion
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	for i := range hopelessMinions {
		minions = append(minions, &minion{
			record: record, id: fmt.Sprintf("i-%08x", 0x10+i), service: "desk", zone: zones[i%3], rack: fmt.Sprintf("r%d-0", i%3),
			machine: fmt.Sprintf("m-%05x", i+1), address: "127.63.2.1:0", controls: d.controls(),
			work: func(task string) (time.Duration, string) {
				mu.Lock()
				defer mu.Unlock()
				p := plans[jobOf(task)]
				starts[jobOf(task)]++
				// Runs take a half to one and a half of the mean.
				took := p.work/2 + time.Duration(random.Int63n(int64(p.work)))
				if p.hopeless {
					return took, "failed"
				}
				return took, "done"
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
	record.printf("trouble %t", trouble)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	submit := func(count int, work time.Duration, hopeless bool) string {
		spec := jobSpec{CPU: 2500, Mem: 2000, WorkMS: work.Milliseconds()}
		text, _ := json.Marshal(spec)
		id := fmt.Sprintf("%016x", rand.Uint64())
		body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []map[string]any{
			{"count": count, "cpu": spec.CPU, "mem_mb": spec.Mem, "estimate_ms": spec.WorkMS},
		}})
		mu.Lock()
		plans[id] = plan{hopeless, work}
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			follow(record, d, id, 1+rand.Intn(machineCount), string(body), &mu, jobs, stop)
		}()
		return id
	}
	idle := func() bool {
		for _, m := range minions {
			if !m.idle() {
				return false
			}
		}
		return true
	}
	// Within 3 s come 60 messages, 3 of which can never be done.
	for n := range messages {
		if n == messages-hopelessJobs {
			record.printf("the jobs that can never be done: %t", trouble)
		}
		if n >= messages-hopelessJobs {
			submit(hopelessWidth, 640*time.Millisecond, trouble)
		} else {
			submit(1+rand.Intn(3), 640*time.Millisecond, false)
		}
		time.Sleep(3 * time.Second / (messages + 1))
	}
	time.Sleep(lull)
	last := submit(4, 640*time.Millisecond, false)
	record.printf("the last job is %s; end of the traffic", last)

	// From idleSpan before finish on, the service must not be idle while the job waits.
	time.Sleep(finish - idleSpan)
	waiting := true
	for end := time.Now().Add(idleSpan); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mu.Lock()
		begun := starts[last] > 0
		mu.Unlock()
		if begun || !idle() {
			waiting = false
		}
	}
	mu.Lock()
	j := jobs[last]
	shown := ""
	if j != nil {
		shown = j.state
	}
	record.printf("finish_s after the end of the traffic: job %s is shown as %q, starts of its work items: %d", last, shown, starts[last])
	mu.Unlock()
	if j == nil {
		return false, fmt.Errorf("the last job was not accepted")
	}
	if waiting {
		record.printf("BROKEN: for %s before, all minions were up, ready and idle, and nothing of job %s has run", idleSpan, last)
	}
	// How long it waits in all.
	begin := time.Now()
	for end := begin.Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		mu.Lock()
		begun := starts[last] > 0
		mu.Unlock()
		if begun {
			break
		}
	}
	waited := finish + time.Since(begin)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if waiting {
		record.printf("the first work item of job %s started %.1f s after its submission", last, waited.Seconds())
		fmt.Printf("the last job waited %.1f s; ", waited.Seconds())
	}
	record.printf("ends: %v", ends)
	fmt.Printf("ends: %v\n", ends)
	return waiting, nil
}
