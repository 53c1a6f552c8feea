package stand2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// event is a line in the events of the minions.
type event struct {
	T      int64  `json:"t"`
	Minion string `json:"minion"`
	Born   int64  `json:"born"`
	What   string `json:"what"`
	Task   string `json:"task,omitempty"`
	Run    int64  `json:"run,omitempty"`
	How    string `json:"how,omitempty"`
}

// fleet is a small deployment on loopback: three machines, each with a control daemon with a
// disk and an entry, and stand-ins of all else.
type fleet struct {
	dir     string
	binary  string
	self    string
	trouble bool
	ports   map[string]int
	procs   map[string]*exec.Cmd
	minions map[string][]string
	cloud   *http.Server
	cloudAt string
	record  *os.File
	began   time.Time

	mu       sync.Mutex
	machines []map[string]any
}

// setupError ends a case that could not run.
type setupError struct{ text string }

func fail(format string, args ...any) { panic(setupError{fmt.Sprintf(format, args...)}) }

func ip(i int) string { return fmt.Sprintf("127.61.0.%d", i) }

const controls = 3

// timeLimit bounds a case.
const timeLimit = 117 * time.Second

// runCase plays a case and returns the exit status: 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
func runCase(folder string, play func(f *fleet) bool) (status int) {
	f := &fleet{trouble: os.Getenv("TROUBLE") != "0", ports: map[string]int{}, procs: map[string]*exec.Cmd{}, minions: map[string][]string{}, began: time.Now()}
	var err error
	if f.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-end:
			f.note("ended by a signal")
		case <-time.After(timeLimit):
			f.note("the case takes too long")
		}
		f.close()
		os.Exit(2)
	}()
	defer func() {
		switch p := recover().(type) {
		case nil:
		case setupError:
			f.note("the case could not run: %s", p.text)
			status = 2
		default:
			panic(p)
		}
	}()
	f.setup()
	if play(f) {
		f.note("RESULT: the rule was broken")
		return 1
	}
	f.note("RESULT: the rule held")
	return 0
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Println(line)
	_, _ = fmt.Fprintln(f.record, line)
}

func (f *fleet) setup() {
	var err error
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fail("%v", err)
	}
	if f.binary, err = filepath.Abs("target/galena-fleet"); err != nil {
		fail("%v", err)
	}
	if f.self, err = os.Executable(); err != nil {
		fail("%v", err)
	}
	if _, err := os.Stat(f.binary); err != nil {
		fail("%v", err)
	}
	for _, name := range []string{"front", "ready", "control", "peer", "status"} {
		l, err := net.Listen("tcp", ip(1)+":0")
		if err != nil {
			fail("%v", err)
		}
		f.ports[name] = l.Addr().(*net.TCPAddr).Port
		defer func() { _ = l.Close() }()
	}
	l, err := net.Listen("tcp", ip(200)+":0")
	if err != nil {
		fail("%v", err)
	}
	f.cloudAt = l.Addr().String()
	f.cloud = &http.Server{Handler: http.HandlerFunc(f.serveCloud)}
	go func() { _ = f.cloud.Serve(l) }()
}

// serveCloud is the platform: it lists the machines, and refuses orders to move them.
func (f *fleet) serveCloud(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet && r.URL.Path == "/machines" {
		f.mu.Lock()
		b, _ := json.Marshal(map[string]any{"machines": f.machines, "next_token": nil})
		f.mu.Unlock()
		_, _ = w.Write(b)
		return
	}
	body, _ := io.ReadAll(r.Body)
	f.note("platform got %s %s", r.URL.Path, body)
	w.WriteHeader(http.StatusConflict)
	_, _ = io.WriteString(w, `{"reason":"busy"}`)
}

