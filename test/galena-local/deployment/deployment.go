// Package deployment runs the programs of galenahead as separate processes on
// loopback addresses. It is for demonstrations and tests only; galenahead itself
// starts no processes.
package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// dataCentres are the data centres of the Kitakaze deployment.
var dataCentres = []string{"sapporo", "asahikawa", "hakodate"}

// programs maps the names of the programs that Build builds to their packages.
var programs = map[string]string{
	"galena-control": "github.com/galenahead/galenahead/cmd/galena-control",
	"galena-entry":   "github.com/galenahead/galenahead/cmd/galena-entry",
	"galenactl":      "github.com/galenahead/galenahead/cmd/galenactl",
	"galena-standin": "github.com/galenahead/galenahead/test/galena-standin",
}

// Deployment is a set of processes that share one directory.
type Deployment struct {
	// PlatformFlags are additional flags for the stand-in platform.
	PlatformFlags []string

	// processLines holds additional lines of the section [process] by the name of the daemon.
	processLines    map[string]string
	dir, bin        string
	platformAddress string
	evidenceAddress string
	controls        []*Control
	entries         []*Entry
	processes       []*Process
}

// Control is a control daemon.
type Control struct {
	*Process
	Name                                        string
	DataDir                                     string
	peerAddress, operatorAddress, statusAddress string
	dataCentre                                  string
}

// Entry is an entry daemon.
type Entry struct {
	*Process
	Name                                                       string
	CallerAddress, UpstreamAddress, StatusAddress, peerAddress string
	dataCentre                                                 string
}

// New allocates loopback ports for a deployment and writes its settings files below
// dir. bin is the directory of the programs that Build built. Start starts the
// processes.
func New(dir, bin string, controls, entries int) (*Deployment, error) {
	d := &Deployment{dir: dir, bin: bin}
	ports := &portAllocator{}
	d.platformAddress, d.evidenceAddress = ports.next(), ports.next()
	for i := range controls {
		c := &Control{
			Name: fmt.Sprintf("control-%d", i+1), peerAddress: ports.next(), operatorAddress: ports.next(), statusAddress: ports.next(),
			dataCentre: dataCentres[i%len(dataCentres)],
		}
		c.DataDir = filepath.Join(dir, c.Name)
		c.Process = d.addProcess(c.Name, "galena-control", "--settings", filepath.Join(dir, c.Name+".ini"))
		d.controls = append(d.controls, c)
	}
	for i := range entries {
		e := &Entry{
			Name: fmt.Sprintf("entry-%02d", i+1), CallerAddress: ports.next(), UpstreamAddress: ports.next(), StatusAddress: ports.next(),
			peerAddress: ports.next(), dataCentre: dataCentres[i%len(dataCentres)],
		}
		e.Process = d.addProcess(e.Name, "galena-entry", "--settings", filepath.Join(dir, e.Name+".ini"))
		d.entries = append(d.entries, e)
	}
	if err := ports.close(); err != nil {
		return nil, err
	}
	return d, d.writeSettings()
}

// portAllocator allocates free loopback ports. It listens on them until close, so
// that no port is allocated twice.
type portAllocator struct {
	listeners []net.Listener
	err       error
}

func (a *portAllocator) next() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		a.err = err
		return ""
	}
	a.listeners = append(a.listeners, ln)
	return ln.Addr().String()
}

func (a *portAllocator) close() error {
	for _, ln := range a.listeners {
		_ = ln.Close()
	}
	return a.err
}

// Build builds all programs into the directory bin.
func Build(ctx context.Context, bin string) error {
	g, ctx := errgroup.WithContext(ctx)
	for name, pkg := range programs {
		g.Go(func() error {
			out, err := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(bin, name), pkg).CombinedOutput()
			return eris.Wrapf(err, "build %s: %s", name, out)
		})
	}
	return g.Wait()
}

// Controls returns the control daemons.
func (d *Deployment) Controls() []*Control { return d.controls }

// Entries returns the entry daemons.
func (d *Deployment) Entries() []*Entry { return d.entries }

// PlatformEvidence returns the URL of the evidence of the stand-in platform.
func (d *Deployment) PlatformEvidence() string { return "http://" + d.evidenceAddress + "/evidence" }

// CallerAddresses returns the addresses at which the entries serve callers.
func (d *Deployment) CallerAddresses() []string {
	var list []string
	for _, e := range d.entries {
		list = append(list, e.CallerAddress)
	}
	return list
}

