package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenahead/galenahead/galenacrowd"
	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

// Clients that send far more than the limits, against galena-entry and galena-control. What is checked
// does not depend on the speed of the machine: that the process lives, that its memory and its
// descriptors stay within those of its machine, and that ordinary requests are answered beside the
// crowd and after it.

const (
	// floodEntryMemoryMB and floodControlMemoryMB are the memory of the machine of a flooded process.
	floodEntryMemoryMB, floodControlMemoryMB = 64, 96
	// floodFiles are its descriptors, and floodFewFiles those of a process that silent clients
	// connect to.
	floodFiles, floodFewFiles = 4096, 300
	// bodyLimit is the limit of bodies in the settings, and farBody the length of a body far beyond it.
	bodyLimit, farBody = 1 << 20, 4 << 20
	// nearBody is the length of a body inside the limit.
	nearBody = 1_000_000
	// silentClients is more than floodFewFiles.
	silentClients = 800
	// floodTimeout bounds each wait for an ordinary answer, and floodsTimeout all crowds of a test.
	floodTimeout, floodsTimeout = 20 * time.Second, 15 * time.Minute
)

// floodCase is a crowd at a port of a process.
type floodCase struct {
	name, port string
	n          int
	client     galenacrowd.Client
	// files is how many descriptors the process may have, if not floodFiles.
	files int
}

// message returns a call between daemons with parameters of at least n bytes.
func message(method string, n int) string {
	return galenacrowd.Frame(fmt.Sprintf(`{"jsonrpc":"2.0","method":%q,"id":1,"params":{"x":%q}}`, method, strings.Repeat("x", n)))
}

// manyElements returns a call between daemons with a list of n empty objects.
func manyElements(method, list string, n int) string {
	return galenacrowd.Frame(fmt.Sprintf(`{"jsonrpc":"2.0","method":%q,"id":1,"params":{%q:[{}%s]}}`, method, list, strings.Repeat(",{}", n-1)))
}

// statusAndPeerFloods are the crowds at the ports that all daemons have. method is a call that the
// process answers, and batch one whose parameters have a list.
func statusAndPeerFloods(method, batch, list string) []floodCase {
	return []floodCase{
		{"messages that are much larger decoded", "peer", 10, galenacrowd.Repeated(manyElements(batch, list, 2_000_000), 3), 0},
		{"short messages that are much larger decoded", "peer", 200, galenacrowd.Repeated(manyElements(batch, list, 20_000), 20), 0},
		{"bodies at the status port", "status", 100, galenacrowd.Announced("/ready", farBody, 64<<10), 0},
		{"bodies announced to the status port", "status", 500, galenacrowd.Announced("/ready", farBody, farBody), 0},
		{"status pages that nobody reads", "status", 60, galenacrowd.Unread("/debug/vars", 20000), 0},
		{"messages far beyond any", "peer", 100, galenacrowd.LongFrame(1<<40, 8<<20), 0},
		{"messages just below the length that is trusted", "peer", 1000, galenacrowd.LongFrame(64<<10, 64<<10-1), 0},
		{"calls whose answers nobody reads", "peer", 100, galenacrowd.Repeated(message(method, 1), 5000), 0},
		{"large calls whose answers nobody reads", "peer", 100, galenacrowd.Repeated(message("no.such.method", 60_000), 200), 0},
		{"silent clients of the status port", "status", silentClients, galenacrowd.Silent, floodFewFiles},
		{"silent clients of the peer port", "peer", silentClients, galenacrowd.Silent, floodFewFiles},
	}
}

// requestHeader returns the header lines of a request to a service.
func requestHeader(service string, deadline time.Duration) string {
	key := fmt.Sprintf("%d-%d", time.Now().UnixMilli(), nextKey.Add(1))
	return fmt.Sprintf("X-Galena-Service: %s\r\nX-Galena-Caller: crowd\r\nX-Galena-Key: %s\r\nX-Galena-Idempotent: true\r\nX-Galena-Deadline-Ms: %d\r\n",
		service, key, deadline.Milliseconds())
}

var nextKey, nextService atomic.Int64

func entryFloods() []floodCase {
	body := strings.Repeat("x", nearBody)
	return append([]floodCase{
		{"bodies inside the limit that are not sent whole", "caller", 200, galenacrowd.Announced("/", nearBody, 64<<10), 0},
		{"bodies announced", "caller", 1000, galenacrowd.Announced("/", bodyLimit, bodyLimit), 0},
		{"bodies in chunks without end", "caller", 200, galenacrowd.Chunked("/", nearBody), 0},
		{"bodies beyond the limit", "caller", 200, galenacrowd.Announced("/", farBody, 64<<10), 0},
		{"headers without end", "caller", 200, galenacrowd.EndlessHeaders(1 << 20), 0},
		{"answers that nobody reads", "caller", 60, galenacrowd.Unread("/", 20000), 0},
		{"complete bodies inside the limit", "caller", 200, galenacrowd.Complete(3, func() string {
			return galenacrowd.Request(http.MethodPost, "/", requestHeader("counter", 20*time.Second), body)
		}, nil), 0},
		{"requests that name many services", "caller", 20, galenacrowd.Complete(200, func() string {
			return galenacrowd.Request(http.MethodPost, "/", requestHeader(fmt.Sprintf("service-%d", nextService.Add(1)), time.Second), "x")
		}, nil), 0},
		{"bodies of upstreams beyond the limit", "upstream", 100, galenacrowd.Announced("/v1/announce", farBody, 64<<10), 0},
		{"silent clients of the caller port", "caller", silentClients, galenacrowd.Silent, floodFewFiles},
		{"silent clients of the upstream port", "upstream", silentClients, galenacrowd.Silent, floodFewFiles},
	}, statusAndPeerFloods("broker.outstanding", "claim.batch", "ops")...)
}

