package stand2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var cases = map[string]func(f *fleet) bool{
	"leave": caseLeave, "odd": caseOdd, "waiting": caseWaiting, "recurring": caseRecurring, "idle": caseIdle,
}

const (
	queue   = "/q/"
	service = "counter-desk"
	job     = "5c0e7a21d94b36f8"
	task    = job + ".0.0.0"
)

// addOthers adds eight minions, so that the pool has nine with i-x, as on the site.
func (f *fleet) addOthers() {
	for i := range 8 {
		f.addMinion(2+i, fmt.Sprintf("i-y%d", i+1), service)
	}
}

// awaitStart waits for a start of a work item after a time.
func (f *fleet) awaitStart(task string, after int64, limit time.Duration) *event {
	var e *event
	await(limit, func() bool { e = f.started(task, after); return e != nil })
	return e
}

// saw reports whether a minion has recorded something.
func (f *fleet) saw(id, what string) *event {
	for _, e := range f.events() {
		if e.Minion == id && e.What == what {
			return &e
		}
	}
	return nil
}

// caseLeave: a minion drains and leaves while a work item of it is at work; its leave arrives,
// but the confirmation does not, since the minion is cut off one way.
func caseLeave(f *fleet) bool {
	f.startDaemons()
	f.configure(1, []string{service}, route{queue, service})
	net := &link{}
	var via []string
	for i := 1; i <= controls; i++ {
		via = append(via, f.controlAddr(i)+"="+net.pass(ip(150+i)+":0", f.controlAddr(i), false))
	}
	// The minion listens on an address that only the link knows.
	inner := ip(160) + ":" + freePort(ip(160))
	outer := net.pass(ip(161)+":0", inner, true)
	f.addMinion(1, "i-x", service, "--listen", inner, "--address", outer, "--via", strings.Join(via, ","))
	f.submit(queue+job, "work=25000 cpu=1000", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 25000})
	first := f.awaitStart(task, 0, 10*time.Second)
	if first == nil || first.Minion != "i-x" {
		fail("the work item was not started on i-x")
	}
	f.addOthers()
	time.Sleep(4 * time.Second)
	f.note("i-x is told to end")
	f.signal("i-x", syscall.SIGTERM)
	f.must("draining confirmed", 5*time.Second, func() bool { return f.saw("i-x", "draining-confirmed") != nil })
	time.Sleep(2200 * time.Millisecond)
	if f.trouble {
		f.note("i-x is cut off one way: nothing reaches it any more")
		net.cut.Store(true)
		time.AfterFunc(6*time.Second, func() { net.cut.Store(false); f.note("the cut has healed") })
	}
	f.must("i-x has ended", 15*time.Second, func() bool { return f.saw("i-x", "down") != nil })
	f.note("i-x has ended: %s", f.saw("i-x", "down").How)
	time.Sleep(6 * time.Second)
	if f.awaitStart(task, first.T, 10*time.Second) == nil {
		fail("the work item was not started again")
	}
	broken := f.overlaps(task, 200*time.Millisecond)
	for _, b := range broken {
		f.note("TWICE: %s", b)
	}
	return len(broken) > 0
}

// caseOdd: a status report of another writer names a service that no config names.
func caseOdd(f *fleet) bool {
	f.startDaemons()
	f.configure(1, []string{service}, route{queue, service})
	f.addMinion(1, "i-x", service, "--stop-time", "180ms")
	f.submit(queue+job, "work=25000 cpu=1000", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 25000})
	first := f.awaitStart(task, 0, 10*time.Second)
	if first == nil {
		fail("the work item was not started")
	}
	f.addMinion(2, "i-y", service, "--stop-time", "180ms")
	time.Sleep(5 * time.Second)
	if f.trouble {
		body, _ := json.Marshal(map[string]any{
			"service": "no-such-service", "address": f.listenAddr("i-x"), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "labels": []string{"big", "r1"}, "clock_ms": 5000, "sequence": 20, "born": first.Born,
		})
		status := 0
		for i := 1; i <= controls && status != http.StatusOK; i++ {
			status, _ = f.call(http.MethodPost, f.controlAddr(i), "", "/instances/i-x/heartbeat", string(body))
		}
		f.note("another writer: POST /instances/i-x/heartbeat %s -> %d", body, status)
	}
	time.Sleep(6 * time.Second)
	broken := f.overlaps(task, time.Millisecond)
	for _, b := range broken {
		f.note("TWICE: %s", b)
	}
	return len(broken) > 0
}

