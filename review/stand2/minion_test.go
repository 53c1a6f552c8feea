package stand2

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// minion is a stand-in of a minion as PROTOCOL.md describes it. It is a process of its own.
// A work item works for as many milliseconds as its spec says ("work=MS"), or, with "work=0",
// until it is stopped; with "fail=MS" it fails then.
type minion struct {
	id, service, zone, listen, advertised string
	controls                              []string
	via                                   map[string]string
	labels                                []string
	cpu, mem                              int64
	heartbeat, stopTime, maxHold          time.Duration
	drain, extra, afterLeave              time.Duration
	born                                  time.Time
	events                                *os.File
	// quiet records only how many runs have ended as done, each second.
	quiet     bool
	doneCount int64

	mu       sync.Mutex
	state    string
	sequence int64
	fence    int64
	deadline int64
	runs     map[string]*run
	highest  map[string]int64
	ends     [][]any
	endCount int64
	changed  chan struct{}
	next     string
}

type run struct {
	number    int64
	cpu       int64
	started   time.Time
	work      time.Duration
	fails     bool
	stopping  bool
	saved     string
	stoppedAt time.Time
}

type command struct {
	Task           string `json:"task"`
	Run            int64  `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMS     int64  `json:"deadline_ms"`
	FencingToken   int64  `json:"fencing_token"`
	LastCheckpoint string `json:"last_checkpoint"`
	AckCursor      int64  `json:"ack_cursor"`
	WaitMS         int64  `json:"wait_ms"`
	late           bool
}

func runMinion(args []string) {
	f := flag.NewFlagSet("minion", flag.ExitOnError)
	m := &minion{runs: map[string]*run{}, highest: map[string]int64{}, state: "ready", changed: make(chan struct{}), born: time.Now(), via: map[string]string{}}
	var controls, events, via, labels string
	f.StringVar(&m.id, "id", "", "")
	f.StringVar(&m.service, "service", "", "")
	f.StringVar(&m.zone, "zone", "zone-a", "")
	f.StringVar(&m.listen, "listen", "", "")
	f.StringVar(&m.advertised, "address", "", "")
	f.StringVar(&controls, "controls", "", "")
	f.StringVar(&via, "via", "", "")
	f.StringVar(&labels, "labels", "big,r1", "")
	f.StringVar(&events, "events", "", "")
	f.BoolVar(&m.quiet, "quiet", false, "")
	f.Int64Var(&m.cpu, "cpu", 4000, "")
	f.Int64Var(&m.mem, "mem", 8000, "")
	f.DurationVar(&m.heartbeat, "heartbeat", 1500*time.Millisecond, "")
	f.DurationVar(&m.stopTime, "stop-time", 100*time.Millisecond, "")
	f.DurationVar(&m.maxHold, "max-hold", 10*time.Second, "")
	f.DurationVar(&m.drain, "drain", 2*time.Second, "")
	f.DurationVar(&m.extra, "extra", 500*time.Millisecond, "")
	f.DurationVar(&m.afterLeave, "after-leave", 3*time.Second, "")
	_ = f.Parse(args)
	m.controls, m.labels = strings.Split(controls, ","), strings.Split(labels, ",")
	for _, pair := range strings.Split(via, ",") {
		if addr, proxy, ok := strings.Cut(pair, "="); ok {
			m.via[addr] = proxy
		}
	}
	if m.advertised == "" {
		m.advertised = m.listen
	}
	var err error
	if m.events, err = os.OpenFile(events, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		fatal(err)
	}
	l, err := net.Listen("tcp", m.listen)
	if err != nil {
		fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.handle(m.start))
	mux.HandleFunc("POST /run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /hold", m.handle(m.hold))
	mux.HandleFunc("POST /pace", m.handle(m.pace))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.event("up", "", 0, "")
	go func() { fatal(http.Serve(l, mux)) }()
	go m.clockwork()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	ticks := time.NewTicker(m.heartbeat)
	m.beat()
	for {
		select {
		case <-ticks.C:
			m.beat()
		case <-term:
			m.leave()
			return
		}
	}
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(3)
}

// event records what this minion does. One line is one write.
func (m *minion) event(what, task string, number int64, how string) {
	if m.quiet && task != "" {
		if how == "done" {
			m.doneCount++
		}
		return
	}
	b, _ := json.Marshal(event{T: time.Now().UnixMicro(), Minion: m.id, Born: m.born.UnixMilli(), What: what, Task: task, Run: number, How: how})
	_, _ = m.events.Write(append(b, '\n'))
}

// clock is the minion's own steady clock.
func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1000 }

func (m *minion) handle(h func(c command) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("Galenahead-Expected-Instance"); id != "" && id != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := h(c)
		body["clock_ms"], body["born"] = m.clock(), m.born.UnixMilli()
		b, _ := json.Marshal(body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(b)
	}
}

// takes checks the fencing token. m.mu must be held.
func (m *minion) takes(c command) bool {
	if c.FencingToken < m.fence {
		return false
	}
	m.fence = c.FencingToken
	return true
}

// extend takes a deadline. m.mu must be held.
func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+m.maxHold.Milliseconds()))
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (m *minion) start(c command) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.takes(c) {
		return conflict("fence")
	}
	if r := m.runs[c.Task]; r != nil && r.number == c.Run {
		m.extend(c.DeadlineMS)
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= m.highest[c.Task] {
		m.extend(c.DeadlineMS)
		return conflict("old")
	}
	if c.DeadlineMS <= m.clock() {
		return conflict("late")
	}
	m.extend(c.DeadlineMS)
	r := &run{number: c.Run, started: time.Now()}
	for _, field := range strings.Fields(c.Spec) {
		if v, ok := strings.CutPrefix(field, "work="); ok {
			ms, _ := strconv.Atoi(v)
			r.work = time.Duration(ms) * time.Millisecond
		}
		if v, ok := strings.CutPrefix(field, "fail="); ok {
			ms, _ := strconv.Atoi(v)
			r.work, r.fails = time.Duration(ms)*time.Millisecond, true
		}
		if v, ok := strings.CutPrefix(field, "cpu="); ok {
			r.cpu, _ = strconv.ParseInt(v, 10, 64)
		}
	}
	used := r.cpu
	for _, o := range m.runs {
		used += o.cpu
	}
	if used > m.cpu {
		return conflict("room")
	}
	m.runs[c.Task] = r
	m.event("start", c.Task, c.Run, "")
	return http.StatusOK, map[string]any{}
}

func (m *minion) stop(c command) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.takes(c) {
		return conflict("fence")
	}
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	if r := m.runs[c.Task]; r != nil && r.number <= c.Run && !r.stopping {
		r.stopping, r.stoppedAt = true, time.Now()
		m.event("stop-order", c.Task, c.Run, "")
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) pace(c command) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.takes(c) {
		return conflict("fence")
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) hold(c command) (int, map[string]any) {
	until := time.Now().Add(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.takes(c) {
		return conflict("fence")
	}
	if c.DeadlineMS > 0 {
		m.extend(c.DeadlineMS)
	}
	m.ends = slices.DeleteFunc(m.ends, func(e []any) bool { return e[0].(int64) <= c.AckCursor })
	for len(m.ends) == 0 && time.Now().Before(until) {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
		m.mu.Lock()
	}
	running := [][]any{}
	for task, r := range m.runs {
		if r.stopping {
			continue
		}
		percent := 100
		if r.work > 0 {
			percent = int(min(99, 100*time.Since(r.started)/r.work))
		}
		running = append(running, []any{task, r.number, "", percent, 10})
	}
	ended := slices.Clone(m.ends)
	if len(ended) > 500 {
		ended = ended[:500]
	}
	if ended == nil {
		ended = [][]any{}
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// end ends a run. m.mu must be held.
func (m *minion) end(task string, how string) {
	r := m.runs[task]
	delete(m.runs, task)
	m.highest[task] = max(m.highest[task], r.number)
	m.endCount++
	m.ends = append(m.ends, []any{m.endCount, task, r.number, how, r.saved})
	m.event("end", task, r.number, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// clockwork ends what is done, stopped or without a lease.
func (m *minion) clockwork() {
	counted := time.Now()
	for range time.Tick(5 * time.Millisecond) {
		m.mu.Lock()
		if m.quiet && time.Since(counted) > time.Second {
			counted = time.Now()
			m.event("done-count", "", m.doneCount, "")
		}
		for task, r := range m.runs {
			switch {
			case m.clock() > m.deadline:
				m.end(task, "lapsed")
			case r.stopping && time.Since(r.stoppedAt) >= m.stopTime:
				m.end(task, "stopped")
			case r.work > 0 && time.Since(r.started) >= r.work:
				how := "done"
				if r.fails {
					how = "failed"
				}
				m.end(task, how)
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) report() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.advertised, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": m.labels, "clock_ms": m.clock(),
		"sequence": m.sequence, "born": m.born.UnixMilli(),
	})
	return b
}

// call sends a call to one daemon, and follows a 307 twice.
func (m *minion) call(addr, path string, body []byte) ([]byte, bool) {
	url := "http://" + addr + path
	for range 3 {
		host := strings.TrimPrefix(url, "http://")
		host, rest, _ := strings.Cut(host, "/")
		if proxy, ok := m.via[host]; ok {
			host = proxy
		}
		client := http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		r, err := client.Post("http://"+host+"/"+rest, "application/json", bytes.NewReader(body))
		if err != nil {
			return nil, false
		}
		b, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if r.StatusCode == http.StatusTemporaryRedirect {
			url = r.Header.Get("Location")
			continue
		}
		return b, err == nil && r.StatusCode/100 == 2
	}
	return nil, false
}

// order returns the daemons in the order in which they are called.
func (m *minion) order() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(m.controls)
	if m.next != "" {
		out = append([]string{m.next}, slices.DeleteFunc(out, func(a string) bool { return a == m.next })...)
	}
	return out
}

// beat sends a status report, and reports whether it was confirmed.
func (m *minion) beat() bool {
	for _, addr := range m.order() {
		b, ok := m.call(addr, "/instances/"+m.id+"/heartbeat", m.report())
		if !ok {
			m.mu.Lock()
			m.next = ""
			m.mu.Unlock()
			continue
		}
		var answer struct {
			HeartbeatAddress string `json:"heartbeat_address"`
		}
		if json.Unmarshal(b, &answer) == nil && answer.HeartbeatAddress != "" {
			m.mu.Lock()
			m.next = answer.HeartbeatAddress
			m.mu.Unlock()
		}
		return true
	}
	return false
}

// leave is the planned end of the minion: it drains, sends its leave and ends.
func (m *minion) leave() {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	m.event("draining-sent", "", 0, "")
	for end := time.Now().Add(5 * time.Second); !m.beat() && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	m.event("draining-confirmed", "", 0, "")
	time.Sleep(m.drain + m.extra)
	body, _ := json.Marshal(map[string]any{"born": m.born.UnixMilli()})
	m.event("leave-sent", "", 0, "")
	sent := time.Now()
	how := "no confirmation"
	for _, addr := range m.order() {
		if _, ok := m.call(addr, "/instances/"+m.id+"/leave", body); ok {
			how = "confirmed"
			break
		}
		if time.Since(sent) > m.afterLeave {
			break
		}
	}
	if how != "confirmed" {
		time.Sleep(time.Until(sent.Add(m.afterLeave)))
	}
	m.mu.Lock()
	for task, r := range m.runs {
		m.event("end", task, r.number, "minion ended")
	}
	m.event("down", "", 0, how)
	os.Exit(0)
}
