package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// advisor is the service that knows which minions may run a step. It handles one call at a
// time.
type advisor struct {
	rec   *record
	addr  string
	good  map[string]bool
	mu    sync.Mutex
	calls int
}

const decisionMS, perWorkerMS, validityMS = 20, 2, 5000

func newAdvisor(rec *record, addr string, good map[string]bool) (*advisor, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &advisor{rec: rec, addr: ln.Addr().String(), good: good}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	go func() { _ = http.Serve(ln, mux) }()
	return a, nil
}

func (a *advisor) advise(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Workers) > 100 {
		w.WriteHeader(400)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(time.Duration(decisionMS+perWorkerMS*len(c.Workers)) * time.Millisecond)
	good := [][]string{}
	for _, id := range c.Workers {
		if a.good[id] {
			good = append(good, []string{id, "t-" + c.Step + "-" + id})
		}
	}
	if a.calls++; a.calls <= 5 {
		a.rec.add("advice on %s, %d workers named (%s to %s): %d are good", c.Step, len(c.Workers), c.Workers[0], c.Workers[len(c.Workers)-1], len(good))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validity_ms": validityMS})
}

// advice hands a job in at a queue with advice. Of 40 minions, all idle, the policy of the
// queue allows 8: the last ones by id, or without the disruption the first ones. The job
// must run.
func advice(f *fleet, trouble bool) (string, error) {
	const minions, allowed = 40, 8
	good := map[string]bool{}
	for i := 1; i <= minions; i++ {
		if (trouble && i > minions-allowed) || (!trouble && i <= allowed) {
			good[fmt.Sprintf("i-%08d", i)] = true
		}
	}
	a, err := newAdvisor(f.rec, f.net+".201:0", good)
	if err != nil {
		return "", err
	}
	f.advisorLine = "advisor_address = " + a.addr + "\n"
	f.advice = fmt.Sprintf(`,"advice":{"decision_ms":%d,"per_worker_ms":%d,"validity_ms":%d}`, decisionMS, perWorkerMS, validityMS)
	if err := f.up(minions); err != nil {
		return "", err
	}
	const job = "00000000000000a6"
	if err := f.submit(job, "cpu=2300 ms=1000", 1, 2300, 1000, ""); err != nil {
		return "", err
	}
	time.Sleep(30 * time.Second)
	_, state := f.request(2, "GET", job, "", 3*time.Second)
	if len(f.rec.runsOf(job)) == 0 {
		return fmt.Sprintf("no work item of the accepted job has begun in 30 s, with %d idle minions that may run it, of %d idle ones; its state is %s", allowed, minions, state), nil
	}
	return "", nil
}
