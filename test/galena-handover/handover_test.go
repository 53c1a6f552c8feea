package galenahandover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	configuration = `{"version":7,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":3000,` +
		`"target_latency_ms":600,"priority":0,"service":"desk","max_attempts":3,"stretch":1.6}],` +
		`"services":[{"name":"desk","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":true,"spare":false}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

	instanceCount = 9
	itemsPerJob   = 4
	// late is how much later the start without a response is executed, and cutTime how long its
	// instance is cut off.
	late    = 2500 * time.Millisecond
	cutTime = 5500 * time.Millisecond
	// timeUntilEnd is how long after the start the owner is told to end.
	timeUntilEnd = 100 * time.Millisecond
)

// submitter hands in a job every half a second.
type submitter struct {
	deployment *deployment
	stop       chan struct{}
	jobs       []string
}

func (s *submitter) run() {
	spec, _ := json.Marshal(map[string]any{"work_ms": workTime.Milliseconds()})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": []map[string]any{
		{"count": itemsPerJob, "cpu": 7700, "mem_mb": 2000, "estimate_ms": workTime.Milliseconds()},
	}})
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", n+1)
		for try := range 5 {
			status, _ := call(http.MethodPost, s.deployment.address(1+(n+try)%vmCount, "front"), "shop.example", "/q/"+id, string(body))
			if status == http.StatusOK {
				s.jobs = append(s.jobs, id)
				break
			}
		}
	}
}

// Guards against work that runs twice after the owner was told to end: it had just sent a start whose
// instance was cut off, crashed and started again behind the cut, and executed it later.
func TestStartOfEndingOwnerRunsOnce(t *testing.T) {
	d := newDeployment(t)
	runs := &runLedger{since: map[string]map[string]time.Time{}, began: map[string]int{}}
	var instances []*instance
	for i := range instanceCount {
		in := &instance{id: fmt.Sprintf("i-%08x", 0x10+i), address: "127.71.2.1:0", controls: d.controls(), runs: runs}
		d.requireNoError(in.boot())
		t.Cleanup(in.crash)
		instances = append(instances, in)
	}
	d.startAll()
	s := &submitter{deployment: d, stop: make(chan struct{})}
	var submitting sync.WaitGroup
	submitting.Go(s.run)
	time.Sleep(5 * time.Second)
	for _, in := range instances[:3] {
		d.endOwnerAfterStart(in)
	}
	close(s.stop)
	submitting.Wait()
	d.waitFor("all jobs to be completed", func() bool { return d.completed(s.jobs) })
	runs.mu.Lock()
	defer runs.mu.Unlock()
	for _, line := range runs.twice {
		t.Error(line)
	}
}

// endOwnerAfterStart tells the owner to end timeUntilEnd after it has sent a start that gets no response,
// cuts off the instance, and restarts it behind the cut. It returns once all is calm again.
func (d *deployment) endOwnerAfterStart(in *instance) {
	d.t.Helper()
	arrived := in.delayNextStart(late)
	select {
	case <-arrived:
	case <-time.After(10 * time.Second):
		d.t.Fatalf("no start comes to %s", in.id)
	}
	time.Sleep(timeUntilEnd)
	owner := d.owner()
	ended := d.processes[fmt.Sprintf("control-%d", owner)]
	_ = ended.cmd.Process.Signal(syscall.SIGTERM)
	in.setCut(true)
	time.Sleep(300 * time.Millisecond)
	in.crash()
	time.Sleep(500 * time.Millisecond)
	d.requireNoError(in.boot())
	time.Sleep(cutTime - 800*time.Millisecond)
	in.setCut(false)
	<-ended.done
	d.start("control", owner)
	time.Sleep(4 * time.Second)
}

// completed reports whether all jobs are shown as completed.
func (d *deployment) completed(jobs []string) bool {
	for i, id := range jobs {
		status, body := call(http.MethodGet, d.address(1+i%vmCount, "front"), "shop.example", "/q/"+id, "")
		var shown struct {
			State string `json:"state"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &shown) != nil || shown.State != "completed" {
			return false
		}
	}
	return len(jobs) > 0
}
