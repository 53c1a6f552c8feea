package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run. It is written to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	runs  []*run
}

// run is a work item that a minion has begun on an order.
type run struct {
	task, minion string
	boot         int
	number       int64
	begun, ended time.Time
	how          string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) begin(task, minion string, boot int, number int64) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &run{task: task, minion: minion, boot: boot, number: number, begun: time.Now()}
	r.runs = append(r.runs, x)
	r.addLocked("run begins: %s run %d on %s boot %d", task, number, minion, boot)
	return x
}

func (r *record) end(x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !x.ended.IsZero() {
		return
	}
	x.ended, x.how = time.Now(), how
	r.addLocked("run ends: %s run %d on %s boot %d: %s", x.task, x.number, x.minion, x.boot, how)
}

// runsOf returns copies of the runs of the work items of a job so far.
func (r *record) runsOf(job string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.runs {
		if len(x.task) > len(job) && x.task[:len(job)+1] == job+"." {
			out = append(out, *x)
		}
	}
	return out
}

// overlap is two runs of one work item at the same time.
type overlap struct {
	a, b run
	took time.Duration
}

// overlaps returns the pairs of runs of one work item that were at work at the same time.
func (r *record) overlaps() []overlap {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []overlap
	end := func(x *run) time.Time {
		if x.ended.IsZero() {
			return time.Now()
		}
		return x.ended
	}
	for i, a := range r.runs {
		for _, b := range r.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := b.begun, end(a)
			if end(b).Before(to) {
				to = end(b)
			}
			if d := to.Sub(from); d > 0 {
				out = append(out, overlap{*a, *b, d})
			}
		}
	}
	return out
}
