package ends

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// diskControls is the number of control daemons with a data directory. One more has none.
	diskControls = 3
	controls     = diskControls + 1
	entries      = 4
	gracePeriod  = 6 * time.Second
	// subnets is the number of subnets that deployments choose from. The ports are below
	// those that connections are given.
	subnets   = 250
	firstPort = 21000
)

// deployment is a deployment of galena-fleet on loopback, with the settings of the
// deploy file's templates, and what its callers see.
type deployment struct {
	t        *testing.T
	dir      string
	subnet   int
	ports    map[string]int
	machines *http.Server
	listener net.Listener
	begin    time.Time

	mu        sync.Mutex
	record    strings.Builder
	broken    []string
	processes map[string]*process
	items     map[string]*item
	jobs      map[string]*job
	acked     acknowledgedConfig
	instances []*instance
	// unplanned is set while processes are down without notice, and plannedSince is when that
	// has ended.
	unplanned    bool
	plannedSince time.Time
	// owner is the address that the newest heartbeat was told.
	owner  string
	counts map[string]int
}

// process is a running daemon.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// stopping is set once the process has got a signal to end.
	stopping  bool
	startedAt time.Time
}

func (d *deployment) ip(i int) string { return fmt.Sprintf("127.72.%d.%d", d.subnet, i) }

func (d *deployment) address(i int, port string) string {
	return net.JoinHostPort(d.ip(i), strconv.Itoa(d.ports[port]))
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{
		t: t, dir: t.TempDir(), ports: map[string]int{}, begin: time.Now(),
		processes: map[string]*process{}, items: map[string]*item{}, jobs: map[string]*job{}, counts: map[string]int{},
	}
	// The listener keeps other deployments off the subnet.
	var listener net.Listener
	err := errors.New("no subnet")
	for n := 0; n < subnets && err != nil; n++ {
		d.subnet = (os.Getpid() + n) % subnets
		listener, err = net.Listen("tcp", net.JoinHostPort(d.ip(100), strconv.Itoa(firstPort)))
	}
	if err != nil {
		t.Fatal(err)
	}
	for i, name := range []string{"caller", "ready", "operator", "peer", "status"} {
		d.ports[name] = firstPort + 1 + i
	}
	d.listener = listener
	d.machines = &http.Server{Handler: http.HandlerFunc(d.listMachines), ReadHeaderTimeout: time.Second}
	go d.runMachines()
	t.Cleanup(d.close)
	return d
}

func (d *deployment) runMachines() { _ = d.machines.Serve(d.listener) }

