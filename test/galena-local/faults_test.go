package main

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

// Guards against duplicate runs, false not_run outcomes, responses to other requests
// and more requests in flight than slots, while entries are killed, paused and
// restarted under a load of non-idempotent requests.
func TestEntryFaultsUnderLoad(t *testing.T) {
	f := startFleet(t, 3, 5)
	l := f.startLoad("--duration", "12s", "--rate", "150", "--non-idempotent", "0.6", "--replay", "0.1", "--resends", "3")
	killed, paused := f.Entries()[1], f.Entries()[2]
	time.Sleep(2 * time.Second)
	f.requireNoError(killed.Kill())
	f.requireNoError(paused.Pause())
	time.Sleep(4 * time.Second)
	f.requireNoError(paused.Resume())
	f.requireNoError(killed.Start())
	l.wait().checkAnswers(t)
}

// Guards against duplicate runs, false not_run outcomes and a pool that does not
// return to service, while upstreams are killed, paused and restarted.
func TestUpstreamFaultsUnderLoad(t *testing.T) {
	f := startFleet(t, 3, 3)
	l := f.startLoad("--duration", "10s", "--rate", "150", "--non-idempotent", "0.6", "--resends", "3")
	time.Sleep(2 * time.Second)
	f.requireNoError(f.upstreamProcesses[0].Kill())
	f.requireNoError(f.upstreamProcesses[1].Pause())
	time.Sleep(4 * time.Second)
	f.requireNoError(f.upstreamProcesses[1].Resume())
	f.requireNoError(f.upstreamProcesses[0].Start())
	l.wait().checkAnswers(t)
	f.awaitService()
}

// Guards against a planned stop of an entry that aborts requests in flight, or that
// leaves the service whose broker it is without slots.
func TestPlannedStopOfEntry(t *testing.T) {
	f := startFleet(t, 3, 3)
	l := f.startLoad("--duration", "6s", "--rate", "100", "--non-idempotent", "0.5", "--resends", "3")
	time.Sleep(2 * time.Second)
	f.requireNoError(f.brokerEntry().Stop())
	s := l.wait()
	s.checkAnswers(t)
	if s.Unknown > 0 {
		t.Errorf("%d requests ended with an unknown outcome: %v", s.Unknown, s.Reasons)
	}
}

// brokerEntry returns the entry that is the broker of the service.
func (f *fleet) brokerEntry() *deployment.Entry {
	f.t.Helper()
	for _, e := range f.Entries() {
		var services []struct {
			Broker bool `json:"broker"`
		}
		f.getJSON("http://"+e.StatusAddress+"/services", &services)
		if len(services) == 1 && services[0].Broker {
			return e
		}
	}
	f.t.Fatal("no entry is the broker of the service")
	return nil
}

// Guards against a wave that reboots a VM on which tasks or requests run, skips a VM
// or reboots one twice, even if the control leader is killed during the wave.
func TestWaveUnderLoad(t *testing.T) {
	f := startFleet(t, 3, 3)
	f.runCtl("team", "set", "knots", "--cores", "64", "--memory-mb", "65536")
	f.runCtl("job", "submit", "rebuild", "--team", "knots", "--pool", "counter", "--service", "counter", "--cores", "4", "--memory-mb", "1024")
	l := f.startLoad("--duration", "20s", "--rate", "60", "--non-idempotent", "0.5", "--resends", "3")
	f.runCtl("wave", "start", "spring", "--pool", "counter", "--settle", "500ms")
	f.waitFor("the first reboot", func() bool { return f.fetchPlatformEvidence().rebootCount() >= 1 })
	f.requireNoError(f.leader().Kill())
	s := l.wait()
	s.checkAnswers(t)
	if s.Unknown > 0 {
		t.Errorf("%d requests ended with an unknown outcome: %v", s.Unknown, s.Reasons)
	}
	f.waitFor("the wave to be done", func() bool { return strings.Contains(f.runCtl("wave", "list"), "done") })
	evidence := f.fetchPlatformEvidence()
	if evidence.RebootsWithTasks > 0 {
		t.Errorf("%d reboots interrupted running tasks", evidence.RebootsWithTasks)
	}
	counts := make(map[string]int)
	for _, r := range evidence.Reboots {
		counts[r.VM]++
	}
	for i := range vmsPerPool {
		if vm := fmt.Sprintf("counter-%d", i+1); counts[vm] != 1 {
			t.Errorf("%s was rebooted %d times, want 1", vm, counts[vm])
		}
	}
}

// Guards against a VM that stays drained at the platform after its wave was
// cancelled, and against a reboot before the platform has drained it.
func TestCancelledWave(t *testing.T) {
	f := startFleet(t, 3, 3, "--drain-time", "5s")
	f.runCtl("team", "set", "knots", "--cores", "256", "--memory-mb", "524288")
	f.runCtl("wave", "start", "spring", "--pool", "counter", "--settle", "500ms")
	f.waitFor("a draining VM", func() bool { return strings.Contains(f.runCtl("vm", "list"), "draining") })
	f.runCtl("wave", "cancel", "spring")
	f.waitFor("all VMs in service", func() bool { return strings.Count(f.runCtl("vm", "list"), "owned\tup") == vmsPerPool })
	if n := f.fetchPlatformEvidence().rebootCount(); n != 0 {
		t.Errorf("%d reboots, want none before the platform has drained a VM", n)
	}
	// Each job takes a whole VM, so all of them run only if every VM takes work.
	for i := range vmsPerPool {
		f.runCtl("job", "submit", fmt.Sprintf("job-%d", i), "--team", "knots", "--pool", "counter", "--service", "counter",
			"--cores", "60", "--memory-mb", "65536")
	}
	f.waitFor("all jobs to run", func() bool { return strings.Count(f.runCtl("job", "list"), "running") == vmsPerPool })
}

