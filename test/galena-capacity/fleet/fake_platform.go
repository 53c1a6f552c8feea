package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/galenahead/galenahead/galenapb"
)

// fakePlatform is a worker platform on which every task runs without end.
type fakePlatform struct {
	galenapb.UnimplementedWorkerServer

	taskCalls atomic.Int64
	server    *grpc.Server

	mu sync.Mutex
	// firstStarts holds the time of the first start request for each job.
	firstStarts map[string]time.Time
}

func startPlatform(addr string) (*fakePlatform, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen for the fake platform")
	}
	p := &fakePlatform{server: grpc.NewServer(), firstStarts: make(map[string]time.Time)}
	galenapb.RegisterWorkerServer(p.server, p)
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *fakePlatform) runningReply(r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	p.taskCalls.Add(1)
	return &galenapb.TaskReply{Accepted: true, State: "running", Epoch: r.GetEpoch()}, nil
}

// Start implements galenapb.WorkerServer.
func (p *fakePlatform) Start(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	p.mu.Lock()
	if _, ok := p.firstStarts[r.GetJob()]; !ok {
		p.firstStarts[r.GetJob()] = time.Now()
	}
	p.mu.Unlock()
	return p.runningReply(r)
}

// Renew implements galenapb.WorkerServer.
func (p *fakePlatform) Renew(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.runningReply(r)
}
