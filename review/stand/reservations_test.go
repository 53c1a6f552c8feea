package stand

import (
	"fmt"
	"time"
)

// reservations hands in jobs that last and can never start: a minion is large enough for
// each of their work items, but none has the room free, since other work that lasts is
// there. A small job that comes later, for which each minion has room, must run.
func reservations(f *fleet, trouble bool) (string, error) {
	// The jobs that can never start are less than 0.05 of all.
	const minions, perPart = 4, 40
	if err := f.up(minions); err != nil {
		return "", err
	}
	if err := f.submit("00000000000000a1", "cpu=12000 ms=0", minions, 12000, 1000, `,"long_running":true,"max_per_server":1`); err != nil {
		return "", err
	}
	if err := f.wait("work that lasts is on each minion", 5*time.Second, func() bool { return len(f.rec.runsOf("00000000000000a1")) == minions }); err != nil {
		return "", err
	}
	if _, err := small(f, "c", perPart); err != nil {
		return "", err
	}
	if trouble {
		for i := range minions {
			if err := f.submit(fmt.Sprintf("00000000000000b%d", i+1), "cpu=24000 ms=0", 1, 24000, 1000, `,"long_running":true,"max_per_server":1`); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(2 * time.Second)
	late, err := small(f, "d", perPart)
	if err != nil {
		return "", err
	}
	time.Sleep(30 * time.Second)
	idle := 0
	for _, job := range late {
		if len(f.rec.runsOf(job)) == 0 {
			idle++
		}
	}
	_, state := f.request(2, "GET", late[0], "", 3*time.Second)
	if idle > 0 {
		return fmt.Sprintf("of %d accepted jobs of one work item on 2.3 cores each, %d have not begun in 30 s, with 20 of 32 cores free on each of %d sound minions; the state of %s is %s",
			len(late), idle, minions, late[0], state), nil
	}
	return "", nil
}

// small hands in n small jobs and returns their ids.
func small(f *fleet, prefix string, n int) ([]string, error) {
	var ids []string
	for i := range n {
		id := fmt.Sprintf("0000000000000%s%02x", prefix, i)
		if err := f.submit(id, "cpu=2300 ms=1000", 1, 2300, 1000, ""); err != nil {
			return nil, err
		}
		ids = append(ids, id)
		time.Sleep(20 * time.Millisecond)
	}
	return ids, nil
}
