package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of tiraje-lima; a case may take those of kitakaze-sched.
var (
	maxHold     = 6 * time.Second
	stopTimeout = 400 * time.Millisecond
)

const heartbeat = 1500 * time.Millisecond

// minion is a machine's minion. It may be started again under its id.
type minion struct {
	id, service, addr, machine, rack string
	controls                         []string
	rec                              *record
	// onStart is called after each run that begins, without locks.
	onStart func(m *minion, boot int, task string, run int64)
	// first is the control daemon that gets the first copy of a leave, or empty.
	first string
	// firstReport is how long after its start a boot sends its first status report.
	firstReport time.Duration

	mu    sync.Mutex
	boots int
	life  *life
}

// life is one boot of a minion.
type life struct {
	m        *minion
	boot     int
	born     time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	state    string
	sequence int64
	fence    int64
	deadline int64
	runs     map[string]*atWork
	highest  map[string]int64
	ends     [][]any
	count    int64
	hbAddr   string
	changed  chan struct{}
	used     int64
	// cut is set while the minion is cut off from all machines of the system: what is sent
	// to it and what it sends is lost. It runs on.
	cut bool
	// heldAt is when the last call to hold arrived.
	heldAt time.Time
}

type atWork struct {
	number int64
	cpu    int64
	begun  time.Time
	timer  *time.Timer
	rec    *run
}

