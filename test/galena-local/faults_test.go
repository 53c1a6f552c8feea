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

// Guards against doubled runs, wrong not_run answers, crossed answers and more
// requests in flight than slots while entries are killed, frozen and restarted
// under a load of non-idempotent requests.
func TestEntryFaultsUnderLoad(t *testing.T) {
	f := startFleet(t, 3, 5)
	l := f.startLoad("--duration", "12s", "--rate", "150", "--non-idempotent", "0.6", "--replay", "0.1", "--resends", "3")
	killed, frozen := f.Entries()[1], f.Entries()[2]
	time.Sleep(2 * time.Second)
	f.must(killed.Kill())
	f.must(frozen.Pause())
	time.Sleep(4 * time.Second)
	f.must(frozen.Resume())
	f.must(killed.Start())
	l.wait().checkAnswers(t)
}

// Guards against doubled runs, wrong not_run answers and a pool that stays
// without service when upstreams are killed, frozen and come back.
func TestUpstreamFaultsUnderLoad(t *testing.T) {
	f := startFleet(t, 3, 3)
	l := f.startLoad("--duration", "10s", "--rate", "150", "--non-idempotent", "0.6", "--resends", "3")
	time.Sleep(2 * time.Second)
	f.must(f.processes[0].Kill())
	f.must(f.processes[1].Pause())
	time.Sleep(4 * time.Second)
	f.must(f.processes[1].Resume())
	f.must(f.processes[0].Start())
	l.wait().checkAnswers(t)
	f.awaitService()
}

// Guards against a planned stop of an entry that cuts off requests in flight,
// or that leaves the service it brokers without slots.
func TestPlannedStopOfEntry(t *testing.T) {
	f := startFleet(t, 3, 3)
	l := f.startLoad("--duration", "6s", "--rate", "100", "--non-idempotent", "0.5", "--resends", "3")
	time.Sleep(2 * time.Second)
	f.must(f.broker().Stop())
	s := l.wait()
	s.checkAnswers(t)
	if s.Unknown > 0 {
		t.Errorf("%d requests ended with an unknown outcome: %v", s.Unknown, s.Reasons)
	}
}

// broker returns the entry that brokers the service.
func (f *fleet) broker() *deployment.Entry {
	f.t.Helper()
	for _, e := range f.Entries() {
		var services []struct {
			Broker bool `json:"broker"`
		}
		f.getJSON("http://"+e.Status+"/services", &services)
		if len(services) == 1 && services[0].Broker {
			return e
		}
	}
	f.t.Fatal("no entry brokers the service")
	return nil
}

