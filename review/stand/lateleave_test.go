package stand

import (
	"fmt"
	"syscall"
	"time"
)

// lateLeave replaces a minion gracefully: it drains, leaves, ends, and starts again under
// its id. One control daemon, which does not own the fleet, freezes meanwhile for 6 s, and
// the first copy of the leave goes there. A work item that lasts must not run twice.
func lateLeave(f *fleet, trouble bool) (string, error) {
	if err := f.up(4); err != nil {
		return "", err
	}
	owner := f.owner()
	if owner == 0 {
		return "", fmt.Errorf("no owner is known")
	}
	frozen := owner%f.machines + 1
	m := f.minions[0]
	m.first = f.addr(frozen, "control")
	// The minion becomes draining before the daemon freezes.
	if !m.current().setState("draining") {
		return "", fmt.Errorf("draining was not confirmed")
	}
	time.Sleep(2200 * time.Millisecond)
	if trouble {
		f.signal(fmt.Sprintf("machine-%d/control", frozen), syscall.SIGSTOP)
		f.signal(fmt.Sprintf("machine-%d/entry", frozen), syscall.SIGSTOP)
		time.AfterFunc(6*time.Second, func() {
			f.signal(fmt.Sprintf("machine-%d/control", frozen), syscall.SIGCONT)
			f.signal(fmt.Sprintf("machine-%d/entry", frozen), syscall.SIGCONT)
		})
	}
	if !m.current().call("leave", "") {
		f.rec.add("minion %s ends without a confirmation", m.id)
	}
	m.end("planned end")
	time.Sleep(time.Second)
	m.first = ""
	if err := m.start(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	// Work items that last, one on each minion.
	const job = "00000000000000d2"
	if err := f.submitAt(owner, job, "cpu=6000 ms=0", 4, 6000, 1000, `,"long_running":true,"may_miss":1,"max_per_server":2`); err != nil {
		return "", err
	}
	time.Sleep(12 * time.Second)
	for _, o := range f.rec.overlaps() {
		return fmt.Sprintf("work item %s ran on %s (run %d) and on %s (run %d) at the same time, for %d ms",
			o.a.task, o.a.minion, o.a.number, o.b.minion, o.b.number, o.took.Milliseconds()), nil
	}
	return "", nil
}

// submitAt hands a job in at one entry.
func (f *fleet) submitAt(entry int, id, spec string, count, cpu, ms int, more string) error {
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"mem_mb":256,"estimate_ms":%d%s}]}`, spec, count, cpu, ms, more)
	return f.wait("job "+id+" is accepted", 15*time.Second, func() bool {
		status, _ := f.request(entry, "POST", id, body, 3*time.Second)
		return status == 200
	})
}