// caseWaiting: a config sends a queue to another service while accepted jobs of it wait.
func caseWaiting(f *fleet) bool {
	const other = "misc-svc"
	f.startDaemons()
	f.configure(1, []string{service, other}, route{queue, service}, route{"/r/", other})
	f.addMinion(1, "i-a", service)
	f.addMinion(2, "i-b", other)
	full := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 90000}
	f.submit(queue+job, "work=90000 cpu=4000", full)
	f.submit("/r/5c0e7a21d94b36f9", "work=90000 cpu=4000", full)
	f.must("both minions are in use", 10*time.Second, func() bool {
		return f.started(task, 0) != nil && f.started("5c0e7a21d94b36f9.0.0.0", 0) != nil
	})
	const jobs = 10
	for i := range jobs {
		f.submit(fmt.Sprintf("%s00000000000000%02x", queue, i), "work=1000 cpu=4000", map[string]any{"count": 1, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 1000})
	}
	time.Sleep(6 * time.Second)
	status, body := f.state(queue)
	f.note("client: GET %s -> %d %s", queue, status, body)
	if body != fmt.Sprintf(`{"waiting":%d}`, jobs) {
		fail("the jobs don't wait")
	}
	if f.trouble {
		f.configure(2, []string{service, other}, route{queue, other}, route{"/r/", other})
	}
	time.Sleep(6 * time.Second)
	low := 0
	for range 10 {
		time.Sleep(time.Second)
		status, body = f.state(queue)
		begun := 0
		for _, e := range f.events() {
			if e.What == "start" && strings.HasPrefix(e.Task, "00000000000000") {
				begun++
			}
		}
		f.note("client: GET %s -> %d %s; %d of %d jobs have begun", queue, status, body, begun, jobs)
		var answer struct{ Waiting int }
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && 2*answer.Waiting < jobs-begun {
			low++
		}
	}
	f.note("%d of 10 answers named under half of the jobs that wait", low)
	return low == 10
}

