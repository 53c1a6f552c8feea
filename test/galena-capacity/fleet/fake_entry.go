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
	// longPollTime, longPollTimeout and retryDelay are the values that
	// galenaconfig.Follower uses.
	longPollTime    = time.Second
	longPollTimeout = 2 * time.Second
	retryDelay      = 100 * time.Millisecond
	// reportPeriod is the interval at which the broker of a service reports.
	reportPeriod = time.Second
)

// fakeEntry makes the calls that an entry makes to the control leader. It discards
// the configuration and stores only its revisions.
type fakeEntry struct {
	name             galenahead.EntryName
	controlAddresses []string
	client           galenarpc.Client
	// service is the service whose broker the entry runs, or empty.
	service galenahead.ServiceName

	mu        sync.Mutex
	revisions []revisionReceipt
}

// revisionReceipt is a revision with the time at which an entry received it.
type revisionReceipt struct {
	revision   galenahead.Revision
	receivedAt time.Time
}

// configReply is the part of a reply to config.wait that a fake entry decodes.
type configReply struct {
	Delta struct {
		Revision galenahead.Revision `json:"revision"`
	} `json:"delta"`
}

// run polls the configuration until ctx is done. It tries the next control daemon
// when a call fails.
func (e *fakeEntry) run(ctx context.Context) {
	defer e.client.Close()
	if e.service != "" {
		go e.sendReports(ctx)
	}
	leader := 0
	for ctx.Err() == nil {
		if e.pollConfig(ctx, e.controlAddresses[leader]) {
			continue
		}
		leader = (leader + 1) % len(e.controlAddresses)
		sleep(ctx, retryDelay)
	}
}

func (e *fakeEntry) pollConfig(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	rev := e.revision()
	req := galenaconfig.ConfigRequest{Entry: e.name, Revision: rev, Full: rev == 0, WaitMS: longPollTime.Milliseconds()}
	var reply configReply
	if err := e.client.Call(ctx, addr, "config.wait", req, &reply); err != nil {
		return false
	}
	e.recordRevision(reply.Delta.Revision)
	return true
}

func (e *fakeEntry) revision() galenahead.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.revisions) == 0 {
		return 0
	}
	return e.revisions[len(e.revisions)-1].revision
}

func (e *fakeEntry) recordRevision(rev galenahead.Revision) {
	if rev <= e.revision() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revisions = append(e.revisions, revisionReceipt{rev, time.Now()})
}

// revisionTime returns the time at which the entry first received the revision or a
// newer one.
func (e *fakeEntry) revisionTime(rev galenahead.Revision) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.revisions {
		if h.revision >= rev {
			return h.receivedAt, true
		}
	}
	return time.Time{}, false
}

// sendReports sends the reports of the broker of one service until ctx is done.
func (e *fakeEntry) sendReports(ctx context.Context) {
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
		sleep(ctx, reportPeriod)
		callCtx, cancel := context.WithTimeout(ctx, reportPeriod)
		var r galenaconfig.ReportReply
		if err := e.client.Call(callCtx, e.controlAddresses[leader], galenaconfig.MethodReport, report, &r); err != nil {
			leader = (leader + 1) % len(e.controlAddresses)
		}
		cancel()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
