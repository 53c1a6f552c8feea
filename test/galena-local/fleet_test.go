package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

// bin is the directory of the programs, which are built once for all tests.
var bin string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "galena-local-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := deployment.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	bin = dir
	return m.Run()
}

const (
	// testTimeout limits the time of one test. It is far above what a test needs.
	testTimeout = 3 * time.Minute
	vmsPerPool  = 4
)

// fleet is a running deployment with one service on one pool.
type fleet struct {
	*deployment.Deployment
	t                 *testing.T
	ctx               context.Context
	upstreams         []string
	upstreamProcesses []*deployment.Process
	loads             []*runningLoad
}

// startFleet starts a deployment with the service counter on four VMs.
func startFleet(t *testing.T, controls, entries int, platformFlags ...string) *fleet {
	t.Helper()
	return startFleetWithin(t, testTimeout, controls, entries, platformFlags...)
}

// startFleetWithin is startFleet for a test that takes at most the timeout.
func startFleetWithin(t *testing.T, timeout time.Duration, controls, entries int, platformFlags ...string) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	d, err := deployment.New(t.TempDir(), bin, controls, entries)
	if err != nil {
		t.Fatal(err)
	}
	d.PlatformFlags = platformFlags
	f := &fleet{Deployment: d, t: t, ctx: ctx}
	t.Cleanup(f.cleanup)
	f.requireNoError(d.Start(ctx))
	f.runCtl("pool", "set", "counter")
	for i := range vmsPerPool {
		f.addVM(i)
	}
	f.runCtl("service", "set", "counter", "--pool", "counter")
	f.awaitService()
	return f
}

func (f *fleet) addVM(i int) {
	f.t.Helper()
	vm, rack := fmt.Sprintf("counter-%d", i+1), fmt.Sprintf("r%d", i+1)
	f.runCtl("vm", "add", vm, "--pool", "counter", "--data-centre", "sapporo", "--rack", rack, "--cores", "64", "--memory-mb", "131072")
	p, addr, err := f.StartUpstream("counter", vm+"-a", vm, rack, "sapporo")
	f.requireNoError(err)
	f.upstreams = append(f.upstreams, addr)
	f.upstreamProcesses = append(f.upstreamProcesses, p)
}

// cleanup stops all processes and, if the test has failed, logs what helps to find
// the reason.
func (f *fleet) cleanup() {
	if err := f.Stop(); err != nil && !f.t.Failed() {
		f.t.Error(err)
	}
	if !f.t.Failed() {
		return
	}
	for _, c := range f.Controls() {
		f.t.Logf("%s:\n%s", c.Name, lastLines(c.Log()))
	}
	// These lines come after the control logs, so that a report with only the end of
	// the output still contains them.
	for _, e := range f.Entries() {
		if lines := linesContaining(e.Log(), `"outcome":"unknown"`); lines != "" {
			f.t.Logf("%s, requests with an unknown outcome:\n%s", e.Name, lastLines(lines))
		}
	}
	for _, l := range f.loads {
		<-l.done // the test's context is cancelled by now, which ends the load
		f.t.Logf("load: %+v, error %v", l.summary, l.err)
	}
}

// linesContaining returns the lines of s that contain part.
func linesContaining(s, part string) string {
	var out strings.Builder
	for line := range strings.Lines(s) {
		if strings.Contains(line, part) {
			out.WriteString(line)
		}
	}
	return out.String()
}

func lastLines(s string) string {
	const kept = 15
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-kept):], "\n")
}

