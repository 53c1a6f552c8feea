package stand

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// crashes lets a minion crash twice, each time shortly after it has begun a work item of
// the same job (or two minions once, if the work item starts on another one), first for a
// job that ends and then for one that lasts. No run of the jobs ends failed. Neither job
// must be shown as failed.
func crashes(f *fleet, trouble bool) (string, error) {
	const ends, lasts = "00000000000000c1", "00000000000000c2"
	var mu sync.Mutex
	left := map[string]int{}
	if trouble {
		left[ends], left[lasts] = 2, 2
	}
	crash := func(m *minion, _ int, task string, _ int64) {
		job, _, _ := strings.Cut(task, ".")
		mu.Lock()
		hit := left[job] > 0
		if hit {
			left[job]--
		}
		mu.Unlock()
		if !hit {
			return
		}
		time.Sleep(100 * time.Millisecond)
		m.end("lost with the minion, which crashes")
		time.Sleep(2 * time.Second)
		_ = m.start()
	}
	if err := f.up(8); err != nil {
		return "", err
	}
	for _, m := range f.minions {
		m.onStart = crash
	}
	if err := f.submit(ends, "cpu=2300 ms=1000", 1, 2300, 1000, ""); err != nil {
		return "", err
	}
	first := f.finalState(ends, 30*time.Second)
	if err := f.submit(lasts, "cpu=2700 ms=0", 1, 2700, 700, `,"long_running":true,"max_per_server":1`); err != nil {
		return "", err
	}
	second := f.finalState(lasts, 20*time.Second)
	failed := 0
	for _, r := range append(f.rec.runsOf(ends), f.rec.runsOf(lasts)...) {
		if r.how == "failed" {
			failed++
		}
	}
	var broken []string
	if strings.Contains(first, "failed") && failed < 2 {
		broken = append(broken, fmt.Sprintf("job %s is shown as failed, although %d of its runs have ended failed (max_attempts 2)", ends, failed))
	}
	if strings.Contains(second, "failed") {
		broken = append(broken, fmt.Sprintf("job %s, which lasts, is shown as failed, although %d of its runs have ended failed", lasts, failed))
	}
	switch {
	case len(broken) > 0:
		return strings.Join(broken, "; "), nil
	case !strings.Contains(first, "completed") || !strings.Contains(second, "running"):
		return "", fmt.Errorf("the jobs are not in a state that was expected: %s, %s", first, second)
	}
	return "", nil
}

// finalState asks for the state of a job until it is final, or for limit.
func (f *fleet) finalState(job string, limit time.Duration) string {
	state := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if status, body := f.request(2, "GET", job, "", 3*time.Second); status == 200 {
			state = body
			if strings.Contains(body, "failed") || strings.Contains(body, "completed") {
				break
			}
		}
	}
	return state
}