func (f *fleet) close() {
	for _, p := range f.procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if f.cloud != nil {
		_ = f.cloud.Close()
	}
	for _, e := range f.events() {
		_, _ = fmt.Fprintf(f.record, "%8.3f minion %s: %s %s run %d %s\n", float64(e.T-f.began.UnixMicro())/1e6, e.Minion, e.What, e.Task, e.Run, e.How)
	}
	_ = f.record.Close()
	if f.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (f *fleet) controlAddr(i int) string { return fmt.Sprintf("%s:%d", ip(i), f.ports["control"]) }
func (f *fleet) frontAddr(i int) string   { return fmt.Sprintf("%s:%d", ip(i), f.ports["front"]) }

func (f *fleet) controlAddrs() []string {
	return []string{f.controlAddr(1), f.controlAddr(2), f.controlAddr(3)}
}

// startDaemons starts the control daemons and the entries with the commands of the deploy file.
// The settings are what platform/control.ini and platform/entry.ini render.
func (f *fleet) startDaemons() {
	for i := 1; i <= controls; i++ {
		f.startControl(i, true)
		f.startEntry(i)
	}
}

func (f *fleet) startControl(i int, bootstrap bool) {
	f.startDaemon(fmt.Sprintf("control-%d", i), "control", fmt.Sprintf(`[process]
name = front-%d
data_centre = zone-%d
region = hokkaido
log_file = stdout
machine_memory_mb = 284
max_open_files = 4100

[listen]
operator_address = %s
peer_address = %s:%d
status_address = %s:%d

[control]
seeds = %s
peer_port = %d
data_directory = %s
bootstrap = %t
losses = 1
data_centre_losses = 0
catch_up = 4s

[instances]
max_lease = 10000ms
stop_timeout = 200ms
machine_lease = 3000ms
keep_final = 120s

[platform]
machines_address = %s
`, i, i, f.controlAddr(i), ip(i), f.ports["peer"], ip(i), f.ports["status"], strings.Join(f.controlAddrs(), ","), f.ports["peer"],
		filepath.Join(f.dir, fmt.Sprintf("data-%d", i)), bootstrap, f.cloudAt))
}

func (f *fleet) startEntry(i int) {
	f.startDaemon(fmt.Sprintf("entry-%d", i), "entry", fmt.Sprintf(`[process]
name = front-%d
data_centre = zone-%d
region = hokkaido
log_file = stdout
machine_memory_mb = 284
stop_delay = 3500ms
grace_period = 6s

[listen]
caller_address = %s
status_address = %s:%d

[control]
seeds = %s
peer_port = %d
`, i, i, f.frontAddr(i), ip(i), f.ports["ready"], strings.Join(f.controlAddrs(), ","), f.ports["peer"]))
}

func (f *fleet) startDaemon(name, role, settings string) {
	path := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		fail("%v", err)
	}
	cmd := exec.Command(f.binary, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GALENAHEAD_SETTINGS=" + path}
	f.start(name, cmd)
}

func (f *fleet) start(name string, cmd *exec.Cmd) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", name, err)
	}
	f.procs[name] = cmd
}

