package stand2

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The stress plays gangs, recurring jobs, steps that come after others, checkpoints, failures
// and cancelled jobs, while control daemons and minions come and go, and checks the rules on what
// the minions see. Its minions run within this process, so that the members of a gang can meet.
func init() { cases["stress"] = caseStress }

type world struct {
	f            *fleet
	mu           sync.Mutex
	rng          *rand.Rand
	jobs         map[string]*wjob
	minions      []*wminion
	broken       []string
	starts       int
	lateP, loseP float64
	calm         bool
}

type wjob struct {
	id         string
	steps      []wstep
	spec       string
	accepted   bool
	cancelAt   time.Time
	startAt    time.Time
	interval   time.Duration
	reps       int
	done       map[string]bool // K.STEP.INDEX
	failed     map[string]int
	active     map[string]*wrun
	cursorDone map[string]string
}

type wstep struct {
	Count  int    `json:"count"`
	CPU    int64  `json:"cpu"`
	Mem    int64  `json:"mem_mb"`
	Est    int64  `json:"estimate_ms"`
	After  []int  `json:"after,omitempty"`
	Check  bool   `json:"checkpointing,omitempty"`
	Gang   bool   `json:"gang,omitempty"`
	Label  string `json:"required_label,omitempty"`
	MaxPer int    `json:"max_per_server,omitempty"`
	Long   bool   `json:"long_running,omitempty"`
	fail   float64
}

type wrun struct {
	m        *wminion
	task     string
	job      *wjob
	key      string
	step     *wstep
	number   int64
	arrived  time.Time
	begun    time.Time // all members present
	work     time.Duration
	fails    bool
	stopping time.Time
	saved    time.Duration
}

type wend struct {
	n           int64
	task        string
	run         int64
	how, saved  string
	lapsedLater bool
}

type wminion struct {
	w                              *world
	id, addr, label                string
	l                              net.Listener
	up, cut                        bool
	born                           time.Time
	state                          string
	seq, fence, deadline, endCount int64
	runs                           map[string]*wrun
	highest                        map[string]int64
	ends                           []*wend
	next                           string
	gen                            int
}

func (w *world) breakRule(format string, a ...any) {
	s := fmt.Sprintf(format, a...)
	w.broken = append(w.broken, s)
	w.f.note("BROKEN %s", s)
}

func (m *wminion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

func (m *wminion) reset() {
	m.gen++
	m.born, m.seq, m.fence, m.deadline, m.endCount = time.Now(), 0, 0, 0, 0
	m.runs, m.highest, m.ends, m.next, m.state = map[string]*wrun{}, map[string]int64{}, nil, "", "ready"
}

func (m *wminion) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := m.w
	var c command
	_ = json.NewDecoder(r.Body).Decode(&c)
	hang := func() {
		if h, ok := rw.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				time.Sleep(1500 * time.Millisecond)
				_ = conn.Close()
			}
		}
	}
	w.mu.Lock()
	if !m.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if m.cut {
		w.mu.Unlock()
		hang()
		return
	}
	if id := r.Header.Get("Galenahead-Expected-Instance"); id != m.id {
		w.mu.Unlock()
		rw.WriteHeader(421)
		return
	}
	late, lose := w.rng.Float64() < w.lateP, w.rng.Float64() < w.loseP
	if late {
		d := 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
		id, gen := m.id, m.gen
		path := r.URL.Path
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if m.up && m.id == id && m.gen == gen {
				c.WaitMS, c.late = 0, true
				m.apply(path, c)
			}
		})
		w.mu.Unlock()
		hang()
		return
	}
	gen := m.gen
	status, body := m.apply(r.URL.Path, c)
	if r.URL.Path == "/hold" && status == 200 {
		until := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond)
		for len(m.ends) == 0 && time.Now().Before(until) && m.gen == gen {
			w.mu.Unlock()
			time.Sleep(4 * time.Millisecond)
			w.mu.Lock()
		}
		if m.gen != gen || m.cut {
			w.mu.Unlock()
			hang()
			return
		}
		running, ended := [][]any{}, [][]any{}
		for t, x := range m.runs {
			if !x.stopping.IsZero() {
				continue
			}
			s := ""
			if x.step.Check {
				s = fmt.Sprintf("%d", x.progress().Milliseconds())
			}
			running = append(running, []any{t, x.number, s, 50, 10})
		}
		for _, e := range m.ends {
			if len(ended) < 500 {
				ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
			}
		}
		body["running"], body["ended"] = running, ended
	}
	body["clock_ms"], body["born"] = m.clock(), m.born.UnixMilli()
	w.mu.Unlock()
	if lose {
		hang()
		return
	}
	b, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

