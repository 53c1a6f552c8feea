package stand3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: one line for each thing that was sent, answered or run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, begin: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment of galena-fleet: three machines that run control and
// entry, as deploy/system.toml places them on the first machine of each zone.
type deployment struct {
	record   *recorder
	dir      string
	binary   string
	port     map[string]int
	cloud    *http.Server
	cloudAt  string
	machines func() []map[string]any

	mu    sync.Mutex
	procs map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

const machineCount = 3

func ip(i int) string { return fmt.Sprintf("127.63.0.%d", i) }

func newDeployment(record *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: record, dir: dir, binary: "target/galena-fleet", port: map[string]int{}, procs: map[string]*process{},
		machines: func() []map[string]any { return nil },
	}
	for _, name := range []string{"front", "ready", "control", "internal0", "internal1"} {
		if d.port[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", "127.63.1.1:0")
	if err != nil {
		return nil, err
	}
	d.cloudAt = listener.Addr().String()
	d.cloud = &http.Server{Handler: http.HandlerFunc(d.serveCloud)}
	go func() { _ = d.cloud.Serve(listener) }()
	return d, nil
}

// freePort returns a port that is free on all addresses of the deployment.
func freePort() (int, error) {
	for range 20 {
		first, err := net.Listen("tcp", ip(1)+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for i := 2; i <= machineCount; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip(i), port))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		_ = first.Close()
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// serveCloud answers readings of the list of machines. No machine is moved in these cases.
func (d *deployment) serveCloud(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.Method != http.MethodGet || r.URL.Path != "/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rows := d.machines()
	if rows == nil {
		rows = []map[string]any{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next_token": ""})
}

func (d *deployment) address(i int, name string) string {
	return fmt.Sprintf("%s:%d", ip(i), d.port[name])
}

func (d *deployment) controls() []string {
	var out []string
	for i := 1; i <= machineCount; i++ {
		out = append(out, d.address(i, "control"))
	}
	return out
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// settings fills in the template of a role with the example values of the users' pages.
func (d *deployment) settings(role string, i int, bootstrap bool) (string, error) {
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	values := map[string]string{
		"node": fmt.Sprintf("front-%s-1", zones[i-1]), "zone": zones[i-1], "region": "hokkaido", "ip": ip(i),
		"limits.memory_mb": "284", "limits.max_fds": "4100",
		"listen.control": d.address(i, "control"), "listen.front": d.address(i, "front"), "listen.ready": d.address(i, "ready"),
		"internal_ports.0": fmt.Sprint(d.port["internal0"]), "internal_ports.1": fmt.Sprint(d.port["internal1"]),
		"seeds": strings.Join(d.controls(), ","), "data_dir": filepath.Join(d.dir, fmt.Sprintf("data-%d", i)), "bootstrap": fmt.Sprint(bootstrap),
		"fault_tolerance.machines": "1", "fault_tolerance.zones": "0", "bounds.catch_up_s": "4", "bounds.max_hold_ms": "10000",
		"bounds.stop_timeout_ms": "200", "bounds.lease_ms": "3000", "bounds.status_s": "120", "bounds.grace_s": "6",
		"cloud.address": d.cloudAt,
	}
	text, err := os.ReadFile(filepath.Join("platform", role+".ini"))
	if err != nil {
		return "", err
	}
	out := section.ReplaceAllStringFunc(string(text), func(s string) string {
		parts := section.FindStringSubmatch(s)
		value, ok := values[parts[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	var missing []string
	out = placeholder.ReplaceAllStringFunc(out, func(s string) string {
		value, ok := values[strings.Trim(s, "{}")]
		if !ok {
			missing = append(missing, s)
		}
		return value
	})
	if missing != nil {
		return "", fmt.Errorf("no value for %v", missing)
	}
	return out, nil
}

// start starts one role of a machine with the command of the deploy file.
func (d *deployment) start(role string, i int, bootstrap bool) error {
	name := fmt.Sprintf("%s-%d", role, i)
	text, err := d.settings(role, i, bootstrap)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.binary, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "GALENAHEAD_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() { p.err = cmd.Wait(); close(p.done) }()
	d.mu.Lock()
	d.procs[name] = p
	d.mu.Unlock()
	d.record.printf("started %s", name)
	return nil
}

func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	_ = d.cloud.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// startAll starts all processes, sends the first config until it is accepted, and waits
// until all entries are ready.
func (d *deployment) startAll(config string) error {
	for i := 1; i <= machineCount; i++ {
		for _, role := range []string{"entry", "control"} {
			if err := d.start(role, i, true); err != nil {
				return err
			}
		}
	}
	if err := d.replaceConfig(config); err != nil {
		return err
	}
	return waitFor(30*time.Second, "entries ready", func() bool {
		for i := 1; i <= machineCount; i++ {
			if status, _ := call(http.MethodGet, d.address(i, "ready"), "", "/readiness", ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (d *deployment) replaceConfig(config string) error {
	return waitFor(30*time.Second, "config accepted", func() bool {
		for _, addr := range d.controls() {
			if status, body := call(http.MethodPost, addr, "", "/config/replace", config); status == http.StatusOK {
				return true
			} else if status != 0 {
				d.record.printf("config at %s: %d %s", addr, status, body)
			}
		}
		return false
	})
}

func waitFor(limit time.Duration, what string, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, limit)
}