func controlFloods() []floodCase {
	return append([]floodCase{
		{"messages of operators that are not sent whole", "operator", 40, incompleteOperatorCalls(10, bodyLimit), 0},
		{"calls of operators that are much larger decoded", "operator", 20, decodedOperatorCalls(8, 500_000), 0},
		{"headers of operators without end", "operator", 100, endlessOperatorHeaders(4 << 20), 0},
		{"silent clients of the operator port", "operator", silentClients, galenacrowd.Silent, floodFewFiles},
	}, statusAndPeerFloods("config.wait", "raft.message", "entries")...)
}

// Guards against an entry that runs out of memory or descriptors, or hangs, because of clients that
// send far more than the limits or hold what they have.
func TestFloodsOfEntry(t *testing.T) {
	f := startFleetWithin(t, floodsTimeout, 3, 3)
	e := f.Entries()[0]
	addresses := map[string]string{"caller": e.CallerAddress, "upstream": e.UpstreamAddress, "status": e.StatusAddress, "peer": e.PeerAddress()}
	for _, c := range entryFloods() {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			f.flood(t, c, e.Name, e.Process, addresses[c.port], floodEntryMemoryMB, func() error { return f.checkServes(e) })
		})
	}
}

// Guards against a control daemon that runs out of memory or descriptors, or hangs, because of such
// clients.
func TestFloodsOfControl(t *testing.T) {
	f := startFleetWithin(t, floodsTimeout, 3, 3)
	c := f.Controls()[0]
	addresses := map[string]string{"operator": c.OperatorAddress(), "status": c.StatusAddress(), "peer": c.PeerAddress()}
	for _, k := range controlFloods() {
		t.Run(strings.ReplaceAll(k.name, " ", "_"), func(t *testing.T) {
			f.flood(t, k, c.Name, c.Process, addresses[k.port], floodControlMemoryMB, func() error { return f.checkAdministers(c) })
		})
	}
}

// flood starts a process of the deployment anew, on a machine with little memory, and lets a crowd
// loose on it. check asks for what the process is there for.
func (f *fleet) flood(t *testing.T, c floodCase, name string, p *deployment.Process, addr string, memoryMB int, check func() error) {
	if err := galenacrowd.CheckFileLimit(c.n); err != nil {
		t.Fatal(err)
	}
	files := floodFiles
	if c.files > 0 {
		files = c.files
	}
	require := func(what string, err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("%s: %v\n%s", what, err, lastLines(p.Log()))
		}
	}
	awaitAnswer := func(what string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(f.ctx, floodTimeout)
		defer cancel()
		require(what, f.Eventually(ctx, check))
	}
	require("stop", p.Kill())
	p.MaxFiles = files
	require("settings", f.SetProcess(name, fmt.Sprintf("machine_memory_mb = %d\n", memoryMB)))
	require("start", p.Start())
	awaitAnswer("ordinary request before the crowd")
	crowd := galenacrowd.Start(t.Context(), addr, c.n, c.client)
	defer crowd.Stop()
	held, err := galenacrowd.ReadFigures(p.PID())
	require("beside the crowd", err)
	awaitAnswer("ordinary request beside the crowd")
	after, err := galenacrowd.ReadFigures(p.PID())
	require("beside the crowd", err)
	t.Logf("memory %.0f MB at its peak, %d descriptors held", after.PeakMB, held.Descriptors)
	if after.PeakMB > float64(memoryMB) {
		t.Errorf("%.0f MB of memory at the peak, the machine has %d", after.PeakMB, memoryMB)
	}
	if n := max(held.Descriptors, after.Descriptors); n > files {
		t.Errorf("%d descriptors, the process may have %d", n, files)
	}
	crowd.Stop()
	awaitAnswer("ordinary request after the crowd")
}

// requestTimeout is how long a client of the tests waits for an answer.
const requestTimeout = 5 * time.Second

// checkServes fails unless the entry reports that it is ready, and serves a request.
func (f *fleet) checkServes(e *deployment.Entry) error {
	if err := f.checkReady(e.StatusAddress); err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+e.CallerAddress+"/", strings.NewReader("x"))
	if err != nil {
		return err
	}
	for line := range strings.Lines(requestHeader("counter", 2*time.Second)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if outcome := resp.Header.Get("X-Galena-Outcome"); outcome != "ran" {
		return fmt.Errorf("status %d, outcome %q, reason %q", resp.StatusCode, outcome, resp.Header.Get("X-Galena-Reason"))
	}
	return nil
}

// checkReady fails unless the daemon reports that it is ready.
func (f *fleet) checkReady(status string) error {
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+status+"/ready", nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d of /ready", resp.StatusCode)
	}
	return nil
}

// checkAdministers fails unless the control daemon reports that it is ready, answers operators, and
// the deployment takes a change.
func (f *fleet) checkAdministers(c *deployment.Control) error {
	if err := f.checkReady(c.StatusAddress()); err != nil {
		return err
	}
	if err := f.callStatus(c.OperatorAddress()); err != nil {
		return err
	}
	_, err := f.RunCtl(f.ctx, "team", "set", "knots", "--cores", "64", "--memory-mb", "65536")
	return err
}