func (x *wrun) progress() time.Duration {
	if x.begun.IsZero() {
		return x.saved
	}
	return min(x.work, x.saved+time.Since(x.begun))
}

func (m *wminion) apply(path string, c command) (int, map[string]any) {
	if c.FencingToken < m.fence {
		return conflict("fence")
	}
	m.fence = c.FencingToken
	ext := func() { m.deadline = max(m.deadline, min(c.DeadlineMS, m.clock()+10000)) }
	switch path {
	case "/run-start":
		return m.start(c, ext)
	case "/run-stop":
		m.highest[c.Task] = max(m.highest[c.Task], c.Run)
		if x := m.runs[c.Task]; x != nil && x.number <= c.Run && x.stopping.IsZero() {
			x.stopping = time.Now().Add(time.Duration(m.w.rng.Int64N(int64(180 * time.Millisecond))))
		}
	case "/hold":
		if c.DeadlineMS > 0 {
			ext()
		}
		m.ends = slices.DeleteFunc(m.ends, func(e *wend) bool {
			if e.n > c.AckCursor {
				return false
			}
			if e.how == "done" && !e.lapsedLater {
				if j, k := m.w.find(e.task); j != nil {
					j.cursorDone[k] = fmt.Sprintf("%s gen %d end %d run %d cursor %d token %d fence %d late %v at %.3f", m.id, m.gen, e.n, e.run, c.AckCursor, c.FencingToken, m.fence, c.late, time.Since(m.w.f.began).Seconds())
				}
			}
			return true
		})
	}
	return 200, map[string]any{}
}

func (w *world) find(task string) (*wjob, string) {
	id, k, _ := strings.Cut(task, ".")
	return w.jobs[id], k
}

func (m *wminion) start(c command, ext func()) (int, map[string]any) {
	w := m.w
	if x := m.runs[c.Task]; x != nil && x.number == c.Run {
		ext()
		return 200, map[string]any{}
	}
	if c.Run <= m.highest[c.Task] || m.runs[c.Task] != nil {
		ext()
		return conflict("old")
	}
	if c.DeadlineMS <= m.clock() {
		return conflict("late")
	}
	j, key := w.find(c.Task)
	if j == nil {
		w.breakRule("UNASKED %s on %s: no such job", c.Task, m.id)
		return 400, map[string]any{}
	}
	var k, s, i int
	_, _ = fmt.Sscanf(key, "%d.%d.%d", &k, &s, &i)
	if s >= len(j.steps) || i >= j.steps[s].Count || k >= max(1, j.reps) {
		w.breakRule("UNASKED %s: no such item", c.Task)
		return 400, map[string]any{}
	}
	step := &j.steps[s]
	used := step.CPU
	for _, o := range m.runs {
		used += o.step.CPU
	}
	if used > 8000 {
		ext()
		return conflict("room")
	}
	ext()
	w.starts++
	if c.Spec != j.spec {
		w.breakRule("UNASKED %s: spec %q", c.Task, c.Spec)
	}
	if !j.cancelAt.IsZero() && time.Since(j.cancelAt) > 3*time.Second && w.lateP == 0 {
		w.breakRule("UNASKED %s: cancelled %s before", c.Task, time.Since(j.cancelAt))
	}
	if step.Label != "" && step.Label != m.label {
		w.breakRule("ROUTE %s label", c.Task)
	}
	if n := func() (n int) {
		for _, o := range m.runs {
			if o.job == j && o.step == step && strings.HasPrefix(o.key, fmt.Sprintf("%d.", k)) {
				n++
			}
		}
		return
	}(); step.MaxPer > 0 && n >= step.MaxPer {
		w.breakRule("ROUTE %s max_per_server", c.Task)
	}
	if o := j.active[key]; o != nil {
		w.breakRule("TWICE %s run %d on %s while run %d works on %s", c.Task, c.Run, m.id, o.number, o.m.id)
	}
	if j.cursorDone[key] != "" {
		w.breakRule("TWICE %s run %d on %s after a done end was noted: %s", c.Task, c.Run, m.id, j.cursorDone[key])
	}
	for _, a := range step.After {
		for n := range j.steps[a].Count {
			if !j.done[fmt.Sprintf("%d.%d.%d", k, a, n)] {
				w.breakRule("ORDER %s before %d.%d.%d", c.Task, k, a, n)
			}
		}
	}
	if j.reps > 0 && time.Until(j.startAt.Add(time.Duration(k)*j.interval)) > 250*time.Millisecond {
		w.breakRule("ORDER %s early", c.Task)
	}
	if !step.Long && j.failed[key] >= 3 {
		w.breakRule("BUDGET %s", c.Task)
	}
	x := &wrun{m: m, task: c.Task, job: j, key: key, step: step, number: c.Run, arrived: time.Now(), work: time.Duration(step.Est) * time.Millisecond, fails: w.rng.Float64() < step.fail && !w.calm}
	if c.LastCheckpoint != "" {
		ms, _ := strconv.Atoi(c.LastCheckpoint)
		x.saved = time.Duration(ms) * time.Millisecond
	}
	m.runs[c.Task] = x
	j.active[key] = x
	if !step.Gang {
		x.begun = time.Now()
	} else {
		w.meet(j, k, s, c.Run)
	}
	return 200, map[string]any{}
}

