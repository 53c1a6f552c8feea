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

// platform is a worker platform on which every task runs for ever.
type platform struct {
	galenapb.UnimplementedWorkerServer

	calls  atomic.Int64
	server *grpc.Server

	mu sync.Mutex
	// started is when the first start of each job's task was asked for.
	started map[string]time.Time
}

func startPlatform(addr string) (*platform, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen for the platform")
	}
	p := &platform{server: grpc.NewServer(), started: make(map[string]time.Time)}
	galenapb.RegisterWorkerServer(p.server, p)
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *platform) running(r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	p.calls.Add(1)
	return &galenapb.TaskReply{Accepted: true, State: "running", Epoch: r.GetEpoch()}, nil
}

// Start implements galenapb.WorkerServer.
func (p *platform) Start(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	p.mu.Lock()
	if _, ok := p.started[r.GetJob()]; !ok {
		p.started[r.GetJob()] = time.Now()
	}
	p.mu.Unlock()
	return p.running(r)
}

// Renew implements galenapb.WorkerServer.
func (p *platform) Renew(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.running(r)
}