// caseIdle: one job in twenty can never be done. A job that comes later has nothing running, though
// eight of nine minions are idle.
func caseIdle(f *fleet) bool {
	f.startDaemons()
	f.configure(1, []string{service}, route{queue, service})
	for i := range 9 {
		f.addMinion(1+i, fmt.Sprintf("i-%d", i), service)
	}
	time.Sleep(2 * time.Second)
	lasting := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 900, "long_running": true}
	f.submit(queue+"1a57000000000000", "work=0 cpu=1000", lasting)
	f.must("lasting work item started", 10*time.Second, func() bool { return f.started("1a57000000000000.0.0.0", 0) != nil })
	used := f.started("1a57000000000000.0.0.0", 0).Minion
	small := map[string]any{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 20}
	whole := map[string]any{"count": 8, "cpu": 4000, "mem_mb": 100, "estimate_ms": 50}
	handedIn, hopeless := 0, 0
	hand := func(path, spec string, step map[string]any) {
		b, _ := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{step}})
		for i := range 4 {
			if status, _ := f.call(http.MethodPost, f.frontAddr(1+i%controls), "shop.example", queue+path, string(b)); status == http.StatusOK {
				handedIn++
				return
			}
		}
	}
	begin := time.Now()
	for n := range 120 {
		if n%20 == 10 && f.trouble {
			hopeless++
			hand(fmt.Sprintf("bad0%012x", n), "fail=50 cpu=4000", whole)
		} else {
			hand(fmt.Sprintf("0600%012x", n), "work=20 cpu=100", small)
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.note("client: %d jobs accepted within %.1f s, of which %d can never be done", handedIn, time.Since(begin).Seconds(), hopeless)
	// Small jobs go on. The traffic ends when the pause of each other minion has become longest.
	n := 1000
	if f.trouble {
		f.must("all other minions are left without work after a pause of 11 s", 60*time.Second, func() bool {
			n++
			hand(fmt.Sprintf("0600%012x", n), "work=20 cpu=100", small)
			last, paused, latest := map[string]int64{}, map[string]bool{}, int64(0)
			for _, e := range f.events() {
				if strings.HasPrefix(e.Task, "bad") {
					latest = e.T
				}
				if e.What == "end" && e.How == "failed" {
					paused[e.Minion] = paused[e.Minion] || (last[e.Minion] > 0 && e.T-last[e.Minion] > 11e6)
					last[e.Minion] = e.T
				}
			}
			count := 0
			for _, p := range paused {
				if p {
					count++
				}
			}
			time.Sleep(50 * time.Millisecond)
			return count == 8 && time.Now().UnixMicro()-latest > 500e3
		})
	} else {
		time.Sleep(5 * time.Second)
	}
	f.submit(queue+job, "work=50 cpu=4000", map[string]any{"count": 1, "cpu": 4000, "mem_mb": 100, "estimate_ms": 50})
	f.note("the traffic ends; %d jobs accepted in all, %d of them can never be done", handedIn+1, hopeless)
	ended := time.Now()
	time.Sleep(14 * time.Second)
	idle := 0
	for range 8 {
		atWork := map[string]int{}
		for _, e := range f.events() {
			switch e.What {
			case "start":
				atWork[e.Minion]++
			case "end":
				atWork[e.Minion]--
			}
		}
		free := 0
		for i := range 9 {
			if id := fmt.Sprintf("i-%d", i); id != used && atWork[id] == 0 {
				free++
			}
		}
		_, body := f.state(queue + job)
		f.note("%.1f s after the end of the traffic: client: GET %s%s -> %s; %d of 9 minions are idle", time.Since(ended).Seconds(), queue, job, body, free)
		if f.started(task, 0) == nil && free == 8 {
			idle++
		}
		time.Sleep(500 * time.Millisecond)
	}
	if e := f.awaitStart(task, 0, 15*time.Second); e != nil {
		f.note("the job has started %.1f s after it was accepted", (time.Duration(e.T-ended.UnixMicro()) * time.Microsecond).Seconds())
	}
	return idle == 8
}

// caseRecurring: a recurring job has had many work items done when all control daemons are killed
// and started again. Meanwhile other jobs come and go, as on any day.
func caseRecurring(f *fleet) bool {
	const (
		count  = 4000
		enough = 133000
		other  = "misc-svc"
	)
	f.startDaemons()
	f.configure(1, []string{service, other}, route{queue, service}, route{"/r/", other})
	for i := range 9 {
		f.addMinion(1+i, fmt.Sprintf("i-%d", i), service, "--quiet", "--cpu", "64000")
	}
	time.Sleep(time.Second)
	b, _ := json.Marshal(map[string]any{
		"spec": "work=1 cpu=1", "steps": []map[string]any{{"count": count, "cpu": 1, "mem_mb": 1, "estimate_ms": 1}},
		"repetitions": 100000, "start_at_ms": time.Now().UnixMilli(), "interval_ms": 1000,
	})
	f.must("job accepted", 10*time.Second, func() bool {
		status, _ := f.call(http.MethodPost, f.frontAddr(1), "shop.example", queue+job, string(b))
		return status == http.StatusOK
	})
	f.note("client: POST %s%s %s -> 200", queue, job, b)
	var ended atomic.Bool
	var jobs atomic.Int64
	for c := range 4 {
		go func() {
			for n := 0; !ended.Load(); n++ {
				path := fmt.Sprintf("/r/%04x%012x", c, n)
				status, _ := f.call(http.MethodPost, f.frontAddr(1+c%controls), "shop.example", path, `{"spec":"work=1","steps":[{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":1}]}`)
				if status == http.StatusOK {
					jobs.Add(1)
				}
				_, _ = f.call(http.MethodDelete, f.frontAddr(1+c%controls), "shop.example", path, "")
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	defer ended.Store(true)
	f.must("work items done", 65*time.Second, func() bool {
		time.Sleep(time.Second)
		last, sum := map[string]int64{}, int64(0)
		for _, e := range f.events() {
			if e.What == "done-count" {
				last[e.Minion] = e.Run
			}
		}
		for _, c := range last {
			sum += c
		}
		f.note("%d work items done; %d other jobs handed in and cancelled", sum, jobs.Load())
		return sum > enough
	})
	since := time.Now()
	f.must("all replicas have stored their state since then", 25*time.Second, func() bool {
		for i := 1; i <= controls; i++ {
			info, err := os.Stat(filepath.Join(f.dir, fmt.Sprintf("data-%d", i), "snapshot"))
			if err != nil || info.ModTime().Before(since) {
				return false
			}
		}
		return true
	})
	ended.Store(true)
	for i := 1; i <= controls; i++ {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.procs[fmt.Sprintf("control-%d", i)].Process.Pid))
		for line := range strings.Lines(string(b)) {
			if strings.HasPrefix(line, "VmHWM") {
				f.note("memory of control daemon %d at its peak: %s", i, strings.Join(strings.Fields(line)[1:], " "))
			}
		}
	}
	if f.trouble {
		for i := 1; i <= controls; i++ {
			f.kill(fmt.Sprintf("control-%d", i))
		}
		f.note("all control daemons are killed")
		time.Sleep(500 * time.Millisecond)
		for i := 1; i <= controls; i++ {
			f.startControl(i, false)
		}
		f.note("all control daemons are started again")
	}
	back := time.Now()
	time.Sleep(12 * time.Second)
	served := 0
	for i := range 4 {
		status, body := f.state(queue + job)
		f.note("%.0f s after that: client: GET %s%s -> %d %s", time.Since(back).Seconds(), queue, job, status, body)
		read, config := f.call(http.MethodGet, f.controlAddr(1+i%controls), "", "/config/get", "")
		f.note("operator: GET /config/get -> %d %.60s", read, config)
		if status == http.StatusOK || read == http.StatusOK {
			served++
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.noteErrors()
	return served == 0
}

// noteErrors records the last error of each control daemon.
func (f *fleet) noteErrors() {
	for i := 1; i <= controls; i++ {
		b, _ := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("control-%d.log", i)))
		last := ""
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, `"level":"error"`) {
				last = strings.TrimSpace(line)
			}
		}
		if last != "" {
			f.note("last error of control daemon %d: %.600s", i, last)
		}
	}
}