// meet begins the work of a gang whose members are all present.
func (w *world) meet(j *wjob, k, s int, number int64) {
	var all []*wrun
	for i := range j.steps[s].Count {
		x := j.active[fmt.Sprintf("%d.%d.%d", k, s, i)]
		if x == nil || x.number != number {
			return
		}
		all = append(all, x)
	}
	for _, x := range all {
		x.begun = time.Now()
	}
}

func (m *wminion) end(x *wrun, how string) {
	delete(m.runs, x.task)
	if x.job.active[x.key] == x {
		delete(x.job.active, x.key)
	}
	m.highest[x.task] = max(m.highest[x.task], x.number)
	m.endCount++
	saved := ""
	if x.step.Check {
		saved = fmt.Sprintf("%d", x.progress().Milliseconds())
	}
	m.ends = append(m.ends, &wend{n: m.endCount, task: x.task, run: x.number, how: how, saved: saved})
	if how == "failed" {
		x.job.failed[x.key]++
	}
	if how == "done" && !x.step.Long {
		x.job.done[x.key] = true
	}
	if !x.step.Gang || how == "done" && len(x.key) == 0 {
		return
	}
	// The other members.
	k, rest, _ := strings.Cut(x.key, ".")
	s, _, _ := strings.Cut(rest, ".")
	for key, o := range x.job.active {
		if strings.HasPrefix(key, k+"."+s+".") && o.number == x.number && !o.begun.IsZero() {
			if how == "done" {
				o.m.end(o, "done")
			} else {
				o.m.end(o, "broken")
			}
		}
	}
}

func (m *wminion) tick() {
	for _, x := range m.runs {
		if m.runs[x.task] != x {
			continue
		}
		switch {
		case m.clock() > m.deadline:
			m.end(x, "lapsed")
		case !x.stopping.IsZero():
			if time.Now().After(x.stopping) {
				m.end(x, "stopped")
			}
		case x.begun.IsZero():
			if time.Since(x.arrived) > 3*time.Second {
				m.end(x, "alone")
			}
		case x.fails && x.progress() > x.work/2:
			m.end(x, "failed")
		case !x.step.Long && x.progress() >= x.work:
			m.end(x, "done")
		}
	}
	if m.clock() > m.deadline {
		for _, e := range m.ends {
			e.lapsedLater = true
		}
	}
}

func (m *wminion) crash(newID bool) {
	m.up = false
	for _, x := range m.runs {
		if x.job.active[x.key] == x {
			delete(x.job.active, x.key)
		}
		if x.step.Gang {
			k, rest, _ := strings.Cut(x.key, ".")
			s, _, _ := strings.Cut(rest, ".")
			for key, o := range x.job.active {
				if strings.HasPrefix(key, k+"."+s+".") && o.number == x.number && !o.begun.IsZero() && o.m != m {
					o.m.end(o, "broken")
				}
			}
		}
	}
	m.reset()
	if newID {
		m.id = fmt.Sprintf("i-%06x", m.w.rng.Uint32N(1<<24))
	}
}

