package stand3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// minion is a minion of the platform as PROTOCOL.md describes it. It guards its capacity.
// life is what a crash ends.
type minion struct {
	record   *recorder
	id       string
	service  string
	zone     string
	rack     string
	machine  string
	address  string
	controls []string
	// work returns how long a run of the work item takes and how it ends.
	work func(task string) (time.Duration, string)
	// late returns how much later an order is carried out that is left without an answer, or
	// zero for one that is answered at once. It may be nil.
	late func(l *life, path string, c command) time.Duration
	// ended is told each end that a life lists.
	ended func(task string, run int64, how string)
	// acked is told each end that ack_cursor reaches, started each start.
	acked   func(e end)
	started func(l *life, task string, run int64)

	// stopTime is how long a stop takes, at most stop_timeout_ms.
	stopTime time.Duration
	// crashed is told each work item that runs when the minion crashes. It may be nil.
	crashed func(task string)

	mu   sync.Mutex
	life *life
	// cut is open while the minion is cut off, and otherwise nil.
	cut chan struct{}
}

// delay returns how much later the order is carried out.
func (m *minion) delay(l *life, path string, c command) time.Duration {
	m.mu.Lock()
	late := m.late
	m.mu.Unlock()
	if late == nil {
		return 0
	}
	return late(l, path, c)
}

type life struct {
	m        *minion
	born     time.Time
	server   *http.Server
	quit     chan struct{}
	sequence int64

	mu       sync.Mutex
	dead     bool
	fence    int64
	deadline int64
	running  map[string]*running
	highest  map[string]int64
	ends     []end
	lastEnd  int64
	changed  chan struct{}
}

type running struct {
	run   int64
	cpu   int64
	mem   int64
	since time.Time
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
}

const (
	capacityCPU = 64000
	capacityMem = 131072
	maxHoldMS   = 10000
	heartbeat   = 1500 * time.Millisecond
)

// boot starts a life of the minion.
func (m *minion) boot() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	l := &life{m: m, born: time.Now(), quit: make(chan struct{}), running: map[string]*running{}, highest: map[string]int64{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Galenahead-Instance-Id", m.id) })
	mux.HandleFunc("POST /run-start", l.handler(l.start))
	mux.HandleFunc("POST /run-stop", l.handler(l.stop))
	mux.HandleFunc("POST /hold", l.handler(l.hold))
	mux.HandleFunc("POST /pace", l.handler(func(command) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	l.server = &http.Server{Handler: mux}
	m.mu.Lock()
	m.life = l
	m.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go l.sendHeartbeats()
	m.record.printf("minion %s boots, born %d", m.id, l.born.UnixMilli())
	return nil
}

// crash ends the life: nothing runs, nothing is sent, all channels are broken.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.life
	m.mu.Unlock()
	l.mu.Lock()
	l.dead = true
	lost := ""
	for task, r := range l.running {
		lost += fmt.Sprintf(" %s/%d", task, r.run)
	}
	l.mu.Unlock()
	close(l.quit)
	_ = l.server.Close()
	m.record.printf("minion %s crashes under%s", m.id, lost)
	m.lostRuns(lost)
}

// carryOutLate carries out an order later, on the life that is up then. The header that names
// the expected instance can't tell lives of one id apart.
func (m *minion) carryOutLate(path string, c command, delay time.Duration) {
	m.record.printf("minion %s: no answer to %s %s run %d token %d cursor %d; carried out in %s", m.id, path, c.Task, c.Run, c.FencingToken, c.AckCursor, delay)
	time.AfterFunc(delay, func() {
		m.mu.Lock()
		l := m.life
		m.mu.Unlock()
		status, body := 0, map[string]any{}
		switch path {
		case "/run-start":
			status, body = l.start(c)
		case "/run-stop":
			status, body = l.stop(c)
		case "/hold":
			c.WaitMS = 0
			status, body = l.hold(c)
		}
		m.record.printf("minion %s, born %d: carries out late %s %s run %d token %d cursor %d -> %d %v", m.id, l.born.UnixMilli(), path, c.Task, c.Run,
			c.FencingToken, c.AckCursor, status, body)
	})
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1000 }

type command struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	AckCursor    int64  `json:"ack_cursor"`
	WaitMS       int64  `json:"wait_ms"`
}

func (l *life) handler(handle func(command) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("Galenahead-Expected-Instance"); want != "" && want != l.m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if delay := l.m.delay(l, r.URL.Path, c); delay > 0 {
			l.m.carryOutLate(r.URL.Path, c, delay)
			select {
			case <-r.Context().Done():
			case <-l.quit:
			}
			panic(http.ErrAbortHandler)
		}
		l.dropWhileCut(r)
		status, body := handle(c)
		l.dropWhileCut(r)
		body["clock_ms"], body["born"] = l.clock(), l.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Galenahead-Instance-Id", l.m.id)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend takes the lease of a command. l.mu must be held.
func (l *life) extend(c command) {
	l.deadline = max(l.deadline, min(c.DeadlineMS, l.clock()+maxHoldMS))
}

// lapse ends everything once the lease has expired. l.mu must be held.
func (l *life) lapse() {
	if l.clock() <= l.deadline {
		return
	}
	for task := range l.running {
		l.end(task, "lapsed")
	}
}

// end lists an end. l.mu must be held.
func (l *life) end(task, how string) {
	r := l.running[task]
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], r.run)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, task, r.run, how})
	l.m.record.printf("minion %s: %s run %d ends %s", l.m.id, task, r.run, how)
	l.m.ended(task, r.run, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) start(c command) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if c.FencingToken < l.fence {
		return refused("fence")
	}
	l.fence = c.FencingToken
	l.lapse()
	var spec jobSpec
	if json.Unmarshal([]byte(c.Spec), &spec) != nil || c.Task == "" {
		return http.StatusBadRequest, map[string]any{}
	}
	if r := l.running[c.Task]; r != nil && r.run == c.Run {
		l.extend(c)
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= l.highest[c.Task] || l.running[c.Task] != nil {
		l.extend(c)
		return refused("old")
	}
	if c.DeadlineMS <= l.clock() {
		return refused("late")
	}
	var cpu, mem int64
	for _, r := range l.running {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu+spec.CPU > capacityCPU || mem+spec.Mem > capacityMem {
		l.extend(c)
		return refused("room")
	}
	l.extend(c)
	l.running[c.Task] = &running{run: c.Run, cpu: spec.CPU, mem: spec.Mem, since: time.Now()}
	l.m.record.printf("minion %s: %s run %d starts", l.m.id, c.Task, c.Run)
	l.m.started(l, c.Task, c.Run)
	d, how := l.m.work(c.Task)
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lapse()
		if r := l.running[c.Task]; !l.dead && r != nil && r.run == c.Run {
			l.end(c.Task, how)
		}
	})
	return http.StatusOK, map[string]any{}
}

