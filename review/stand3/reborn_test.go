package stand3

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// rebornWork is the longest work of the class knot-match.
	rebornWork = 5200 * time.Millisecond
	// cutTime is how long the minion is cut off, and lateBy how late the order is carried out.
	cutTime = 5500 * time.Millisecond
	lateBy  = 2500 * time.Millisecond
	// minOverlap leaves out overlaps that are only the way of a stop.
	minOverlap   = 300 * time.Millisecond
	rebornRounds = 3
)

// rebornCase lets one minion of nine leave a start without an answer; it is cut off, crashes
// behind the cut, starts again under its id, and carries out the start. The rule TWICE is broken
// if the work item runs on another minion at the same time.
func rebornCase(record *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	jobs := map[string]*job{}
	at := map[string]map[string]time.Time{} // by work item and minion: when a run began
	longest, overlaps := time.Duration(0), 0
	var minions []*minion
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	finish := func(task, id string) {
		began, ok := at[task][id]
		if !ok {
			return
		}
		delete(at[task], id)
		for other, since := range at[task] {
			overlap := time.Since(later(began, since))
			if overlap >= minOverlap {
				overlaps++
				longest = max(longest, overlap)
				record.printf("BROKEN: %s has run on %s and %s at the same time, for %.2f s", task, id, other, overlap.Seconds())
			}
		}
	}
	for i := range deletedMinions {
		id := fmt.Sprintf("i-%08x", 0x10+i)
		minions = append(minions, &minion{
			record: record, id: id, service: "desk", zone: zones[i%3], rack: fmt.Sprintf("r%d-0", i%3),
			machine: fmt.Sprintf("m-%05x", i+1), address: "127.63.2.1:0", controls: d.controls(),
			work: func(string) (time.Duration, string) { return rebornWork, "done" },
			ended: func(task string, _ int64, _ string) {
				mu.Lock()
				defer mu.Unlock()
				finish(task, id)
			},
			acked: func(end) {},
			started: func(_ *life, task string, _ int64) {
				mu.Lock()
				defer mu.Unlock()
				if at[task] == nil {
					at[task] = map[string]time.Time{}
				}
				at[task][id] = time.Now()
			},
			crashed: func(task string) {
				mu.Lock()
				defer mu.Unlock()
				finish(task, id)
			},
		})
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
			case <-time.After(500 * time.Millisecond):
			}
			spec := jobSpec{CPU: 7700, Mem: 2000, WorkMS: rebornWork.Milliseconds()}
			text, _ := json.Marshal(spec)
			id := fmt.Sprintf("%016x", rand.Uint64())
			body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []map[string]any{
				{"count": 3 + rand.Intn(4), "cpu": spec.CPU, "mem_mb": spec.Mem, "estimate_ms": spec.WorkMS},
			}})
			wg.Add(1)
			go func() {
				defer wg.Done()
				follow(record, d, id, 1+rand.Intn(machineCount), string(body), &mu, jobs, stop)
			}()
		}
	}()
	time.Sleep(5 * time.Second)
	for round := range rebornRounds {
		if trouble {
			cutOff(record, minions[round])
		}
		time.Sleep(10 * time.Second)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	states := map[string]int{}
	for _, j := range jobs {
		states[j.state]++
	}
	record.printf("jobs by last state: %v; overlaps: %d, the longest %.2f s", states, overlaps, longest.Seconds())
	fmt.Printf("jobs by last state: %v; overlaps: %d, the longest %.2f s\n", states, overlaps, longest.Seconds())
	if states["completed"] == 0 {
		return false, fmt.Errorf("no job was completed")
	}
	return overlaps > 0, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cutOff is one round: the next start at the minion gets no answer and is carried out lateBy later;
// the minion is cut off 0.1 s after it came, crashes behind the cut and starts again under its id.
func cutOff(record *recorder, m *minion) {
	var mu sync.Mutex
	taken := make(chan struct{})
	armed := true
	m.setLate(func(_ *life, path string, _ command) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if armed && path == "/run-start" {
			armed = false
			close(taken)
			return lateBy
		}
		return 0
	})
	select {
	case <-taken:
	case <-time.After(10 * time.Second):
		record.printf("no start at %s", m.id)
		return
	}
	time.Sleep(100 * time.Millisecond)
	m.setCut(true)
	record.printf("minion %s is cut off", m.id)
	time.Sleep(300 * time.Millisecond)
	m.crash()
	time.Sleep(500 * time.Millisecond)
	if err := m.boot(); err != nil {
		record.printf("minion %s does not boot: %v", m.id, err)
	}
	time.Sleep(cutTime - 800*time.Millisecond)
	m.setCut(false)
	record.printf("minion %s is no longer cut off", m.id)
}

// setLate sets which orders are carried out late.
func (m *minion) setLate(late func(l *life, path string, c command) time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late = late
}

// setCut cuts the minion off, or ends that: nothing reaches it and nothing that it sends arrives.
func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cut {
		m.cut = make(chan struct{})
		return
	}
	close(m.cut)
	m.cut = nil
}

// isCut returns a channel that is closed once the minion is no longer cut off, or nil.
func (m *minion) isCut() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// dropWhileCut keeps a request or an answer from arriving while the minion is cut off.
func (l *life) dropWhileCut(r *http.Request) {
	if l.m.isCut() == nil {
		return
	}
	select {
	case <-r.Context().Done():
	case <-l.quit:
	}
	panic(http.ErrAbortHandler)
}

// lostRuns tells the case of the runs that end with a crash.
func (m *minion) lostRuns(tasks string) {
	if m.crashed == nil {
		return
	}
	for _, row := range strings.Fields(tasks) {
		task, _, _ := strings.Cut(row, "/")
		m.crashed(task)
	}
}