func (m *wminion) beats() {
	for {
		m.w.mu.Lock()
		ok := m.up && !m.cut
		gen, id := m.gen, m.id
		m.seq++
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": m.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": m.state, "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": 8000, "mem_mb": 8000, "gpu": 0}, "labels": []string{m.label, "r1"}, "clock_ms": m.clock(), "sequence": m.seq, "born": m.born.UnixMilli(),
		})
		order := m.w.f.controlAddrs()
		if m.next != "" {
			order = append([]string{m.next}, order...)
		}
		m.w.mu.Unlock()
		if ok {
			for _, a := range order {
				cl := http.Client{Timeout: time.Second}
				r, err := cl.Post("http://"+a+"/instances/"+id+"/heartbeat", "application/json", strings.NewReader(string(body)))
				if err != nil {
					continue
				}
				var ans struct {
					H string `json:"heartbeat_address"`
				}
				_ = json.NewDecoder(r.Body).Decode(&ans)
				_ = r.Body.Close()
				if r.StatusCode == 200 {
					m.w.mu.Lock()
					m.next = ans.H
					m.w.mu.Unlock()
					break
				}
			}
		}
		for i := 0; i < 150; i++ {
			time.Sleep(10 * time.Millisecond)
			m.w.mu.Lock()
			g, up := m.gen, m.up
			m.w.mu.Unlock()
			if up && g != gen {
				break
			}
		}
	}
}