// Guards against a wave that reboots a VM with tasks or requests on it, skips a
// VM or reboots one twice, also when the control leader is killed meanwhile.
func TestWaveUnderLoad(t *testing.T) {
	f := startFleet(t, 3, 3)
	f.ctl("team", "set", "knots", "--cores", "64", "--memory-mb", "65536")
	f.ctl("job", "submit", "rebuild", "--team", "knots", "--pool", "counter", "--service", "counter", "--cores", "4", "--memory-mb", "1024")
	l := f.startLoad("--duration", "20s", "--rate", "60", "--non-idempotent", "0.5", "--resends", "3")
	f.ctl("wave", "start", "spring", "--pool", "counter", "--settle", "500ms")
	f.waitFor("1", func() bool { return f.reboots().total() >= 1 })
	f.must(f.leader().Kill())
	s := l.wait()
	s.checkAnswers(t)
	if s.Unknown > 0 {
		t.Errorf("%d requests ended with an unknown outcome: %v", s.Unknown, s.Reasons)
	}
	f.waitFor("done", func() bool { return strings.Contains(f.ctl("wave", "list"), "done") })
	e := f.reboots()
	if e.RebootsWithTasks > 0 {
		t.Errorf("%d reboots cut off tasks", e.RebootsWithTasks)
	}
	counts := make(map[string]int)
	for _, r := range e.Reboots {
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
	f.ctl("team", "set", "knots", "--cores", "256", "--memory-mb", "524288")
	f.ctl("wave", "start", "spring", "--pool", "counter", "--settle", "500ms")
	f.waitFor("a draining VM", func() bool { return strings.Contains(f.ctl("vm", "list"), "draining") })
	f.ctl("wave", "cancel", "spring")
	f.waitFor("all VMs in service", func() bool { return strings.Count(f.ctl("vm", "list"), "owned\tup") == vmsPerPool })
	if n := f.reboots().total(); n != 0 {
		t.Errorf("%d reboots, want none before the platform has drained a VM", n)
	}
	// Each job takes a whole VM, so all of them run only if every VM takes work.
	for i := range vmsPerPool {
		f.ctl("job", "submit", fmt.Sprintf("job-%d", i), "--team", "knots", "--pool", "counter", "--service", "counter",
			"--cores", "60", "--memory-mb", "65536")
	}
	f.waitFor("all jobs to run", func() bool { return strings.Count(f.ctl("job", "list"), "running") == vmsPerPool })
}

// evidence is what the stand-in platform has seen.
type evidence struct {
	Reboots []struct {
		VM string `json:"vm"`
	} `json:"reboots"`
	RebootsWithTasks int `json:"reboots_with_tasks"`
}

func (e evidence) total() int { return len(e.Reboots) }

func (f *fleet) reboots() evidence {
	f.t.Helper()
	var e evidence
	f.getJSON(f.PlatformEvidence(), &e)
	return e
}

func (f *fleet) waitFor(what string, done func() bool) {
	f.t.Helper()
	f.must(f.Eventually(f.ctx, func() error {
		if done() {
			return nil
		}
		return errors.New("still waiting for " + what)
	}))
}

// process is a daemon that can be killed and started again.
type process interface {
	Kill() error
	Start() error
	Pause() error
	Resume() error
}

var leaderRow = regexp.MustCompile(`(?m)^cluster\t(\S+)\tleader`)

// leader returns the control daemon that leads.
func (f *fleet) leader() process {
	f.t.Helper()
	var found process
	f.waitFor("a leader", func() bool {
		m := leaderRow.FindStringSubmatch(f.ctl("cluster", "status"))
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
// killed and frozen, and against a resend that is applied twice.
func TestControlFaults(t *testing.T) {
	f := startFleet(t, 3, 3)
	for round := range 6 {
		key, id := fmt.Sprintf("round_%d", round), fmt.Sprintf("request-%d", round)
		old := f.leader()
		first := f.ctl("config", "apply", key, fmt.Sprint(round), "--request-id", id)
		if round%2 == 0 {
			f.must(old.Kill())
		} else {
			f.must(old.Pause())
		}
		again := f.ctl("config", "apply", key, fmt.Sprint(round), "--request-id", id)
		if revisionOf(first) != revisionOf(again) {
			t.Errorf("round %d: resend got revision %s, want %s", round, revisionOf(again), revisionOf(first))
		}
		if round%2 == 0 {
			f.must(old.Start())
		} else {
			f.must(old.Resume())
		}
	}
	settings := f.ctl("config", "get")
	for round := range 6 {
		if want := fmt.Sprintf("round_%d\t%d", round, round); !strings.Contains(settings, want) {
			t.Errorf("setting %q was lost:\n%s", want, settings)
		}
	}
}

func revisionOf(output string) string { return strings.Fields(output)[0] }

// Guards against a replica that votes under its old identity after it lost its
// data directory, and against changes lost with it.
func TestLostDataDirectory(t *testing.T) {
	f := startFleet(t, 3, 3)
	f.ctl("config", "apply", "kept", "yes")
	lost := f.Controls()[2]
	f.must(lost.Kill())
	f.must(os.RemoveAll(lost.DataDir))
	f.must(lost.Start())
	f.ctl("config", "apply", "kept_too", "yes")
	f.ctl("cluster", "member", "remove", lost.Name)
	f.ctl("cluster", "member", "add", lost.Name, "--from", lost.OperatorAddress())
	f.ctl("cluster", "member", "promote", lost.Name)
	f.must(f.leader().Kill())
	if got := f.ctl("config", "get"); !strings.Contains(got, "kept\tyes") || !strings.Contains(got, "kept_too\tyes") {
		t.Errorf("settings were lost:\n%s", got)
	}
}

// Guards against two operators with equal base revisions who both win.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t, 3, 3)
	for round := range 5 {
		base := revisionOf(f.ctl("config", "apply", "base", fmt.Sprint(round)))
		results := make(chan error, 2)
		for _, name := range []string{"a", "b"} {
			r := &race{fleet: f, base: base, value: fmt.Sprintf("%s-%d", name, round), result: results}
			go r.run()
		}
		first, second := <-results, <-results
		if (first == nil) == (second == nil) {
			t.Errorf("round %d: results %v and %v, want one winner", round, first, second)
		}
	}
}

// race is one of two operators who change the same setting.
type race struct {
	fleet       *fleet
	base, value string
	result      chan error
}

func (r *race) run() {
	_, err := r.fleet.Ctl(r.fleet.ctx, "config", "apply", "raced", r.value, "--base-revision", r.base)
	r.result <- err
}
