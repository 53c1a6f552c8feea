package stand3

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"
)

const deletedConfig = `{"version":7,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":3000,` +
	`"target_latency_ms":600,"priority":0,"service":"desk","max_attempts":3,"stretch":1.6}],` +
	`"services":[{"name":"desk","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":true,"spare":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	deletedMinions = 9
	workTime       = 60 * time.Millisecond
	// downTime is how long the minion is down after its crash.
	downTime = 2 * time.Second
	rounds   = 6
)

// step is where the disruption of one round stands.
type step int

const (
	stepCalm step = iota
	stepStart
	stepPoll
	stepCrash
	stepBack
	stepOver
)

// history is what the minions have seen of one work item.
type history struct {
	done  map[int64]bool // runs that have ended done
	noted int64          // a done run whose end was taken note of
}

// deletedCase lets a minion crash and come back under its id while two orders to its earlier life
// are carried out late: a start, and a poll that takes note of ends. The rule TWICE is broken if
// the work item starts again.
func deletedCase(record *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	jobs, items := map[string]*job{}, map[string]*history{}
	broken := 0
	var orders, lateOrders atomic.Int64
	var minions []*minion
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	for i := range deletedMinions {
		minions = append(minions, &minion{
			record: record, id: fmt.Sprintf("i-%08x", 0x10+i), service: "desk", zone: zones[i%3], rack: fmt.Sprintf("r%d-0", i%3),
			machine: fmt.Sprintf("m-%05x", i+1), address: "127.63.2.1:0", controls: d.controls(),
			work: func(string) (time.Duration, string) { return workTime, "done" },
			late: func(*life, string, command) time.Duration { orders.Add(1); return 0 },
		})
		m := minions[i]
		item := func(task string) *history {
			if items[task] == nil {
				items[task] = &history{done: map[int64]bool{}}
			}
			return items[task]
		}
		m.ended = func(task string, run int64, how string) {
			mu.Lock()
			defer mu.Unlock()
			item(task).done[run] = item(task).done[run] || how == "done"
		}
		m.acked = func(e end) {
			mu.Lock()
			defer mu.Unlock()
			if e.how == "done" {
				item(e.task).noted = e.run
			}
		}
		m.started = func(l *life, task string, run int64) {
			mu.Lock()
			defer mu.Unlock()
			if noted := item(task).noted; noted != 0 {
				broken++
				record.printf("BROKEN: %s run %d starts on %s; run %d has ended done, and its end was taken note of", task, run, l.m.id, noted)
			}
		}
	}
	d.listMachines(minions)
	for _, m := range minions {
		if err := m.boot(); err != nil {
			return false, err
		}
	}
	if err := d.startAll(deletedConfig); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	record.printf("trouble %t", trouble)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
			}
			spec := jobSpec{CPU: 12000, Mem: 2000, WorkMS: workTime.Milliseconds()}
			text, _ := json.Marshal(spec)
			id := fmt.Sprintf("%016x", rand.Uint64())
			body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []map[string]any{
				{"count": 4 + rand.Intn(20), "cpu": spec.CPU, "mem_mb": spec.Mem, "estimate_ms": spec.WorkMS},
			}})
			wg.Add(1)
			go func() {
				defer wg.Done()
				follow(record, d, id, 1+rand.Intn(machineCount), string(body), &mu, jobs, stop)
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	shares := []string{}
	for round := range rounds {
		if !trouble {
			time.Sleep(6 * time.Second)
			continue
		}
		orders.Store(0)
		lateOrders.Store(0)
		disturb(record, minions[round], &orders, &lateOrders)
		time.Sleep(3 * time.Second)
		shares = append(shares, fmt.Sprintf("%d of %d", lateOrders.Load(), orders.Load()))
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	states := map[string]int{}
	for _, j := range jobs {
		states[j.state]++
	}
	record.printf("orders carried out late in each round: %v; jobs by last state: %v; starts after a noted done end: %d", shares, states, broken)
	fmt.Printf("orders carried out late in each round: %v; jobs by last state: %v; starts after a noted done end: %d\n", shares, states, broken)
	if states["completed"] == 0 {
		return false, fmt.Errorf("no job was completed")
	}
	return broken > 0, nil
}

// disturb is one round: the next start at the minion and the next poll after it that takes note of
// ends get no answer and are carried out 2 s later; the minion crashes and is back under its id by
// then; the polls that reach it before them get no answer either.
func disturb(record *recorder, m *minion, orders, lateOrders *atomic.Int64) {
	var mu sync.Mutex
	at, began, noted := stepStart, time.Time{}, int64(0)
	crash, over := make(chan struct{}), make(chan struct{})
	var earlier *life
	late := func(l *life, path string, c command) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		orders.Add(1)
		delay := time.Duration(0)
		switch {
		case at == stepStart && path == "/run-start":
			at, began = stepPoll, time.Now()
			delay = downTime + 60*time.Millisecond
		case at == stepPoll && path == "/hold" && c.AckCursor > noted:
			at = stepCrash
			// It is carried out once the late run has ended.
			delay = max(2*time.Second, time.Until(began.Add(downTime+60*time.Millisecond+workTime+40*time.Millisecond)))
			close(crash)
		case at == stepBack && l != earlier && path == "/hold":
			delay = 2 * time.Second
		}
		if path == "/hold" {
			noted = max(noted, c.AckCursor)
		}
		if delay > 0 {
			lateOrders.Add(1)
		}
		return delay
	}
	m.mu.Lock()
	earlier, m.late = m.life, late
	m.mu.Unlock()
	select {
	case <-crash:
	case <-time.After(3 * time.Second):
		record.printf("no poll took note of ends")
		return
	}
	m.crash()
	time.Sleep(time.Until(began.Add(downTime + 20*time.Millisecond)))
	mu.Lock()
	at = stepBack
	mu.Unlock()
	if err := m.boot(); err != nil {
		record.printf("minion %s does not boot: %v", m.id, err)
	}
	time.AfterFunc(time.Until(began.Add(downTime+220*time.Millisecond)), func() { close(over) })
	<-over
	mu.Lock()
	at = stepOver
	mu.Unlock()
}
