package stand

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"
)

// secondLoss loses one of three machines with a disk for good. Its successor, an empty
// machine at another address, starts 0.1 s later, and counts as back catch_up_s (4 s) after
// its start. Over 7 s after the first loss another of the three is lost for good and gets a
// successor, too. The config and the job that were acknowledged must be answered for.
func secondLoss(f *fleet, trouble bool) (string, error) {
	if err := f.up(4); err != nil {
		return "", err
	}
	const job = "0000000000000051"
	if err := f.submit(job, "cpu=2300 ms=1000", 2, 2300, 1000, ""); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	alive := []int{1, 2, 3}
	owner := f.owner()
	if owner == 0 {
		return "", fmt.Errorf("no owner is known")
	}
	replace := func(lost, successor int) error {
		for _, role := range []string{"control", "entry"} {
			name := fmt.Sprintf("machine-%d/%s", lost, role)
			f.signal(name, syscall.SIGKILL)
			_ = f.procs[name].Wait()
			delete(f.procs, name)
		}
		f.rec.add("machine-%d is gone for good, with its disk", lost)
		time.Sleep(100 * time.Millisecond)
		f.machines = successor
		if err := f.startControl(successor, false); err != nil {
			return err
		}
		for i, a := range alive {
			if a == lost {
				alive[i] = successor
			}
		}
		return f.startEntry(successor)
	}
	if trouble {
		first := owner%3 + 1
		if err := replace(first, 4); err != nil {
			return "", err
		}
		time.Sleep(7200 * time.Millisecond)
		if err := replace(first%3+1, 5); err != nil {
			return "", err
		}
	}
	// recovery_s is 12, finish_s 14.
	time.Sleep(14 * time.Second)
	var config, state string
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		config, state = "", ""
		for _, i := range alive {
			if resp, err := plain.Get("http://" + f.addr(i, "control") + "/config/get"); err == nil {
				b, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == 200 && strings.Contains(string(b), `"version":3`) {
					config = string(b)
				}
			}
			if status, body := f.request(i, "GET", job, "", 3*time.Second); status == 200 {
				state = body
			}
		}
		if config != "" && state != "" {
			return "", nil
		}
	}
	return fmt.Sprintf("60 s after the second loss, and with 3 machines with a disk at work all the time, no machine answers: config read back %t, job known %t",
		config != "", state != ""), nil
}