// Start starts the stand-in platform and all daemons, and bootstraps the
// control cluster.
func (d *Deployment) Start(ctx context.Context) error {
	flags := append([]string{"platform", "--address", d.platformAddress, "--evidence-address", d.evidenceAddress, "--reboot-time", "500ms"}, d.PlatformFlags...)
	platform := d.addProcess("platform", "galena-standin", flags...)
	if err := platform.Start(); err != nil {
		return err
	}
	for _, c := range d.controls {
		if err := c.Start(); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	return d.bootstrap(ctx)
}

func (d *Deployment) bootstrap(ctx context.Context) error {
	return d.Eventually(ctx, func() error {
		_, err := d.RunCtl(ctx, "cluster", "bootstrap")
		return err
	})
}

// StartUpstream starts a stand-in upstream that announces itself to all entries in
// rotation. It returns the process and its address.
func (d *Deployment) StartUpstream(service, instance, vm, rack, dataCentre string, extraArgs ...string) (*Process, string, error) {
	ports := &portAllocator{}
	addr := ports.next()
	if err := ports.close(); err != nil {
		return nil, "", err
	}
	var entries []string
	for _, e := range d.entries {
		entries = append(entries, e.UpstreamAddress)
	}
	args := append([]string{
		"upstream", "--address", addr, "--entries", strings.Join(entries, ","), "--service", service, "--instance", instance,
		"--vm", vm, "--rack", rack, "--data-centre", dataCentre,
	}, extraArgs...)
	p := d.addProcess(instance, "galena-standin", args...)
	return p, addr, p.Start()
}

// RunLoad runs the stand-in callers against all entries and decodes their result
// into summary.
func (d *Deployment) RunLoad(ctx context.Context, upstreams []string, summary any, args ...string) error {
	args = append([]string{
		"caller", "--entries", strings.Join(d.CallerAddresses(), ","), "--upstreams", strings.Join(upstreams, ","),
	}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "galena-standin"), args...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return eris.Wrapf(err, "galena-standin caller: %s", strings.TrimSpace(errOut.String()))
	}
	return eris.Wrap(json.Unmarshal(out.Bytes(), summary), "decode the callers' summary")
}

// RunCtl runs galenactl and returns its standard output.
func (d *Deployment) RunCtl(ctx context.Context, args ...string) (string, error) {
	var operators []string
	for _, c := range d.controls {
		operators = append(operators, c.operatorAddress)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "galenactl"), append([]string{"--control", strings.Join(operators, ",")}, args...)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), eris.Wrapf(err, "galenactl %s: %s", strings.Join(args, " "), strings.TrimSpace(errOut.String()))
	}
	return out.String(), nil
}

// pollPeriod is the time between two attempts of Eventually.
const pollPeriod = 50 * time.Millisecond

// exitUsage is the exit code of galenactl for invalid arguments, after which a
// retry is pointless.
const exitUsage = 2

func isUsageError(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.ExitCode() == exitUsage
}

// Eventually repeats f until it succeeds or fails with a usage error. If ctx is
// done first, it returns the last error of f.
func (d *Deployment) Eventually(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || isUsageError(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollPeriod):
		}
	}
}

// Stop stops all processes with SIGTERM in reverse order of their creation, so that
// entries stop before control daemons. It returns the first error.
func (d *Deployment) Stop() error {
	var first error
	for _, p := range d.processes {
		if err := p.Stop(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (d *Deployment) addProcess(name, program string, args ...string) *Process {
	p := NewProcess(name, filepath.Join(d.bin, program), d.dir, args...)
	d.processes = append([]*Process{p}, d.processes...)
	return p
}

// Process is a process that can be started, paused and stopped.
type Process struct {
	// MaxFiles is how many descriptors it may have open from its next start on, or zero for the
	// limit of this process.
	MaxFiles int

	name    string
	path    string
	dir     string
	args    []string
	logPath string
	cmd     *exec.Cmd
}

// NewProcess returns a process that runs the program at path in the directory dir
// and writes its output to the file NAME.log there. Start starts it.
func NewProcess(name, path, dir string, args ...string) *Process {
	return &Process{name: name, path: path, dir: dir, args: args, logPath: filepath.Join(dir, name+".log")}
}

// Start starts the process. It may be called again after Kill or Stop; output is
// appended to the log file.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.path, p.args...)
	if p.MaxFiles > 0 {
		limited := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.MaxFiles), p.path}
		cmd = exec.Command("/bin/sh", append(limited, p.args...)...)
	}
	cmd.Dir = p.dir
	cmd.Stdout, cmd.Stderr = out, out
	// Without this, processes would keep running after the test process has crashed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	p.cmd = cmd
	return nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	if p.cmd == nil {
		return nil
	}
	err := p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
	return err
}

// Stop sends SIGTERM to the process and waits for its end. It returns an error if
// the exit code is not 0.
func (p *Process) Stop() error {
	if p.cmd == nil {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	err := p.cmd.Wait()
	p.cmd = nil
	return eris.Wrapf(err, "stop %s", p.name)
}

// Log returns the output of the process so far.
func (p *Process) Log() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// OperatorAddress returns the address at which the daemon serves operators.
func (c *Control) OperatorAddress() string { return c.operatorAddress }

// PeerAddress returns the address at which the daemon serves other daemons.
func (c *Control) PeerAddress() string { return c.peerAddress }

// StatusAddress returns the address at which the daemon serves status requests.
func (c *Control) StatusAddress() string { return c.statusAddress }

// PeerAddress returns the address at which the daemon serves other daemons.
func (e *Entry) PeerAddress() string { return e.peerAddress }