func (l *life) stop(c command) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if c.FencingToken < l.fence {
		return refused("fence")
	}
	l.fence = c.FencingToken
	l.lapse()
	if r := l.running[c.Task]; r != nil && r.run <= c.Run {
		l.endStopped(c.Task, r)
	}
	l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	return http.StatusOK, map[string]any{}
}

// endStopped ends a run once its stop has taken stopTime. l.mu must be held.
func (l *life) endStopped(task string, r *running) {
	if l.m.stopTime == 0 {
		l.end(task, "stopped")
		return
	}
	time.AfterFunc(l.m.stopTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.dead && l.running[task] == r {
			l.end(task, "stopped")
		}
	})
}

func (l *life) hold(c command) (int, map[string]any) {
	limit := time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	for waited := false; ; {
		l.mu.Lock()
		if c.FencingToken < l.fence {
			l.mu.Unlock()
			return refused("fence")
		}
		l.fence = c.FencingToken
		if !waited {
			l.lapse()
			l.extend(c)
		}
		for len(l.ends) > 0 && l.ends[0].n <= c.AckCursor {
			l.m.acked(l.ends[0])
			l.ends = l.ends[1:]
		}
		if l.dead || len(l.ends) > 0 || c.WaitMS == 0 || waited {
			rows, ended := [][]any{}, [][]any{}
			for task, r := range l.running {
				rows = append(rows, []any{task, r.run, "", min(100, 50+time.Since(r.since).Milliseconds()/10), 0})
			}
			for _, e := range l.ends[:min(len(l.ends), 500)] {
				ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
			}
			l.mu.Unlock()
			return http.StatusOK, map[string]any{"running": rows, "ended": ended}
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waited = true
		case <-l.quit:
			waited = true
		}
	}
}

// sendHeartbeats reports the minion's state until the life ends.
func (l *life) sendHeartbeats() {
	preferred := ""
	for n := 0; ; n++ {
		if cut := l.m.isCut(); cut != nil {
			select {
			case <-cut:
			case <-l.quit:
				return
			}
		}
		l.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": l.m.service, "address": l.m.address, "zone": l.m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0}, "labels": []string{"a", l.m.rack},
			"clock_ms": l.clock(), "sequence": l.sequence, "born": l.born.UnixMilli(), "machine": l.m.machine,
		})
		targets := l.m.controls
		if preferred != "" {
			targets = append([]string{preferred}, targets...)
		}
		for k := range targets {
			addr := targets[0]
			if preferred == "" || k > 0 {
				addr = targets[(n+k)%len(targets)]
			}
			status, answer := call(http.MethodPost, addr, "", "/instances/"+l.m.id+"/heartbeat", string(body))
			if status == http.StatusOK {
				var named struct {
					Address string `json:"heartbeat_address"`
				}
				if json.Unmarshal([]byte(answer), &named) == nil && named.Address != "" {
					preferred = named.Address
				}
				break
			}
			preferred = ""
		}
		select {
		case <-l.quit:
			return
		case <-time.After(heartbeat):
		}
	}
}