func (d *deployment) listMachines(w http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	d.mu.Lock()
	for i, in := range d.instances {
		rows = append(rows, map[string]any{
			"machine": in.machine, "pool": "desk", "state": "up", "zone": in.zone, "labels": []string{"a", fmt.Sprintf("r%d", i%3)},
			"capacity": map[string]any{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0}, "id": in.id,
		})
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next_token": ""})
}

// notef adds a line to the record of the deployment.
func (d *deployment) notef(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteLocked(format, args...)
}

func (d *deployment) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(&d.record, "%9.3f  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records a broken promise.
func (d *deployment) breakf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.breakLocked(format, args...)
}

func (d *deployment) breakLocked(format string, args ...any) {
	d.noteLocked("BROKEN "+format, args...)
	d.broken = append(d.broken, fmt.Sprintf("%.3f s: ", time.Since(d.begin).Seconds())+fmt.Sprintf(format, args...))
}

func (d *deployment) count(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[what]++
}

func zone(i int) string { return []string{"sapporo", "asahikawa", "hakodate"}[(i-1)%3] }

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// seeds says which control daemons with a disk are the seeds in a settings file: number of them
// in turn, after the first ones.
type seeds struct{ first, number int }

var allSeeds = seeds{0, diskControls}

// settings fills in the template of a role.
func (d *deployment) settings(role string, i int, bootstrap bool, s seeds) string {
	var addresses []string
	for k := range s.number {
		addresses = append(addresses, d.address(1+(k+s.first)%diskControls, "operator"))
	}
	directory := ""
	if role == "control" && i <= diskControls {
		directory = filepath.Join(d.dir, fmt.Sprintf("data-%d", i))
	}
	values := map[string]string{
		"node": fmt.Sprintf("front-%s-%d", zone(i), i), "zone": zone(i), "region": "hokkaido", "ip": d.ip(i),
		"limits.memory_mb": "284", "limits.max_fds": "4100",
		"listen.control": d.address(i, "operator"), "listen.front": d.address(i, "caller"), "listen.ready": d.address(i, "ready"),
		"internal_ports.0": strconv.Itoa(d.ports["peer"]), "internal_ports.1": strconv.Itoa(d.ports["status"]),
		"seeds": strings.Join(addresses, ","), "data_dir": directory, "bootstrap": strconv.FormatBool(bootstrap),
		"fault_tolerance.machines": "1", "fault_tolerance.zones": "0", "bounds.catch_up_s": "4", "bounds.max_hold_ms": "10000",
		"bounds.stop_timeout_ms": "200", "bounds.lease_ms": "3000", "bounds.status_s": "120", "bounds.grace_s": "6",
		"cloud.address": d.listener.Addr().String(),
	}
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "platform", role+".ini"))
	if err != nil {
		d.t.Error(err)
	}
	out := section.ReplaceAllStringFunc(string(text), func(s string) string {
		parts := section.FindStringSubmatch(s)
		if value, ok := values[parts[1]]; ok {
			return strings.ReplaceAll(parts[2], "{{.}}", value)
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(out, func(s string) string {
		value, ok := values[strings.Trim(s, "{}")]
		if !ok {
			d.t.Errorf("no value for %s", s)
		}
		return value
	})
}

func processName(role string, i int) string { return fmt.Sprintf("%s-%d", role, i) }

// writeSettings replaces the settings file of a process at once, and returns its path.
func (d *deployment) writeSettings(role string, i int, bootstrap bool, s seeds) string {
	path := filepath.Join(d.dir, processName(role, i)+".ini")
	if err := os.WriteFile(path+".new", []byte(d.settings(role, i, bootstrap, s)), 0o600); err != nil {
		d.t.Error(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		d.t.Error(err)
	}
	return path
}

// start starts a process.
func (d *deployment) start(role string, i int, bootstrap bool) {
	name := processName(role, i)
	path := d.writeSettings(role, i, bootstrap, allSeeds)
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(binary, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "GALENAHEAD_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{name: name, cmd: cmd, done: make(chan struct{}), startedAt: time.Now()}
	started := make(chan error)
	go p.run(started)
	if err := <-started; err != nil {
		d.t.Error(err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[name] = p
	d.noteLocked("started %s", name)
}

// run starts the process and waits for its end. The process is killed when the thread
// that has started it ends, and with it when the test ends early.
func (p *process) run(started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := p.cmd.Start()
	started <- err
	if err == nil {
		_ = p.cmd.Wait()
		close(p.done)
	}
}

func (d *deployment) process(name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name]
}

// stop tells a process to end, kills it after the grace period, and waits for its end.
func (d *deployment) stop(name string) {
	p := d.process(name)
	d.mu.Lock()
	p.stopping = true
	d.noteLocked("SIGTERM to %s", name)
	d.mu.Unlock()
	begin := time.Now()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		d.notef("%s ended after %s: %v", name, time.Since(begin).Round(time.Millisecond), p.cmd.ProcessState)
	case <-time.After(gracePeriod):
		d.notef("SIGKILL to %s after the grace period", name)
		d.count("kills after the grace period of " + name)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// kill kills processes at one moment and waits for their end.
func (d *deployment) kill(names []string) {
	var killed []*process
	for _, name := range names {
		p := d.process(name)
		killed = append(killed, p)
		_ = p.cmd.Process.Kill()
	}
	d.notef("SIGKILL to %v", names)
	for _, p := range killed {
		<-p.done
	}
}

func (d *deployment) close() {
	d.mu.Lock()
	processes := d.processes
	instances := d.instances
	d.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	for _, in := range instances {
		in.close()
	}
	_ = d.machines.Close()
	if *logsFlag == "" {
		return
	}
	keep := filepath.Join(*logsFlag, strings.ReplaceAll(d.t.Name(), "/", "-"))
	if err := os.MkdirAll(keep, 0o700); err != nil {
		d.t.Error(err)
		return
	}
	logs, _ := filepath.Glob(filepath.Join(d.dir, "*.log"))
	for _, path := range logs {
		if b, err := os.ReadFile(path); err == nil {
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(path)), b, 0o600)
		}
	}
	_ = os.WriteFile(filepath.Join(keep, "record.txt"), []byte(d.record.String()), 0o600)
}

// begins starts all processes with empty disks, and instances, and waits until the
// entries are ready.
func (d *deployment) begins() {
	for i := 1; i <= controls; i++ {
		d.start("control", i, true)
	}
	for i := 1; i <= entries; i++ {
		d.start("entry", i, true)
	}
	for i := range 6 {
		in := newInstance(d, i)
		d.mu.Lock()
		d.instances = append(d.instances, in)
		d.mu.Unlock()
		go in.loop()
	}
	d.waitFor("the first configuration", func() bool { return d.replace(1, 1) })
	d.waitFor("ready entries", d.entriesReady)
}

func (d *deployment) entriesReady() bool {
	for i := 1; i <= entries; i++ {
		if status, _ := call(http.MethodGet, d.address(i, "ready"), "/readiness", ""); status != http.StatusOK {
			return false
		}
	}
	return true
}

func (d *deployment) waitFor(what string, done func() bool) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	d.breakf("%s: not within 30 s", what)
}

// ownerNumber returns the number of the control daemon that the newest heartbeat was told.
func (d *deployment) ownerNumber() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := 1; i <= diskControls; i++ {
		if d.address(i, "operator") == d.owner {
			return i
		}
	}
	return 1
}

// report fails the test if a promise was broken.
func (d *deployment) report() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.broken {
		d.t.Error(b)
	}
	d.t.Logf("%d jobs, %v", len(d.jobs), d.counts)
}

// machineCaller calls as instances and operators do.
var machineCaller = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}

// call sends one request of the platform. The status is 0 if there is no whole answer.
func call(method, address, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := machineCaller.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}