func (m *minion) start() error {
	ln, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.mu.Lock()
	m.boots++
	l := &life{
		m: m, boot: m.boots, born: time.Now(), ctx: ctx, cancel: cancel, listener: ln, state: "ready",
		runs: map[string]*atWork{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	m.life = l
	m.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", l.handle(l.runStart))
	mux.HandleFunc("POST /run-stop", l.handle(l.runStop))
	mux.HandleFunc("POST /hold", l.handle(l.hold))
	mux.HandleFunc("POST /pace", l.handle(func(command) (int, map[string]any) { return 200, map[string]any{} }))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	l.server = &http.Server{Handler: mux}
	go func() { _ = l.server.Serve(ln) }()
	go l.beat()
	go l.watchLease()
	m.rec.add("minion %s starts, boot %d, born %d, at %s", m.id, l.boot, l.born.UnixMilli(), m.addr)
	return nil
}

func (m *minion) current() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// end ends the present boot at once. All its runs end with it.
func (m *minion) end(why string) {
	l := m.current()
	l.cancel()
	_ = l.server.Close()
	l.mu.Lock()
	for _, w := range l.runs {
		w.timer.Stop()
		m.rec.end(w.rec, why)
	}
	l.runs = map[string]*atWork{}
	l.mu.Unlock()
	m.rec.add("minion %s ends, boot %d: %s", m.id, l.boot, why)
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

type command struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func (l *life) handle(f func(command) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(400)
			return
		}
		if id := r.Header.Get("Galenahead-Expected-Instance"); id != "" && id != l.m.id {
			w.WriteHeader(421)
			return
		}
		if l.isCut() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, body := f(c)
		if l.isCut() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if l.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		body["clock_ms"], body["born"] = l.clock(), l.born.UnixMilli()
		b, _ := json.Marshal(body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(b)
	}
}

func (l *life) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *life) setCut(cut bool) {
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
	l.m.rec.add("minion %s boot %d is cut off: %t", l.m.id, l.boot, cut)
}

// extend extends the lease. l.mu must be held.
func (l *life) extend(deadline int64) {
	if most := l.clock() + maxHold.Milliseconds(); deadline > most {
		l.m.rec.add("minion %s boot %d: the lease until %d is shortened to %d", l.m.id, l.boot, deadline, most)
	}
	if deadline > 0 {
		l.deadline = max(l.deadline, min(deadline, l.clock()+maxHold.Milliseconds()))
	}
}

func conflict(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }

func (l *life) runStart(c command) (int, map[string]any) {
	l.mu.Lock()
	if c.Fence < l.fence {
		l.mu.Unlock()
		return conflict("fence")
	}
	l.fence = c.Fence
	w := l.runs[c.Task]
	switch {
	case w != nil && w.number == c.Run:
		l.extend(c.Deadline)
		l.mu.Unlock()
		return 200, map[string]any{}
	case w != nil || c.Run <= l.highest[c.Task]:
		l.extend(c.Deadline)
		l.mu.Unlock()
		return conflict("old")
	case c.Deadline <= l.clock():
		l.mu.Unlock()
		return conflict("late")
	}
	l.extend(c.Deadline)
	cpu, took := parseSpec(c.Spec)
	if l.used+cpu > minionCPU {
		l.mu.Unlock()
		return conflict("room")
	}
	l.used += cpu
	w = &atWork{number: c.Run, cpu: cpu, begun: time.Now(), rec: l.m.rec.begin(c.Task, l.m.id, l.boot, c.Run)}
	l.runs[c.Task] = w
	if took > 0 {
		w.timer = time.AfterFunc(took, func() { l.finish(c.Task, c.Run, "done") })
	} else {
		w.timer = time.AfterFunc(time.Hour, func() {})
	}
	l.mu.Unlock()
	if l.m.onStart != nil {
		go l.m.onStart(l.m, l.boot, c.Task, c.Run)
	}
	return 200, map[string]any{}
}

// parseSpec returns the processor need and the duration of a work item: "cpu=N ms=N". A
// duration of 0 stands for a work item that lasts.
func parseSpec(spec string) (cpu int64, took time.Duration) {
	for _, f := range strings.Fields(spec) {
		k, v, _ := strings.Cut(f, "=")
		n, _ := strconv.ParseInt(v, 10, 64)
		switch k {
		case "cpu":
			cpu = n
		case "ms":
			took = time.Duration(n) * time.Millisecond
		}
	}
	return cpu, took
}

func (l *life) finish(task string, number int64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.runs[task]
	if w == nil || w.number != number || l.ctx.Err() != nil {
		return
	}
	w.timer.Stop()
	delete(l.runs, task)
	l.used -= w.cpu
	l.highest[task] = max(l.highest[task], number)
	l.count++
	l.ends = append(l.ends, []any{l.count, task, number, how, ""})
	l.m.rec.end(w.rec, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) runStop(c command) (int, map[string]any) {
	l.mu.Lock()
	if c.Fence < l.fence {
		l.mu.Unlock()
		return conflict("fence")
	}
	l.fence = c.Fence
	l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	l.mu.Unlock()
	time.AfterFunc(stopTimeout/4, func() { l.finish(c.Task, c.Run, "stopped") })
	return 200, map[string]any{}
}

func (l *life) hold(c command) (int, map[string]any) {
	until := time.Now().Add(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	l.mu.Lock()
	if c.Fence < l.fence {
		l.mu.Unlock()
		return conflict("fence")
	}
	l.fence, l.heldAt = c.Fence, time.Now()
	l.extend(c.Deadline)
	for len(l.ends) > 0 && l.ends[0][0].(int64) <= c.Cursor {
		l.ends = l.ends[1:]
	}
	for len(l.ends) == 0 && time.Now().Before(until) && l.ctx.Err() == nil {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-l.ctx.Done():
		case <-time.After(time.Until(until)):
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	running, ended := [][]any{}, append([][]any{}, l.ends[:min(500, len(l.ends))]...)
	for task, w := range l.runs {
		percent := min(100, int(time.Since(w.begun).Milliseconds())/5)
		running = append(running, []any{task, w.number, "", percent, 0})
	}
	return 200, map[string]any{"running": running, "ended": ended}
}

// watchLease ends everything that runs when the lease expires.
func (l *life) watchLease() {
	for l.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		l.mu.Lock()
		var lapsed []string
		if l.clock() > l.deadline {
			for task := range l.runs {
				lapsed = append(lapsed, task)
			}
		}
		numbers := make([]int64, len(lapsed))
		for i, task := range lapsed {
			numbers[i] = l.runs[task].number
		}
		l.mu.Unlock()
		for i, task := range lapsed {
			l.finish(task, numbers[i], "lapsed")
		}
	}
}

// beat sends status reports, at once when the state changes.
func (l *life) beat() {
	select {
	case <-l.ctx.Done():
	case <-time.After(l.m.firstReport):
	}
	for l.ctx.Err() == nil {
		l.report()
		select {
		case <-l.ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// setState changes the state and reports it. It returns once the report is confirmed.
func (l *life) setState(state string) bool {
	l.mu.Lock()
	l.state = state
	l.mu.Unlock()
	return l.report()
}

func (l *life) report() bool {
	l.mu.Lock()
	l.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,`+
		`"capacity":{"cpu":%d,"mem_mb":65536,"gpu":0},"labels":["a",%q],"clock_ms":%d,"sequence":%d,"born":%d}`,
		l.m.service, l.m.addr, l.state, minionCPU, l.m.rack, l.clock(), l.sequence, l.born.UnixMilli())
	l.mu.Unlock()
	return l.call("heartbeat", body)
}

// call sends a call to a control daemon, and to the next one after a failure or a second
// without a response. It reports whether one confirmed it.
func (l *life) call(action, body string) bool {
	l.mu.Lock()
	addrs := append([]string{}, l.m.controls...)
	if l.hbAddr != "" {
		addrs = append([]string{l.hbAddr}, addrs...)
	}
	l.mu.Unlock()
	if action == "leave" && l.m.first != "" {
		addrs = append([]string{l.m.first}, addrs...)
	}
	for _, addr := range addrs {
		if l.ctx.Err() != nil {
			return false
		}
		if l.isCut() {
			time.Sleep(time.Second)
			continue
		}
		status, answer := post(l.ctx, addr, "/instances/"+l.m.id+"/"+action, body, time.Second)
		if action != "heartbeat" || status != 200 {
			l.m.rec.add("minion %s boot %d: %s to %s: answer %d", l.m.id, l.boot, action, addr, status)
		}
		if status == 200 {
			var a struct {
				Heartbeat string `json:"heartbeat_address"`
			}
			if json.Unmarshal(answer, &a) == nil && a.Heartbeat != "" {
				l.mu.Lock()
				l.hbAddr = a.Heartbeat
				l.mu.Unlock()
			}
			return true
		}
		l.mu.Lock()
		if addr == l.hbAddr {
			l.hbAddr = ""
		}
		l.mu.Unlock()
	}
	return false
}

var plain = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post sends one request and follows redirects as the pages say. Status 0 stands for no
// response in time.
func post(ctx context.Context, addr, path, body string, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := plain.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, b
}
