package stand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const minionCPU = 32000

// fleet is a small deployment: machines with an address on loopback each, on which a
// control daemon and an entry run, started with the commands of deploy/system.toml and
// settings as platform/*.ini make them.
type fleet struct {
	rec      *record
	root     string
	dir      string
	net      string
	ports    map[string]int
	machines int
	platform *machines
	procs    map[string]*exec.Cmd
	minions  []*minion
	// advisorLine is the line of the settings with the address of the advice service, or
	// empty, and advice what the config says of it.
	advisorLine, advice string
}

func newFleet(rec *record, root string, machines int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, dir: dir, machines: machines, ports: map[string]int{}, procs: map[string]*exec.Cmd{}}
	f.net = fmt.Sprintf("127.%d.%d", 50+rand.IntN(150), rand.IntN(250))
	for _, name := range []string{"front", "ready", "control", "peer", "status"} {
		ln, err := net.Listen("tcp", f.ip(1)+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		f.ports[name] = ln.Addr().(*net.TCPAddr).Port
	}
	f.platform, err = newMachines(rec, f.net+".200:0")
	return f, err
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("%s.%d", f.net, i) }

func (f *fleet) addr(i int, port string) string { return fmt.Sprintf("%s:%d", f.ip(i), f.ports[port]) }

func (f *fleet) controls() []string {
	var out []string
	for i := 1; i <= f.machines; i++ {
		out = append(out, f.addr(i, "control"))
	}
	return out
}

func (f *fleet) startControl(i int, bootstrap bool) error {
	return f.run(fmt.Sprintf("machine-%d/control", i), "control", fmt.Sprintf(`[process]
name = machine-%d
data_centre = zone-%d
region = region-1
log_file = stdout
machine_memory_mb = 284
max_open_files = 4100

[listen]
operator_address = %s
peer_address = %s
status_address = %s

[control]
seeds = %s
peer_port = %d
data_directory = %s
bootstrap = %t
losses = 1

[instances]
max_lease = %dms
stop_timeout = %dms
machine_lease = 3000ms
keep_final = 120s

[platform]
machines_address = %s
%s`, i, i, f.addr(i, "control"), f.addr(i, "peer"), f.addr(i, "status"), strings.Join(f.controls()[:3], ","), f.ports["peer"],
		filepath.Join(f.dir, fmt.Sprintf("disk-%d", i)), bootstrap, maxHold.Milliseconds(), stopTimeout.Milliseconds(), f.platform.addr, f.advisorLine))
}

func (f *fleet) startEntry(i int) error {
	return f.run(fmt.Sprintf("machine-%d/entry", i), "entry", fmt.Sprintf(`[process]
name = machine-%d
data_centre = zone-%d
region = region-1
log_file = stdout
machine_memory_mb = 284
stop_delay = 3500ms
grace_period = 6s

[listen]
caller_address = %s
status_address = %s

[control]
seeds = %s
peer_port = %d
`, i, i, f.addr(i, "front"), f.addr(i, "ready"), strings.Join(f.controls()[:3], ","), f.ports["peer"]))
}

func (f *fleet) run(name, role, settings string) error {
	file := filepath.Join(f.dir, strings.ReplaceAll(name, "/", "-"))
	if err := os.WriteFile(file+".ini", []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(f.root, "target/galena-fleet"), role)
	cmd.Dir = f.root
	cmd.Env = append(os.Environ(), "GALENAHEAD_SETTINGS="+file+".ini")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.procs[name] = cmd
	f.rec.add("process %s starts", name)
	return nil
}

// signal sends a signal to a process of the deployment.
func (f *fleet) signal(name string, s syscall.Signal) {
	_ = f.procs[name].Process.Signal(s)
	f.rec.add("process %s gets signal %s", name, s)
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, m := range f.minions {
		if m.current() != nil && m.current().ctx.Err() == nil {
			m.end("the test ends")
		}
	}
	for _, p := range f.procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = f.platform.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// up starts the machines and minions and waits until the deployment serves.
func (f *fleet) up(minions int) error {
	for i := 1; i <= f.machines; i++ {
		if err := f.startControl(i, true); err != nil {
			return err
		}
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	for i := range minions {
		ln, err := net.Listen("tcp", f.ip(100+i)+":0")
		if err != nil {
			return err
		}
		_ = ln.Close()
		m := &minion{
			id: fmt.Sprintf("i-%08d", i+1), service: "socio-norte", addr: ln.Addr().String(), machine: fmt.Sprintf("m-%d", i+1),
			rack: fmt.Sprintf("r%d", 1+i/4), controls: f.controls(), rec: f.rec,
		}
		f.minions = append(f.minions, m)
		f.platform.add(m)
		if err := m.start(); err != nil {
			return err
		}
	}
	const config = `{"version":%d,"routes":[{"name":"cotiza","host":"shop.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":3000,` +
		`"target_latency_ms":600,"priority":0,"service":"socio-norte","max_attempts":2,"stretch":1.6%s}],` +
		`"services":[{"name":"socio-norte","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":true,"spare":false}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
	err := f.wait("the first config is acknowledged", 30*time.Second, func() bool {
		for _, c := range f.controls() {
			if status, _ := post(context.Background(), c, "/config/replace", fmt.Sprintf(config, 3, f.advice), time.Second); status == 200 {
				return true
			}
		}
		return false
	})
	if err != nil {
		return err
	}
	for i := 1; i <= f.machines; i++ {
		if err := f.entryReady(i); err != nil {
			return err
		}
	}
	// The core has to be stable, and all machines in touch, for longer than contact_ms.
	time.Sleep(5 * time.Second)
	return nil
}

// entryReady waits until an entry reports that it is ready.
func (f *fleet) entryReady(i int) error {
	return f.wait(fmt.Sprintf("the entry of machine-%d is ready", i), 20*time.Second, func() bool {
		resp, err := plain.Get("http://" + f.addr(i, "ready") + "/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 200
	})
}

func (f *fleet) wait(what string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			f.rec.add("met: %s", what)
			return nil
		}
	}
	return fmt.Errorf("not met within %s: %s", limit, what)
}

// owner returns the number of the machine whose control daemon owns the fleet, as the
// heartbeat address of the minions tells.
func (f *fleet) owner() int {
	for _, m := range f.minions {
		l := m.current()
		l.mu.Lock()
		a := l.hbAddr
		l.mu.Unlock()
		for i := 1; i <= f.machines; i++ {
			if a == f.addr(i, "control") {
				return i
			}
		}
	}
	return 0
}

// request sends a client's request to an entry, and records it. Status 0 stands for no
// answer within the limit.
func (f *fleet) request(entry int, method, id, body string, limit time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+f.addr(entry, "front")+"/q/"+id, bytes.NewReader([]byte(body)))
	req.Host = "shop.example"
	req.Header.Set("Galenahead-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	f.rec.add("client to machine-%d: %s /q/%s %s", entry, method, id, body)
	status, answer := 0, ""
	if resp, err := plain.Do(req); err == nil {
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, answer = resp.StatusCode, string(b)
	}
	f.rec.add("client from machine-%d: %s /q/%s: answer %d %s", entry, method, id, status, answer)
	return status, answer
}

// submit hands a job in until it is accepted.
func (f *fleet) submit(id, spec string, count, cpu, ms int, more string) error {
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"mem_mb":256,"estimate_ms":%d%s}]}`, spec, count, cpu, ms, more)
	entry := 1
	return f.wait("job "+id+" is accepted", 15*time.Second, func() bool {
		status, _ := f.request(entry, "POST", id, body, 3*time.Second)
		entry = entry%f.machines + 1
		return status == 200
	})
}