func caseStress(f *fleet) bool {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	w := &world{f: f, rng: rand.New(rand.NewPCG(seed, 7)), jobs: map[string]*wjob{}}
	if os.Getenv("LATE") != "" {
		w.lateP, _ = strconv.ParseFloat(os.Getenv("LATE"), 64)
	}
	if os.Getenv("LOSE") != "" {
		w.loseP, _ = strconv.ParseFloat(os.Getenv("LOSE"), 64)
	}
	f.startDaemons()
	f.configure(1, []string{service}, route{queue, service})
	for i := range 10 {
		l, err := net.Listen("tcp", ip(100+i)+":0")
		if err != nil {
			fail("%v", err)
		}
		m := &wminion{w: w, id: fmt.Sprintf("i-%d", i), addr: l.Addr().String(), label: []string{"big", "small"}[i%2], l: l, up: true}
		m.reset()
		w.minions = append(w.minions, m)
		go func() { _ = http.Serve(l, m) }()
		go m.beats()
	}
	go func() {
		for range time.Tick(4 * time.Millisecond) {
			w.mu.Lock()
			for _, m := range w.minions {
				if m.up {
					m.tick()
				}
			}
			w.mu.Unlock()
		}
	}()
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(70 * time.Second)
	var wg sync.WaitGroup
	// clients
	for range 6 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				w.client()
				time.Sleep(time.Second)
			}
		})
	}
	// trouble on control daemons
	kinds := os.Getenv("KINDS")
	if kinds == "" {
		kinds = "kill,freeze,crash,reborn,newid,cut"
	}
	has := func(k string) bool { return slices.Contains(strings.Split(kinds, ","), k) }
	wg.Go(func() {
		for time.Now().Before(stop) && (has("kill") || has("freeze") || has("term")) {
			w.mu.Lock()
			pause, down := 2+4*w.rng.Float64(), 500+w.rng.IntN(2500)
			freeze := w.rng.IntN(2) == 0
			w.mu.Unlock()
			time.Sleep(time.Duration(pause * float64(time.Second)))
			i := f.leader()
			if i == 0 {
				continue
			}
			name := fmt.Sprintf("control-%d", i)
			if has("term") && down%2 == 0 {
				f.signal(name, syscall.SIGTERM)
				_ = f.procs[name].Wait()
				delete(f.procs, name)
				f.startControl(i, false)
				f.note("told %s to end and started it again", name)
			} else if freeze && has("freeze") {
				f.signal(name, syscall.SIGSTOP)
				time.Sleep(time.Duration(down) * time.Millisecond)
				f.signal(name, syscall.SIGCONT)
				f.note("froze %s for %d ms", name, down)
			} else if has("kill") {
				f.kill(name)
				time.Sleep(time.Duration(down) * time.Millisecond)
				f.startControl(i, false)
				f.note("killed %s for %d ms", name, down)
			}
			time.Sleep(4 * time.Second)
		}
	})
	wg.Go(func() {
		for time.Now().Before(stop) {
			w.mu.Lock()
			m := w.minions[w.rng.IntN(len(w.minions))]
			k := []string{"crash", "reborn", "newid", "cut"}[w.rng.IntN(4)]
			d := time.Duration(200+w.rng.IntN(5000)) * time.Millisecond
			p := time.Duration(200+w.rng.IntN(1500)) * time.Millisecond
			if has(k) && m.up && !m.cut {
				switch k {
				case "crash", "reborn", "newid":
					if k == "reborn" {
						d = 30 * time.Millisecond
					}
					m.crash(k == "newid")
					time.AfterFunc(d, func() { w.mu.Lock(); m.reset(); m.up = true; w.mu.Unlock() })
				case "cut":
					m.cut = true
					time.AfterFunc(d, func() { w.mu.Lock(); m.cut = false; w.mu.Unlock() })
				}
			}
			w.mu.Unlock()
			time.Sleep(p)
		}
	})
	wg.Wait()
	w.mu.Lock()
	w.lateP, w.loseP, w.calm = 0, 0, true
	w.mu.Unlock()
	f.note("calm from now on; %d jobs, %d starts", len(w.jobs), w.starts)
	time.Sleep(25 * time.Second)
	states := map[string]int{}
	for _, j := range w.jobs {
		if !j.accepted {
			continue
		}
		status, body := f.state(queue + j.id)
		states[body]++
		w.mu.Lock()
		left, maxed := 0, false
		for k := range max(1, j.reps) {
			for s, st := range j.steps {
				if st.Long {
					left++
				}
				for i := range st.Count {
					key := fmt.Sprintf("%d.%d.%d", k, s, i)
					if !j.done[key] {
						left++
					}
					if j.failed[key] >= 3 {
						maxed = true
					}
				}
			}
		}
		switch {
		case status != 200:
			w.breakRule("LOST %s: %d %s", j.id, status, body)
		case strings.Contains(body, "completed") && left > 0:
			w.breakRule("MIXED %s completed, %d left", j.id, left)
		case strings.Contains(body, "failed") && !maxed:
			w.breakRule("LOST %s failed without cause: %v", j.id, j.failed)
		case strings.Contains(body, "cancelled") && j.cancelAt.IsZero():
			w.breakRule("LOST %s cancelled", j.id)
		case !strings.Contains(body, "completed") && !strings.Contains(body, "failed") && !strings.Contains(body, "cancelled") && !j.steps[0].Long:
			b, _ := json.Marshal(j.steps)
			w.breakRule("LOST %s is %s with %d items left, active %d, failed %v, steps %s reps %d", j.id, body, left, len(j.active), j.failed, b, j.reps)
		}
		w.mu.Unlock()
	}
	f.note("states: %v", states)
	return len(w.broken) > 0
}

func (f *fleet) leader() int {
	for i := 1; i <= controls; i++ {
		client := http.Client{Timeout: 300 * time.Millisecond}
		r, err := client.Get("http://" + f.controlAddr(i) + "/config/get")
		if err == nil {
			_ = r.Body.Close()
		}
	}
	// The last line of any log that names the leader tells.
	best, at := 0, ""
	for i := 1; i <= controls; i++ {
		b, _ := os.ReadFile(fmt.Sprintf("%s/control-%d.log", f.dir, i))
		for _, l := range strings.Split(string(b), "\n") {
			if strings.Contains(l, "became owner of the fleet") {
				_, t, _ := strings.Cut(l, `"time":"`)
				if len(t) > 27 && t[:27] > at {
					best, at = i, t[:27]
				}
			}
		}
	}
	return best
}