func (f *fleet) requireNoError(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// runCtl runs galenactl until it succeeds and returns its output.
func (f *fleet) runCtl(args ...string) string {
	f.t.Helper()
	var out string
	f.requireNoError(f.Eventually(f.ctx, func() (err error) {
		out, err = f.RunCtl(f.ctx, args...)
		return err
	}))
	return out
}

// slotsPerVM is the number of slots that each stand-in upstream announces.
const slotsPerVM = 8

// awaitService waits until every entry is ready, knows all slots, and sees that the
// broker withholds none of them.
func (f *fleet) awaitService() {
	f.t.Helper()
	f.requireNoError(f.Eventually(f.ctx, func() error {
		for _, e := range f.Entries() {
			if err := f.checkEntry(e); err != nil {
				return err
			}
		}
		return nil
	}))
}

func (f *fleet) checkEntry(e *deployment.Entry) error {
	if _, err := f.get("http://" + e.StatusAddress + "/ready"); err != nil {
		return err
	}
	body, err := f.get("http://" + e.StatusAddress + "/services")
	if err != nil {
		return err
	}
	var services []struct {
		Slots   int  `json:"slots"`
		Settled bool `json:"settled"`
	}
	if err := json.Unmarshal(body, &services); err != nil {
		return err
	}
	if len(services) != 1 || services[0].Slots != vmsPerPool*slotsPerVM || !services[0].Settled {
		return fmt.Errorf("services at %s: got %s", e.Name, body)
	}
	return nil
}

// get returns the response body of a GET request, or an error if the status is not
// 200.
func (f *fleet) get(url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s: %s", url, resp.Status, body)
	}
	return body, err
}

// summary is the part of the callers' summary that the tests check.
type summary struct {
	Sent          int            `json:"sent"`
	Ran           int            `json:"ran"`
	RanError      int            `json:"ran_error"`
	NotRun        int            `json:"not_run"`
	Unknown       int            `json:"unknown"`
	Lost          int            `json:"lost"`
	Mismatched    int            `json:"mismatched"`
	Late          int            `json:"late"`
	DuplicateRuns int            `json:"doubled"`
	Reasons       map[string]int `json:"reasons"`
	Evidence      struct {
		Unreachable   []string `json:"unreachable"`
		PeakInFlight  int      `json:"peak_in_flight"`
		DuplicateRuns []string `json:"doubled_runs"`
		NotRunButRan  []string `json:"not_run_but_ran"`
	} `json:"evidence"`
}

// runningLoad is a load generator that runs in the background.
type runningLoad struct {
	fleet   *fleet
	args    []string
	done    chan struct{}
	summary summary
	err     error
}

func (f *fleet) startLoad(args ...string) *runningLoad {
	l := &runningLoad{fleet: f, args: args, done: make(chan struct{})}
	f.loads = append(f.loads, l)
	go l.run()
	return l
}

func (l *runningLoad) run() {
	defer close(l.done)
	l.err = l.fleet.RunLoad(l.fleet.ctx, l.fleet.upstreams, &l.summary, l.args...)
}

func (l *runningLoad) wait() summary {
	l.fleet.t.Helper()
	<-l.done
	l.fleet.requireNoError(l.err)
	l.fleet.t.Logf("load: %+v", l.summary)
	return l.summary
}

// checkAnswers checks the guarantees that must hold whatever faults occur.
func (s summary) checkAnswers(t *testing.T) {
	t.Helper()
	if s.Ran == 0 {
		t.Error("no request ran")
	}
	if s.Mismatched > 0 {
		t.Errorf("%d responses belong to other requests", s.Mismatched)
	}
	if s.DuplicateRuns > 0 || len(s.Evidence.DuplicateRuns) > 0 {
		t.Errorf("non-idempotent requests ran twice: %v", s.Evidence.DuplicateRuns)
	}
	if len(s.Evidence.NotRunButRan) > 0 {
		t.Errorf("requests ran although their outcome was not_run: %v", s.Evidence.NotRunButRan)
	}
	if s.Evidence.PeakInFlight > 8 {
		t.Errorf("an instance with 8 slots had %d requests in flight", s.Evidence.PeakInFlight)
	}
}

// getJSON decodes the response body of a GET request into v.
func (f *fleet) getJSON(url string, v any) {
	f.t.Helper()
	body, err := f.get(url)
	f.requireNoError(err)
	f.requireNoError(json.Unmarshal(body, v))
}
