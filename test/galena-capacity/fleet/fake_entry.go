package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaconfig"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	// waitTime, waitTimeout and retryDelay are those of galenaconfig.Follower.
	waitTime    = time.Second
	waitTimeout = 2 * time.Second
	retryDelay  = 100 * time.Millisecond
	// reportPeriod is that of an entry with the broker of a service.
	reportPeriod = time.Second
)

// standIn speaks the calls of one entry to the control leader. It keeps only
// the revision of the configuration.
type standIn struct {
	name    galenahead.EntryName
	control []string
	client  galenarpc.Client
	// service is the service whose broker the entry has, or empty.
	service galenahead.ServiceName

	mu    sync.Mutex
	holds []held
}

// held is when an entry got a revision.
type held struct {
	revision galenahead.Revision
	at       time.Time
}

// waitReply is the part of the reply that a stand-in decodes.
type waitReply struct {
	Delta struct {
		Revision galenahead.Revision `json:"revision"`
	} `json:"delta"`
}

// run asks for the configuration until ctx ends.
func (e *standIn) run(ctx context.Context) {
	defer e.client.Close()
	if e.service != "" {
		go e.loopReports(ctx)
	}
	leader := 0
	for ctx.Err() == nil {
		if e.ask(ctx, e.control[leader]) {
			continue
		}
		leader = (leader + 1) % len(e.control)
		pause(ctx, retryDelay)
	}
}

func (e *standIn) ask(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	rev := e.revision()
	q := galenaconfig.Question{Entry: e.name, Held: rev, Whole: rev == 0, WaitMS: waitTime.Milliseconds()}
	var r waitReply
	if err := e.client.Call(ctx, addr, "config.wait", q, &r); err != nil {
		return false
	}
	e.hold(r.Delta.Revision)
	return true
}

func (e *standIn) revision() galenahead.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.holds) == 0 {
		return 0
	}
	return e.holds[len(e.holds)-1].revision
}

func (e *standIn) hold(rev galenahead.Revision) {
	if rev <= e.revision() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds = append(e.holds, held{rev, time.Now()})
}

// reached returns when the entry first held the revision or a newer one.
func (e *standIn) reached(rev galenahead.Revision) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.holds {
		if h.revision >= rev {
			return h.at, true
		}
	}
	return time.Time{}, false
}

// loopReports sends what the broker of one service reports.
func (e *standIn) loopReports(ctx context.Context) {
	report := galenaconfig.EntryReport{Entry: e.name, Services: []galenaconfig.ServiceReport{{
		Service: e.service, Epoch: 1,
		Loads: []galenaconfig.ServiceLoad{
			{DataCentre: "dc-00", Demand: 8, Capacity: 32, VMs: 4},
			{DataCentre: "dc-01", Demand: 8, Capacity: 24, VMs: 3},
			{DataCentre: "dc-02", Demand: 8, Capacity: 24, VMs: 3},
		},
	}}}
	leader := 0
	for ctx.Err() == nil {
		pause(ctx, reportPeriod)
		call, cancel := context.WithTimeout(ctx, reportPeriod)
		var r galenaconfig.ReportReply
		if err := e.client.Call(call, e.control[leader], galenaconfig.MethodReport, report, &r); err != nil {
			leader = (leader + 1) % len(e.control)
		}
		cancel()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
