package galenahandover

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	capacityCPU       = 64000
	capacityMem       = 131072
	maxLease          = 10 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	// workTime is how long each run takes.
	workTime = 5200 * time.Millisecond
)

// instance stands in for an instance that executes work items.
type instance struct {
	id, address string
	controls    []string
	runs        *runLedger

	mu sync.Mutex
	// incarnation is nil while the instance is down.
	incarnation *incarnation
	// cut is open while nothing gets to the instance or from it, and otherwise nil.
	cut chan struct{}
	// late is how much later the next start is executed that gets no response, and arrived is
	// closed when it has come. They are zero if starts get one.
	late    time.Duration
	arrived chan struct{}
}

// incarnation is what a crash of the instance ends.
type incarnation struct {
	in      *instance
	address string
	born    time.Time
	server  *http.Server
	quit    chan struct{}

	mu       sync.Mutex
	dead     bool
	fence    int64
	deadline int64
	running  map[string]int64
	highest  map[string]int64
	ends     []runEnd
	lastEnd  int64
	changed  chan struct{}
}

type runEnd struct {
	sequence int64
	item     string
	run      int64
	how      string
}

// command is a call of the owner.
type command struct {
	Item       string `json:"task"`
	Run        int64  `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Cursor     int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// boot starts an incarnation.
func (in *instance) boot() error {
	ln, err := net.Listen("tcp", in.address)
	if err != nil {
		return err
	}
	inc := &incarnation{
		in: in, address: ln.Addr().String(), born: time.Now(), quit: make(chan struct{}),
		running: map[string]int64{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Galenahead-Instance-Id", in.id) })
	mux.HandleFunc("POST /run-start", inc.handler(inc.start))
	mux.HandleFunc("POST /run-stop", inc.handler(inc.stop))
	mux.HandleFunc("POST /hold", inc.handler(inc.poll))
	mux.HandleFunc("POST /pace", inc.handler(func(command) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	inc.server = &http.Server{Handler: mux}
	in.mu.Lock()
	in.address, in.incarnation = inc.address, inc
	in.mu.Unlock()
	go func() { _ = inc.server.Serve(ln) }()
	go inc.run()
	return nil
}

// crash ends the incarnation and what runs on it.
func (in *instance) crash() {
	in.mu.Lock()
	inc := in.incarnation
	in.incarnation = nil
	in.mu.Unlock()
	inc.mu.Lock()
	inc.dead = true
	for item := range inc.running {
		in.runs.end(item, in.id)
	}
	inc.mu.Unlock()
	close(inc.quit)
	_ = inc.server.Close()
}

// delayNextStart lets the next start get no response, and be executed later by whatever incarnation
// there is by then. It returns a channel that is closed when the start has arrived.
func (in *instance) delayNextStart(late time.Duration) <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.late, in.arrived = late, make(chan struct{})
	return in.arrived
}

// takeDelay returns how much later the start is executed, or zero if that is at once.
func (in *instance) takeDelay() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	late := in.late
	if late > 0 {
		in.late = 0
		close(in.arrived)
	}
	return late
}

func (in *instance) startLate(c command, late time.Duration) {
	time.Sleep(late)
	in.mu.Lock()
	inc := in.incarnation
	in.mu.Unlock()
	if inc != nil {
		inc.start(c)
	}
}

func (in *instance) setCut(cut bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if cut {
		in.cut = make(chan struct{})
		return
	}
	close(in.cut)
	in.cut = nil
}

// untilCutEnds returns a channel that is closed once the instance is no longer cut off, or nil.
func (in *instance) untilCutEnds() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cut
}

// drop keeps a request or a response from arriving.
func (inc *incarnation) drop(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-inc.quit:
	}
	panic(http.ErrAbortHandler)
}

func (inc *incarnation) handler(handle func(command) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("Galenahead-Expected-Instance"); want != "" && want != inc.in.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/run-start" {
			if late := inc.in.takeDelay(); late > 0 {
				go inc.in.startLate(c, late)
				inc.drop(r)
			}
		}
		if inc.in.untilCutEnds() != nil {
			inc.drop(r)
		}
		status, body := handle(c)
		if inc.in.untilCutEnds() != nil {
			inc.drop(r)
		}
		body["clock_ms"], body["born"] = inc.clock(), inc.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Galenahead-Instance-Id", inc.in.id)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (inc *incarnation) clock() int64 { return time.Since(inc.born).Milliseconds() + 1000 }

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// fenced takes the fencing token of a command, and reports whether a higher one was taken before.
func (inc *incarnation) fenced(c command) bool {
	if c.Fence < inc.fence {
		return true
	}
	inc.fence = c.Fence
	if inc.clock() > inc.deadline {
		for item := range inc.running {
			inc.end(item, "lapsed")
		}
	}
	return false
}

func (inc *incarnation) extendLease(c command) {
	inc.deadline = max(inc.deadline, min(c.DeadlineMS, inc.clock()+maxLease.Milliseconds()))
}

func (inc *incarnation) end(item, how string) {
	run := inc.running[item]
	delete(inc.running, item)
	inc.highest[item] = max(inc.highest[item], run)
	inc.lastEnd++
	inc.ends = append(inc.ends, runEnd{inc.lastEnd, item, run, how})
	inc.in.runs.end(item, inc.in.id)
	close(inc.changed)
	inc.changed = make(chan struct{})
}

func (inc *incarnation) start(c command) (int, map[string]any) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	running, atWork := inc.running[c.Item]
	switch {
	case inc.dead:
		return http.StatusServiceUnavailable, map[string]any{}
	case inc.fenced(c):
		return refuse("fence")
	case atWork && running == c.Run:
		inc.extendLease(c)
		return http.StatusOK, map[string]any{}
	case atWork || c.Run <= inc.highest[c.Item]:
		inc.extendLease(c)
		return refuse("old")
	case c.DeadlineMS <= inc.clock():
		return refuse("late")
	}
	inc.extendLease(c)
	inc.running[c.Item] = c.Run
	inc.in.runs.begin(c.Item, inc.in.id)
	time.AfterFunc(workTime, func() { inc.finish(c) })
	return http.StatusOK, map[string]any{}
}

// finish ends a run as done, unless its lease has expired.
func (inc *incarnation) finish(c command) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if run, ok := inc.running[c.Item]; inc.dead || !ok || run != c.Run {
		return
	}
	how := "done"
	if inc.clock() > inc.deadline {
		how = "lapsed"
	}
	inc.end(c.Item, how)
}

func (inc *incarnation) stop(c command) (int, map[string]any) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.dead {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if inc.fenced(c) {
		return refuse("fence")
	}
	if run, ok := inc.running[c.Item]; ok && run <= c.Run {
		inc.end(c.Item, "stopped")
	}
	inc.highest[c.Item] = max(inc.highest[c.Item], c.Run)
	return http.StatusOK, map[string]any{}
}

func (inc *incarnation) poll(c command) (int, map[string]any) {
	limit := time.After(time.Duration(c.WaitMS) * time.Millisecond)
	for first := true; ; first = false {
		inc.mu.Lock()
		if inc.fenced(c) {
			inc.mu.Unlock()
			return refuse("fence")
		}
		if first {
			inc.extendLease(c)
		}
		for len(inc.ends) > 0 && inc.ends[0].sequence <= c.Cursor {
			inc.ends = inc.ends[1:]
		}
		if inc.dead || len(inc.ends) > 0 || c.WaitMS == 0 {
			running, ended := [][]any{}, [][]any{}
			for item, run := range inc.running {
				running = append(running, []any{item, run, "", 100, 0})
			}
			for _, e := range inc.ends {
				ended = append(ended, []any{e.sequence, e.item, e.run, e.how, ""})
			}
			inc.mu.Unlock()
			return http.StatusOK, map[string]any{"running": running, "ended": ended}
		}
		changed := inc.changed
		inc.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			c.WaitMS = 0
		case <-inc.quit:
			c.WaitMS = 0
		}
	}
}

// run sends heartbeats until the incarnation ends.
func (inc *incarnation) run() {
	for sequence := 1; ; sequence++ {
		if cut := inc.in.untilCutEnds(); cut != nil {
			select {
			case <-cut:
			case <-inc.quit:
				return
			}
		}
		body, _ := json.Marshal(map[string]any{
			"service": "desk", "address": inc.address, "zone": "sapporo", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0}, "labels": []string{},
			"clock_ms": inc.clock(), "sequence": sequence, "born": inc.born.UnixMilli(), "machine": "m-" + inc.in.id,
		})
		for _, addr := range inc.in.controls {
			if status, _ := call(http.MethodPost, addr, "", "/instances/"+inc.in.id+"/heartbeat", string(body)); status == http.StatusOK {
				break
			}
		}
		select {
		case <-inc.quit:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// runLedger knows what runs where.
type runLedger struct {
	mu sync.Mutex
	// since holds when the present run of each work item began, by instance.
	since map[string]map[string]time.Time
	// twice describes the runs of one work item that overlapped.
	twice []string
	// began counts the runs of each work item.
	began map[string]int
}

// stopTime is longer than a stop takes that ends an earlier run as soon as it is listed.
const stopTime = 300 * time.Millisecond

func (l *runLedger) begin(item, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since[item] == nil {
		l.since[item] = map[string]time.Time{}
	}
	l.since[item][id] = time.Now()
	l.began[item]++
}

func (l *runLedger) end(item, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := l.since[item][id]
	delete(l.since[item], id)
	for other, since := range l.since[item] {
		if since.Before(began) {
			since = began
		}
		if overlap := time.Since(since); overlap >= stopTime {
			l.twice = append(l.twice, fmt.Sprintf("%s ran on %s and on %s for %.2f s", item, id, other, overlap.Seconds()))
		}
	}
}
