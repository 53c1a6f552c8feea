package stand

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

// oddEntry begins a wave of two machines, one at a time, while the entry of one of them in
// the list of machines has a state that no page names, for 8 s. The wave must not be said to
// be completed before both machines have begun their upkeep.
func oddEntry(f *fleet, trouble bool) (string, error) {
	if err := f.up(6); err != nil {
		return "", err
	}
	const wave, a, b = 1, "m-1", "m-2"
	if trouble {
		f.platform.setOdd(b, "unknown-to-you")
		time.AfterFunc(8*time.Second, func() { f.platform.setOdd(b, "") })
	}
	err := f.wait("the wave is accepted", 10*time.Second, func() bool {
		for _, c := range f.controls() {
			body := fmt.Sprintf(`{"wave":%d,"machines":[%q,%q],"duration_s":27,"max_count":1}`, wave, a, b)
			if status, _ := post(context.Background(), c, "/wave-start", body, time.Second); status == 200 {
				f.rec.add("operator: POST /wave-start %s: answer 200", body)
				return true
			}
		}
		return false
	})
	if err != nil {
		return "", err
	}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		resp, err := plain.Get(fmt.Sprintf("http://%s/wave-get/%d", f.addr(2, "control"), wave))
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if !strings.Contains(string(body), "completed") {
			continue
		}
		f.rec.add("operator: GET /wave-get/%d: answer %d %s", wave, resp.StatusCode, body)
		// A machine that stays, and never leaves the list.
		begun := f.platform.begun(b, wave)
		time.Sleep(10 * time.Second)
		if !begun && !f.platform.begun(b, wave) {
			return fmt.Sprintf("wave %d is said to be completed, and machine %s, which stays, has not begun its upkeep", wave, b), nil
		}
		if !begun {
			return fmt.Sprintf("wave %d is said to be completed before machine %s has begun its upkeep", wave, b), nil
		}
		return "", nil
	}
	return "", fmt.Errorf("the wave was not completed in time")
}