// addMinion starts a minion with an address of its own and lists its machine.
func (f *fleet) addMinion(n int, id, service string, options ...string) {
	l, err := net.Listen("tcp", ip(100+n)+":0")
	if err != nil {
		fail("%v", err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	f.minions[id] = append([]string{
		"minion", "--id", id, "--service", service, "--listen", addr, "--controls", strings.Join(f.controlAddrs(), ","),
		"--events", filepath.Join(f.dir, "events"),
	}, options...)
	f.mu.Lock()
	f.machines = append(f.machines, map[string]any{
		"machine": "m-" + id, "pool": service, "state": "up", "zone": "zone-a", "labels": []string{"big", "r1"},
		"capacity": map[string]int64{"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "id": id,
	})
	f.mu.Unlock()
	f.startMinion(id)
}

// startMinion starts a minion, again if it has crashed.
func (f *fleet) startMinion(id string) { f.start(id, exec.Command(f.self, f.minions[id]...)) }

// listenAddr returns the address on which a minion listens.
func (f *fleet) listenAddr(id string) string {
	a := f.minions[id]
	return a[slices.Index(a, "--listen")+1]
}

func (f *fleet) kill(name string) {
	_ = f.procs[name].Process.Kill()
	_ = f.procs[name].Wait()
	delete(f.procs, name)
}

func (f *fleet) signal(name string, s syscall.Signal) {
	if err := f.procs[name].Process.Signal(s); err != nil {
		fail("signal %s: %v", name, err)
	}
}

// events returns what the minions have recorded, in the order of their times.
func (f *fleet) events() []event {
	if f.dir == "" {
		return nil
	}
	file, err := os.Open(filepath.Join(f.dir, "events"))
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var out []event
	for s := bufio.NewScanner(file); s.Scan(); {
		var e event
		if json.Unmarshal(s.Bytes(), &e) == nil {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b event) int { return int(a.T - b.T) })
	return out
}

// call sends one request and returns the status and the body of the response, or status 0.
func (f *fleet) call(method, addr, host, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		fail("%v", err)
	}
	if host != "" {
		req.Host = host
		req.Header.Set("Galenahead-Deadline-Ms", "3000")
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: 3 * time.Second}
	r, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	b, _ := io.ReadAll(r.Body)
	return r.StatusCode, strings.TrimSpace(string(b))
}

// await waits until done returns true, and reports whether it did in time.
func await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

func (f *fleet) must(what string, limit time.Duration, done func() bool) {
	if !await(limit, done) {
		fail("%s: not within %s", what, limit)
	}
}

// route is a route of a configuration.
type route struct{ prefix, service string }

// configure sends a configuration until it is acknowledged.
func (f *fleet) configure(version int, services []string, routes ...route) {
	rs, ss := []map[string]any{}, []map[string]any{}
	for i, r := range routes {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": "shop.example", "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 2500, "priority": 0, "service": r.service, "max_attempts": 3, "stretch": 2.2,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{
			"name": s, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_control": true, "spare": false,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	i := 0
	f.must("configuration acknowledged", 20*time.Second, func() bool {
		i++
		status, _ := f.call(http.MethodPost, f.controlAddr(1+i%controls), "", "/config/replace", string(b))
		return status == http.StatusOK
	})
	f.note("operator: version %d acknowledged: %s", version, b)
}

// submit hands in a job until it is accepted.
func (f *fleet) submit(path, spec string, step map[string]any) {
	b, _ := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{step}})
	i := 0
	f.must("job accepted", 20*time.Second, func() bool {
		i++
		status, _ := f.call(http.MethodPost, f.frontAddr(1+i%controls), "shop.example", path, string(b))
		return status == http.StatusOK
	})
	f.note("client: POST %s %s -> 200", path, b)
}

// state asks for the state of a job.
func (f *fleet) state(path string) (int, string) {
	return f.call(http.MethodGet, f.frontAddr(1), "shop.example", path, "")
}

// started returns the first start of a work item after a time, or nil.
func (f *fleet) started(task string, after int64) *event {
	for _, e := range f.events() {
		if e.What == "start" && e.Task == task && e.T > after {
			return &e
		}
	}
	return nil
}

// overlaps returns the pairs of runs of a work item that were at work at the same time for longer
// than least.
func (f *fleet) overlaps(task string, least time.Duration) (out []string) {
	type span struct {
		minion     string
		run        int64
		begin, end int64
	}
	var spans []span
	for _, e := range f.events() {
		switch {
		case e.What == "start" && e.Task == task:
			spans = append(spans, span{e.Minion, e.Run, e.T, time.Now().UnixMicro()})
		case e.What == "end" && e.Task == task:
			for i := range spans {
				if spans[i].minion == e.Minion && spans[i].run == e.Run {
					spans[i].end = e.T
				}
			}
		}
	}
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			both := time.Duration(min(a.end, b.end)-max(a.begin, b.begin)) * time.Microsecond
			if both > least {
				out = append(out, fmt.Sprintf("run %d on %s and run %d on %s work at the same time for %s", a.run, a.minion, b.run, b.minion, both))
			}
		}
	}
	return out
}
