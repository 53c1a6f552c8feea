package stand

import (
	"fmt"
	"strings"
	"time"
)

// oldClock lets a minion crash and start again under its id within 0.15 s, and a little
// later cuts it off for 8 s, while it runs on. A work item that lasts, which it had begun
// after its start, must not run on another minion at the same time.
func oldClock(f *fleet, trouble bool) (string, error) {
	maxHold, stopTimeout = 10*time.Second, 200*time.Millisecond
	if err := f.up(3); err != nil {
		return "", err
	}
	// A job that fills one minion for 8 s, so that the work items of the next one go to the
	// others and later find room there.
	const filling, lasting = "00000000000000f4", "00000000000000f5"
	if err := f.submit(filling, "cpu=32000 ms=8000", 1, 32000, 8000, ""); err != nil {
		return "", err
	}
	if err := f.wait("the first job runs", 5*time.Second, func() bool { return len(f.rec.runsOf(filling)) == 1 }); err != nil {
		return "", err
	}
	if err := f.submit(lasting, "cpu=6000 ms=0", 2, 6000, 1000, `,"long_running":true,"max_per_server":1`); err != nil {
		return "", err
	}
	if err := f.wait("the job that lasts runs", 5*time.Second, func() bool { return len(f.rec.runsOf(lasting)) == 2 }); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	first := f.rec.runsOf(lasting)[0]
	var m *minion
	for _, x := range f.minions {
		if x.id == first.minion {
			m = x
		}
	}
	if trouble {
		// Between two calls to hold, each of which waits for a second.
		_ = f.wait("a call to hold has just arrived", 3*time.Second, func() bool {
			l := m.current()
			l.mu.Lock()
			defer l.mu.Unlock()
			return time.Since(l.heldAt) < 400*time.Millisecond
		})
		m.end("crashes")
		time.Sleep(150 * time.Millisecond)
		m.firstReport = 500 * time.Millisecond
		if err := m.start(); err != nil {
			return "", err
		}
		if err := f.wait("a work item runs on the new boot", 8*time.Second, func() bool {
			for _, r := range f.rec.runsOf(lasting) {
				if r.minion == m.id && r.boot == 2 {
					return true
				}
			}
			return false
		}); err != nil {
			return "", err
		}
		time.Sleep(700 * time.Millisecond)
		m.current().setCut(true)
		time.Sleep(8 * time.Second)
		m.current().setCut(false)
	}
	time.Sleep(4 * time.Second)
	for _, o := range f.rec.overlaps() {
		if strings.HasPrefix(o.a.task, lasting) {
			return fmt.Sprintf("work item %s ran on %s (run %d) and on %s (run %d) at the same time, for %d ms",
				o.a.task, o.a.minion, o.a.number, o.b.minion, o.b.number, o.took.Milliseconds()), nil
		}
	}
	return "", nil
}
