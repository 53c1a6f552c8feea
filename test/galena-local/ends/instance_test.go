package ends

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	capacityCPU = 64000
	capacityMem = 131072
	maxHoldMS   = 10000
	heartbeat   = 1500 * time.Millisecond
)

// instance is an instance of the service that runs work items, as the platform
// describes it. It guards its capacity.
type instance struct {
	d       *deployment
	id      string
	zone    string
	machine string
	address string
	server  *http.Server
	ln      net.Listener
	born    time.Time
	quit    chan struct{}

	mu       sync.Mutex
	fence    int64
	deadline int64
	running  map[string]*running
	highest  map[string]int64
	ends     []end
	lastEnd  int64
	sequence int64
	changed  chan struct{}
}

type running struct {
	run   int64
	spec  spec
	since time.Time
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// spec is the text that a caller submits. It says what a work item needs.
type spec struct {
	CPU    int64 `json:"cpu"`
	Mem    int64 `json:"mem"`
	WorkMS int64 `json:"work_ms"`
	Long   bool  `json:"long"`
}

// item is what all instances have seen of one work item.
type item struct {
	on    string
	run   int64
	noted bool
}

func newInstance(d *deployment, i int) *instance {
	ln, err := net.Listen("tcp", d.ip(110+i)+":0")
	if err != nil {
		d.t.Fatal(err)
	}
	in := &instance{
		d: d, id: fmt.Sprintf("i-%08x", 16+i), zone: zone(i + 1), machine: fmt.Sprintf("m-%05x", i+1), address: ln.Addr().String(), ln: ln,
		born: time.Now(), quit: make(chan struct{}), running: map[string]*running{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Galenahead-Instance-Id", in.id) })
	mux.HandleFunc("POST /run-start", in.handler(in.start))
	mux.HandleFunc("POST /run-stop", in.handler(in.stop))
	mux.HandleFunc("POST /hold", in.handler(in.hold))
	mux.HandleFunc("POST /pace", in.handler(func(command) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	in.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go in.run()
	return in
}

func (in *instance) run() { _ = in.server.Serve(in.ln) }

func (in *instance) close() {
	close(in.quit)
	_ = in.server.Close()
}

// crash ends everything that runs, and starts the instance again under its id.
func (in *instance) crash() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for task := range in.running {
		in.end(task, "lost in a crash")
	}
	in.fence, in.deadline, in.lastEnd, in.sequence = 0, 0, 0, 0
	in.highest, in.ends, in.born = map[string]int64{}, nil, time.Now()
}

func (in *instance) clock() int64 { return time.Since(in.born).Milliseconds() + 1000 }

type command struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	AckCursor    int64  `json:"ack_cursor"`
	WaitMS       int64  `json:"wait_ms"`
}

func (in *instance) handler(handle func(command) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("Galenahead-Expected-Instance"); want != "" && want != in.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		in.mu.Lock()
		born := in.born
		in.mu.Unlock()
		status, body := handle(c)
		in.mu.Lock()
		body["clock_ms"], body["born"] = in.clock(), in.born.UnixMilli()
		crashed := in.born != born
		in.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Galenahead-Instance-Id", in.id)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend takes the lease of a command. in.mu must be held.
func (in *instance) extend(c command) {
	in.deadline = max(in.deadline, min(c.DeadlineMS, in.clock()+maxHoldMS))
}

// lapse ends everything once the lease has expired. in.mu must be held.
func (in *instance) lapse() {
	if in.clock() <= in.deadline {
		return
	}
	for task := range in.running {
		in.end(task, "lapsed")
	}
}

// end lists an end. in.mu must be held.
func (in *instance) end(task, how string) {
	r := in.running[task]
	delete(in.running, task)
	in.highest[task] = max(in.highest[task], r.run)
	in.lastEnd++
	in.ends = append(in.ends, end{in.lastEnd, task, r.run, how})
	in.d.itemEnded(in.id, task, r.run, how)
	close(in.changed)
	in.changed = make(chan struct{})
}

func (in *instance) start(c command) (int, map[string]any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.FencingToken < in.fence {
		return refused("fence")
	}
	in.fence = c.FencingToken
	in.lapse()
	var s spec
	if json.Unmarshal([]byte(c.Spec), &s) != nil || c.Task == "" {
		return http.StatusBadRequest, map[string]any{}
	}
	r := in.running[c.Task]
	if r != nil && r.run == c.Run {
		in.extend(c)
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= in.highest[c.Task] || r != nil {
		in.extend(c)
		return refused("old")
	}
	if c.DeadlineMS <= in.clock() {
		return refused("late")
	}
	var cpu, mem int64
	for _, r := range in.running {
		cpu, mem = cpu+r.spec.CPU, mem+r.spec.Mem
	}
	in.extend(c)
	if cpu+s.CPU > capacityCPU || mem+s.Mem > capacityMem {
		return refused("room")
	}
	in.running[c.Task] = &running{run: c.Run, spec: s, since: time.Now()}
	in.d.itemStarted(in.id, c.Task, c.Run)
	if !s.Long {
		time.AfterFunc(time.Duration(s.WorkMS)*time.Millisecond, func() {
			in.mu.Lock()
			defer in.mu.Unlock()
			in.lapse()
			if r := in.running[c.Task]; r != nil && r.run == c.Run {
				in.end(c.Task, "done")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

func (in *instance) stop(c command) (int, map[string]any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.FencingToken < in.fence {
		return refused("fence")
	}
	in.fence = c.FencingToken
	in.lapse()
	if r := in.running[c.Task]; r != nil && r.run <= c.Run {
		in.end(c.Task, "stopped")
	}
	in.highest[c.Task] = max(in.highest[c.Task], c.Run)
	return http.StatusOK, map[string]any{}
}

func (in *instance) hold(c command) (int, map[string]any) {
	limit := time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	in.mu.Lock()
	born := in.born
	in.mu.Unlock()
	for waited := false; ; {
		in.mu.Lock()
		if in.born != born {
			// The call ended with the crash. Its cursor counts ends of before.
			in.mu.Unlock()
			return http.StatusServiceUnavailable, map[string]any{}
		}
		if c.FencingToken < in.fence {
			in.mu.Unlock()
			return refused("fence")
		}
		in.fence = c.FencingToken
		if !waited {
			in.lapse()
			in.extend(c)
		}
		for len(in.ends) > 0 && in.ends[0].n <= c.AckCursor {
			in.d.endNoted(in.ends[0])
			in.ends = in.ends[1:]
		}
		if len(in.ends) > 0 || c.WaitMS == 0 || waited {
			rows, ended := [][]any{}, [][]any{}
			for task, r := range in.running {
				rows = append(rows, []any{task, r.run, "", min(100, 50+time.Since(r.since).Milliseconds()/10), 0})
			}
			for _, e := range in.ends[:min(len(in.ends), 500)] {
				ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
			}
			in.mu.Unlock()
			return http.StatusOK, map[string]any{"running": rows, "ended": ended}
		}
		changed := in.changed
		in.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waited = true
		case <-in.quit:
			waited = true
		}
	}
}

// loop reports the instance's state, and ends what has no lease, until the instance ends.
func (in *instance) loop() {
	var targets []string
	for i := 1; i <= controls; i++ {
		targets = append(targets, in.d.address(i, "operator"))
	}
	preferred, next := "", time.Now()
	for {
		if time.Now().After(next) {
			preferred = in.beat(preferred, targets)
			next = time.Now().Add(heartbeat)
		}
		in.mu.Lock()
		in.lapse()
		in.mu.Unlock()
		select {
		case <-in.quit:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// beat sends one heartbeat. It returns the address for the next one, if one was named.
func (in *instance) beat(preferred string, targets []string) string {
	in.mu.Lock()
	in.sequence++
	n := in.sequence
	body, _ := json.Marshal(map[string]any{
		"service": "desk", "address": in.address, "zone": in.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0}, "labels": []string{"a", "r" + in.zone},
		"clock_ms": in.clock(), "sequence": n, "born": in.born.UnixMilli(), "machine": in.machine,
	})
	in.mu.Unlock()
	if preferred != "" {
		targets = append([]string{preferred}, targets...)
	}
	for k := range targets {
		address := targets[0]
		if preferred == "" || k > 0 {
			address = targets[(int(n)+k)%len(targets)]
		}
		status, answer := call(http.MethodPost, address, "/instances/"+in.id+"/heartbeat", string(body))
		if status != http.StatusOK {
			continue
		}
		var named struct {
			Address string `json:"heartbeat_address"`
		}
		if json.Unmarshal([]byte(answer), &named) == nil && named.Address != "" {
			in.d.mu.Lock()
			in.d.owner = named.Address
			in.d.mu.Unlock()
			return named.Address
		}
		return address
	}
	return ""
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// itemStarted checks a start against what the callers have asked for.
func (d *deployment) itemStarted(instance, task string, run int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteLocked("%s: %s run %d starts", instance, task, run)
	it := d.items[task]
	if it == nil {
		it = &item{}
		d.items[task] = it
	}
	j := d.jobs[jobOf(task)]
	switch {
	case j == nil:
		d.breakLocked("%s starts, of a job that nobody has submitted", task)
	case it.on != "":
		d.breakLocked("%s run %d starts on %s while run %d is on %s", task, run, instance, it.run, it.on)
	case it.noted:
		d.breakLocked("%s run %d starts after an end as done was noted", task, run)
	case !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelTime:
		d.breakLocked("%s run %d starts %s after the cancel was acknowledged", task, run, time.Since(j.cancelled))
	case j.rejected:
		d.breakLocked("%s run %d starts though the job was rejected", task, run)
	}
	it.on, it.run = instance, run
}

func (d *deployment) itemEnded(instance, task string, run int64, how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteLocked("%s: %s run %d ends %s", instance, task, run, how)
	d.counts["ends "+how]++
	it := d.items[task]
	if it.on == instance && it.run == run {
		it.on = ""
	}
}

func (d *deployment) endNoted(e end) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.how == "done" {
		d.noteLocked("%s run %d: end %d noted", e.task, e.run, e.n)
		d.items[e.task].noted = true
	}
}