// platformEvidence is the part of the stand-in platform's evidence that the tests
// check.
type platformEvidence struct {
	Reboots []struct {
		VM string `json:"vm"`
	} `json:"reboots"`
	RebootsWithTasks int `json:"reboots_with_tasks"`
}

func (e platformEvidence) rebootCount() int { return len(e.Reboots) }

func (f *fleet) fetchPlatformEvidence() platformEvidence {
	f.t.Helper()
	var e platformEvidence
	f.getJSON(f.PlatformEvidence(), &e)
	return e
}

func (f *fleet) waitFor(condition string, isDone func() bool) {
	f.t.Helper()
	f.requireNoError(f.Eventually(f.ctx, func() error {
		if isDone() {
			return nil
		}
		return errors.New("still waiting for " + condition)
	}))
}

// pausableProcess is a process that can be killed, restarted, paused and resumed.
type pausableProcess interface {
	Kill() error
	Start() error
	Pause() error
	Resume() error
}

var leaderRowPattern = regexp.MustCompile(`(?m)^cluster\t(\S+)\tleader`)

// leader returns the control daemon that is the leader.
func (f *fleet) leader() pausableProcess {
	f.t.Helper()
	var found pausableProcess
	f.waitFor("a leader", func() bool {
		m := leaderRowPattern.FindStringSubmatch(f.runCtl("cluster", "status"))
		for _, c := range f.Controls() {
			if m != nil && c.Name == m[1] {
				found = c
			}
		}
		return found != nil
	})
	return found
}

// Guards against an accepted change that is lost or reverted while leaders are
// killed and paused, and against a resent request that is applied twice.
func TestControlFaults(t *testing.T) {
	f := startFleet(t, 3, 3)
	for round := range 6 {
		key, id := fmt.Sprintf("round_%d", round), fmt.Sprintf("request-%d", round)
		oldLeader := f.leader()
		firstOutput := f.runCtl("config", "apply", key, fmt.Sprint(round), "--request-id", id)
		if round%2 == 0 {
			f.requireNoError(oldLeader.Kill())
		} else {
			f.requireNoError(oldLeader.Pause())
		}
		resendOutput := f.runCtl("config", "apply", key, fmt.Sprint(round), "--request-id", id)
		if revisionOf(firstOutput) != revisionOf(resendOutput) {
			t.Errorf("round %d: resend got revision %s, want %s", round, revisionOf(resendOutput), revisionOf(firstOutput))
		}
		if round%2 == 0 {
			f.requireNoError(oldLeader.Start())
		} else {
			f.requireNoError(oldLeader.Resume())
		}
	}
	settings := f.runCtl("config", "get")
	for round := range 6 {
		if want := fmt.Sprintf("round_%d\t%d", round, round); !strings.Contains(settings, want) {
			t.Errorf("setting %q was lost:\n%s", want, settings)
		}
	}
}

func revisionOf(output string) string { return strings.Fields(output)[0] }

// Guards against a replica that votes under its old identity after the loss of its
// data directory, and against changes that are lost with the directory.
func TestLostDataDirectory(t *testing.T) {
	f := startFleet(t, 3, 3)
	f.runCtl("config", "apply", "kept", "yes")
	replica := f.Controls()[2]
	f.requireNoError(replica.Kill())
	f.requireNoError(os.RemoveAll(replica.DataDir))
	f.requireNoError(replica.Start())
	f.runCtl("config", "apply", "kept_too", "yes")
	f.runCtl("cluster", "member", "remove", replica.Name)
	f.runCtl("cluster", "member", "add", replica.Name, "--from", replica.OperatorAddress())
	f.runCtl("cluster", "member", "promote", replica.Name)
	f.requireNoError(f.leader().Kill())
	if got := f.runCtl("config", "get"); !strings.Contains(got, "kept\tyes") || !strings.Contains(got, "kept_too\tyes") {
		t.Errorf("settings were lost:\n%s", got)
	}
}

// Guards against two changes with the same base revision that are both accepted.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t, 3, 3)
	for round := range 5 {
		base := revisionOf(f.runCtl("config", "apply", "base", fmt.Sprint(round)))
		results := make(chan error, 2)
		for _, name := range []string{"a", "b"} {
			r := &operatorChange{fleet: f, base: base, value: fmt.Sprintf("%s-%d", name, round), result: results}
			go r.run()
		}
		first, second := <-results, <-results
		if (first == nil) == (second == nil) {
			t.Errorf("round %d: results %v and %v, want one winner", round, first, second)
		}
	}
}

// operatorChange is one of two concurrent changes of the same setting.
type operatorChange struct {
	fleet       *fleet
	base, value string
	result      chan error
}

func (r *operatorChange) run() {
	_, err := r.fleet.RunCtl(r.fleet.ctx, "config", "apply", "raced", r.value, "--base-revision", r.base)
	r.result <- err
}
