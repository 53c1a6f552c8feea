package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// crashes lets a minion crash twice, each time shortly after it has begun a work item of
// the same job (or two minions once, if the work item starts on another one). No run of the job ends failed. The job must not be shown as
// failed.
func crashes(f *fleet, trouble bool) (string, error) {
	const job = "00000000000000c1"
	var mu sync.Mutex
	left := 0
	if trouble {
		left = 2
	}
	crash := func(m *minion, boot int, task string, _ int64) {
		if !strings.HasPrefix(task, job+".") {
			return
		}
		mu.Lock()
		hit := left > 0
		if hit {
			left--
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
	if err := f.submit(job, "cpu=2300 ms=1000", 1, 2300, 1000, ""); err != nil {
		return "", err
	}
	state := ""
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if status, body := f.request(2, "GET", job, "", 3*time.Second); status == 200 {
			state = body
			if strings.Contains(body, "failed") || strings.Contains(body, "completed") {
				break
			}
		}
	}
	failed := 0
	for _, r := range f.rec.runsOf(job) {
		if r.how == "failed" {
			failed++
		}
	}
	if strings.Contains(state, "failed") && failed < 2 {
		return fmt.Sprintf("the job is shown as failed, although %d of its runs have ended failed (max_attempts 2)", failed), nil
	}
	if !strings.Contains(state, "completed") {
		return "", fmt.Errorf("the job is neither failed nor completed: %s", state)
	}
	return "", nil
}