func (w *world) client() {
	w.mu.Lock()
	id := fmt.Sprintf("%016x", w.rng.Uint64())
	j := &wjob{id: id, done: map[string]bool{}, failed: map[string]int{}, active: map[string]*wrun{}, cursorDone: map[string]string{}, spec: "spec of " + id}
	n := 1 + w.rng.IntN(3)
	for s := range n {
		st := wstep{Count: 1 + w.rng.IntN(4), CPU: int64(500 + w.rng.IntN(1500)), Mem: 100, Est: int64(100 + w.rng.IntN(1200)), Check: w.rng.IntN(3) == 0, Gang: w.rng.IntN(3) == 0}
		if s > 0 && w.rng.IntN(2) == 0 {
			st.After = []int{w.rng.IntN(s)}
		}
		if w.rng.IntN(8) == 0 {
			st.Label = []string{"big", "small"}[w.rng.IntN(2)]
		}
		if w.rng.IntN(6) == 0 {
			st.MaxPer = 1 + w.rng.IntN(2)
		}
		if w.rng.IntN(5) == 0 {
			st.fail = 0.15
		}
		j.steps = append(j.steps, st)
	}
	body := map[string]any{"spec": j.spec, "steps": j.steps}
	if w.rng.IntN(6) == 0 {
		j.reps, j.interval, j.startAt = 2+w.rng.IntN(4), time.Duration(300+w.rng.IntN(3000))*time.Millisecond, time.Now().Add(time.Duration(w.rng.IntN(5000))*time.Millisecond)
		body["repetitions"], body["interval_ms"], body["start_at_ms"] = j.reps, j.interval.Milliseconds(), j.startAt.UnixMilli()
		j.startAt = time.UnixMilli(j.startAt.UnixMilli())
	} else if w.rng.IntN(60) == 0 {
		j.steps = []wstep{{Count: 2, CPU: 200, Mem: 100, Est: 500, Long: true}}
		body["steps"] = j.steps
	}
	cancel := w.rng.IntN(8) == 0 || j.steps[0].Long
	cancelAfter := time.Duration(w.rng.IntN(2500)) * time.Millisecond
	e := 1 + w.rng.IntN(controls)
	w.jobs[id] = j
	w.mu.Unlock()
	b, _ := json.Marshal(body)
	for try := range 5 {
		status, _ := w.f.call(http.MethodPost, w.f.frontAddr(1+(e+try)%controls), "shop.example", queue+id, string(b))
		if status == 200 {
			w.mu.Lock()
			j.accepted = true
			w.mu.Unlock()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if j.accepted {
		w.watch(j, string(b))
	}
	if cancel && j.accepted {
		time.AfterFunc(cancelAfter, func() {
			for try := range 12 {
				w.mu.Lock()
				if j.cancelAt.IsZero() {
					j.cancelAt = time.Now().Add(time.Hour)
				} // sent, not confirmed
				w.mu.Unlock()
				status, _ := w.f.call(http.MethodDelete, w.f.frontAddr(1+(e+try)%controls), "shop.example", queue+id, "")
				if status == 200 || status == 410 {
					w.mu.Lock()
					j.cancelAt = time.Now()
					w.mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}

// watch asks for the state of an accepted job from time to time, and hands it in once more.
func (w *world) watch(j *wjob, body string) {
	w.mu.Lock()
	first, entry := time.Duration(w.rng.IntN(2000))*time.Millisecond, w.rng.IntN(controls)
	w.mu.Unlock()
	time.AfterFunc(first, func() {
		for n := range 10 {
			w.mu.Lock()
			items, done := 0, 0
			for s := range j.steps {
				items += j.steps[s].Count * max(1, j.reps)
			}
			w.mu.Unlock()
			addr := w.f.frontAddr(1 + (entry+n)%controls)
			status, answer := w.f.call(http.MethodGet, addr, "shop.example", queue+j.id, "")
			w.mu.Lock()
			done = len(j.done)
			switch {
			case status == http.StatusGone || status == http.StatusNotFound:
				w.breakRule("LOST GET %s -> %d", j.id, status)
			case strings.Contains(answer, "completed") && done < items:
				w.breakRule("MIXED GET %s -> %s with %d of %d done", j.id, answer, done, items)
			}
			w.mu.Unlock()
			if n == 3 {
				status, _ := w.f.call(http.MethodPost, addr, "shop.example", queue+j.id, body)
				if status == http.StatusTooManyRequests || status == http.StatusNotFound {
					w.mu.Lock()
					w.breakRule("LOST POST of the accepted job %s -> %d", j.id, status)
					w.mu.Unlock()
				}
			}
			time.Sleep(900 * time.Millisecond)
		}
	})
}
