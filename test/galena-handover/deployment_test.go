package galenahandover

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	vmCount        = 3
	repositoryRoot = "../.."
)

// binary is the galena-fleet that the tests run.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "galena-handover-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "galena-fleet")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "./cmd/galena-fleet")
	build.Dir = repositoryRoot
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build galena-fleet: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment is three VMs that run a control daemon and an entry each.
type deployment struct {
	t        *testing.T
	dir      string
	ports    map[string]int
	platform *http.Server
	// platformAddress is where the platform lists the machines.
	platformAddress string
	processes       map[string]*process
}

// process is a daemon. done is closed when it has ended.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) run() {
	_ = p.cmd.Wait()
	close(p.done)
}

// end sends the process a signal and waits until it has ended.
func (p *process) end(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
	<-p.done
}

func vmIP(i int) string { return fmt.Sprintf("127.71.0.%d", i) }

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), ports: map[string]int{}, processes: map[string]*process{}}
	for _, name := range []string{"front", "ready", "control", "peer", "status"} {
		d.ports[name] = freePort(t)
	}
	ln, err := net.Listen("tcp", "127.71.1.1:0")
	d.requireNoError(err)
	d.platformAddress = ln.Addr().String()
	d.platform = &http.Server{Handler: http.HandlerFunc(listNoMachines)}
	go func() { _ = d.platform.Serve(ln) }()
	t.Cleanup(d.close)
	return d
}

// freePort returns a port that is free on all VMs.
func freePort(t *testing.T) int {
	t.Helper()
	for range 20 {
		first, err := net.Listen("tcp", vmIP(1)+":0")
		if err != nil {
			t.Fatal(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for i := 2; i <= vmCount; i++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", vmIP(i), port))
			if err != nil {
				free = false
				continue
			}
			_ = ln.Close()
		}
		_ = first.Close()
		if free {
			return port
		}
	}
	t.Fatal("no port is free on all VMs")
	return 0
}

func listNoMachines(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": []any{}, "next_token": ""})
}

func (d *deployment) requireNoError(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) address(i int, name string) string {
	return fmt.Sprintf("%s:%d", vmIP(i), d.ports[name])
}

func (d *deployment) controls() []string {
	var out []string
	for i := 1; i <= vmCount; i++ {
		out = append(out, d.address(i, "control"))
	}
	return out
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// settings fills in the template of a role. Sections without a value are left out.
func (d *deployment) settings(role string, i int) string {
	d.t.Helper()
	dataCentres := []string{"sapporo", "asahikawa", "hakodate"}
	values := map[string]string{
		"node": fmt.Sprintf("front-%s-1", dataCentres[i-1]), "zone": dataCentres[i-1], "region": "hokkaido", "ip": vmIP(i),
		"limits.memory_mb": "284", "limits.max_fds": "4100",
		"listen.control": d.address(i, "control"), "listen.front": d.address(i, "front"), "listen.ready": d.address(i, "ready"),
		"internal_ports.0": fmt.Sprint(d.ports["peer"]), "internal_ports.1": fmt.Sprint(d.ports["status"]),
		"seeds": strings.Join(d.controls(), ","), "data_dir": filepath.Join(d.dir, fmt.Sprintf("data-%d", i)), "bootstrap": "true",
		"fault_tolerance.machines": "1", "fault_tolerance.zones": "0", "bounds.catch_up_s": "4",
		"bounds.max_hold_ms": fmt.Sprint(maxLease.Milliseconds()), "bounds.stop_timeout_ms": "200", "bounds.lease_ms": "3000",
		"bounds.status_s": "120", "bounds.grace_s": "6", "cloud.address": d.platformAddress,
	}
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "platform", role+".ini"))
	d.requireNoError(err)
	out := sectionPattern.ReplaceAllStringFunc(string(text), func(s string) string {
		parts := sectionPattern.FindStringSubmatch(s)
		if value, ok := values[parts[1]]; ok {
			return strings.ReplaceAll(parts[2], "{{.}}", value)
		}
		return ""
	})
	return placeholderPattern.ReplaceAllStringFunc(out, func(s string) string {
		value, ok := values[strings.Trim(s, "{}")]
		if !ok {
			d.t.Fatalf("the template of %s needs a value of %s", role, s)
		}
		return value
	})
}

func (d *deployment) start(role string, i int) {
	d.t.Helper()
	name := fmt.Sprintf("%s-%d", role, i)
	path := filepath.Join(d.dir, name+".ini")
	d.requireNoError(os.WriteFile(path, []byte(d.settings(role, i)), 0o600))
	log, err := os.OpenFile(d.logPath(name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	d.requireNoError(err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(binary, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "GALENAHEAD_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.requireNoError(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{})}
	go p.run()
	d.processes[name] = p
}

func (d *deployment) logPath(name string) string { return filepath.Join(d.dir, name+".log") }

// startAll starts all daemons, and returns once a configuration is in force and all entries are ready.
func (d *deployment) startAll() {
	d.t.Helper()
	for i := 1; i <= vmCount; i++ {
		d.start("entry", i)
		d.start("control", i)
	}
	d.waitFor("a configuration to be accepted", func() bool {
		for _, addr := range d.controls() {
			if status, _ := call(http.MethodPost, addr, "", "/config/replace", configuration); status == http.StatusOK {
				return true
			}
		}
		return false
	})
	d.waitFor("all entries to be ready", func() bool {
		for i := 1; i <= vmCount; i++ {
			if status, _ := call(http.MethodGet, d.address(i, "ready"), "", "/readiness", ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

var ownerPattern = regexp.MustCompile(`became owner of the fleet.*?epoch\W+(\d+)|epoch\W+(\d+).*?became owner of the fleet`)

// owner returns the VM whose control daemon has become the owner last.
func (d *deployment) owner() int {
	d.t.Helper()
	owner, last := 0, 0
	for i := 1; i <= vmCount; i++ {
		text, err := os.ReadFile(d.logPath(fmt.Sprintf("control-%d", i)))
		d.requireNoError(err)
		for line := range strings.Lines(string(text)) {
			var epoch int
			if m := ownerPattern.FindStringSubmatch(line); m != nil {
				_, _ = fmt.Sscan(m[1]+m[2], &epoch)
			}
			if epoch > last {
				owner, last = i, epoch
			}
		}
	}
	if owner == 0 {
		d.t.Fatal("no control daemon has become the owner")
	}
	return owner
}

func (d *deployment) waitFor(condition string, isDone func() bool) {
	d.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if isDone() {
			return
		}
	}
	d.t.Fatal("still waiting for " + condition)
}

func (d *deployment) close() {
	for _, p := range d.processes {
		p.end(syscall.SIGKILL)
	}
	_ = d.platform.Close()
}

var caller = &http.Client{Timeout: 3 * time.Second}

// call sends a request and returns the status and body of its response, or zero if there is none.
func call(method, addr, host, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), caller.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
		req.Header.Set("Galenahead-Deadline-Ms", "3000")
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	r, err := caller.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(b)
}
