package stand

import (
	"fmt"
	"syscall"
	"time"
)

// lateSubmit freezes a machine that only serves clients now, for 5 s, while a client hands
// a job in there. The client gets no answer within its time limit, gives the job up and
// cancels it at another machine. The answer to that says that the job does not exist. No
// work item of it must start more than cancel_ms later.
func lateSubmit(f *fleet, trouble bool) (string, error) {
	const cancelMS = 3000
	if err := f.up(4); err != nil {
		return "", err
	}
	// A machine without a disk and without a control daemon.
	const frozen, other = 4, 2
	if err := f.startEntry(frozen); err != nil {
		return "", err
	}
	if err := f.entryReady(frozen); err != nil {
		return "", err
	}
	const job = "00000000000000e3"
	body := `{"spec":"cpu=2300 ms=1000","steps":[{"count":2,"cpu":2300,"mem_mb":256,"estimate_ms":1000}]}`
	if trouble {
		f.signal(fmt.Sprintf("machine-%d/entry", frozen), syscall.SIGSTOP)
		time.AfterFunc(7*time.Second, func() { f.signal(fmt.Sprintf("machine-%d/entry", frozen), syscall.SIGCONT) })
	}
	time.Sleep(200 * time.Millisecond)
	f.request(frozen, "POST", job, body, 3*time.Second)
	status, _ := f.request(other, "DELETE", job, "", 3*time.Second)
	if status != 410 && status != 200 {
		return "", fmt.Errorf("cancelling was answered %d", status)
	}
	cancelled := time.Now()
	time.Sleep(12 * time.Second)
	for _, r := range f.rec.runsOf(job) {
		if d := r.begun.Sub(cancelled); d > cancelMS*time.Millisecond {
			return fmt.Sprintf("%s run %d began %d ms after the cancelling of its job was answered %d", r.task, r.number, d.Milliseconds(), status), nil
		}
	}
	return "", nil
}
