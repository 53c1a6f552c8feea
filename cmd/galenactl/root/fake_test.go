package root

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenapb"
)

// fakeControl is a fake control daemon. Its zero value is the leader and accepts
// changes.
type fakeControl struct {
	galenapb.UnimplementedControlServer

	// leader is the address of the leader, or empty if this daemon is the leader.
	leader string
	// replyErr is what Apply and Bootstrap return after recording the request.
	replyErr error
	// memberErr is what ChangeMember returns after recording the request.
	memberErr error
	// unresponsive makes Apply record the request without ever replying.
	unresponsive bool

	mu         sync.Mutex
	applied    []*galenapb.ApplyRequest
	members    []*galenapb.ChangeMemberRequest
	bootstraps []*galenapb.BootstrapRequest
}

func (d *fakeControl) checkLeader() error {
	if d.leader != "" {
		return status.Errorf(codes.FailedPrecondition, "not the leader, leader=%s", d.leader)
	}
	return nil
}

func (d *fakeControl) Apply(ctx context.Context, r *galenapb.ApplyRequest) (*galenapb.ChangeReply, error) {
	if err := d.checkLeader(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.applied = append(d.applied, r)
	d.mu.Unlock()
	if d.unresponsive {
		// Returns an error, since a reply at the moment of the deadline could still
		// reach the client before it sees its own deadline.
		<-ctx.Done()
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if d.replyErr != nil {
		return nil, d.replyErr
	}
	reply := &galenapb.ChangeReply{Revision: r.GetBaseRevision() + 1}
	if r.GetWaitMs() > 0 {
		reply.InForce, reply.RolloutMs = true, 850
	}
	return reply, nil
}

func (d *fakeControl) Bootstrap(_ context.Context, r *galenapb.BootstrapRequest) (*galenapb.BootstrapReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bootstraps = append(d.bootstraps, r)
	return &galenapb.BootstrapReply{ClusterId: 77}, d.replyErr
}

func (d *fakeControl) ChangeMember(_ context.Context, r *galenapb.ChangeMemberRequest) (*galenapb.ChangeReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = append(d.members, r)
	if d.memberErr != nil {
		return nil, d.memberErr
	}
	return &galenapb.ChangeReply{Revision: 9}, d.checkLeader()
}

func (d *fakeControl) Get(context.Context, *galenapb.GetRequest) (*galenapb.GetReply, error) {
	return &galenapb.GetReply{
		Revision: 41,
		Pools:    []*galenapb.Pool{{Name: "counter"}, {Name: "other", Spare: true}},
		Vms: []*galenapb.VM{
			{Name: "vm-1", Pool: "counter", DataCentre: "sapporo", Rack: "r1", Cores: 64, MemoryMb: 131072, Phase: "owned", Condition: "up"},
			{Name: "vm-2", Pool: "other", DataCentre: "hakodate", Rack: "r9", Cores: 64, MemoryMb: 131072, Epoch: 3, Phase: "free", Condition: "down"},
		},
		Services: []*galenapb.Service{{Name: "courier", Pool: "courier", BudgetPpm: 500, Slots: 8, Connections: 64, DeadlineMs: 1500,
			Callers: []*galenapb.CallerShare{{Caller: "shop-1", Share: 2}}}},
		Teams:    []*galenapb.Team{{Name: "maps", Cores: 10, MemoryMb: 2048}},
		Waves:    []*galenapb.Wave{{Name: "w1", Pool: "counter", State: "stopped", Reason: "two\tfailures\x1b[2J", MaxAtOnce: 2}},
		Jobs:     []*galenapb.Job{{Id: "j1", Team: "maps", Pool: "other", Cores: 4, State: "running", Worker: "vm-2"}},
		Settings: []*galenapb.Setting{{Key: "route.spread", Value: "2"}, {Key: "trace", Value: "on"}},
	}, d.checkLeader()
}

func (d *fakeControl) History(_ context.Context, r *galenapb.HistoryRequest) (*galenapb.HistoryReply, error) {
	changes := []*galenapb.Change{
		{Revision: 41, RequestId: "id-b", Operator: "ana", TimeMs: 1_780_000_000_000, Summary: "setting_set trace"},
		{Revision: 40, RequestId: "id-a", Operator: "ken", TimeMs: 1_779_999_000_000, Summary: "pool_set other"},
	}
	return &galenapb.HistoryReply{Changes: changes[:min(len(changes), int(r.GetLimit()))]}, d.checkLeader()
}

func (d *fakeControl) Status(context.Context, *galenapb.StatusRequest) (*galenapb.StatusReply, error) {
	return &galenapb.StatusReply{
		Name: "c2", Role: "follower", Leader: "c1", Term: 7, CommitIndex: 90, Revision: 41,
		Members: []*galenapb.Member{{Name: "c1", Address: "127.0.0.1:8090", Incarnation: 1 << 60, Voter: true},
			{Name: "c2", Address: "127.0.0.2:8090", Incarnation: 5, Voter: true}, {Name: "c3", Address: "127.0.0.3:8090"}},
		Entries: []*galenapb.EntryStatus{{Name: "e1", Revision: 41, ConfirmedMsAgo: 300, Live: true}, {Name: "e2", Revision: 38, ConfirmedMsAgo: 9000}},
	}, nil
}

// runCommand runs one command line against the fake daemons, which are listed by
// address. GALENA_CONTROL names controlAddress.
func runCommand(t *testing.T, daemons map[string]*fakeControl, terminal bool, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	listeners := map[string]*bufconn.Listener{}
	for a, d := range daemons {
		l := bufconn.Listen(1 << 16)
		listeners[a] = l
		s := grpc.NewServer(grpc.WaitForHandlers(true))
		galenapb.RegisterControlServer(s, d)
		go func() { _ = s.Serve(l) }()
		defer s.Stop()
	}
	streams, out, errOut := cli.TestStreams(terminal)
	f := &cli.Factory{
		IO:       streams,
		Getenv:   func(string) string { return "127.0.0.1:1" },
		NewID:    func() string { return "00000000-0000-4000-8000-000000000001" },
		Operator: "ana",
		Dial: func(address string) (*grpc.ClientConn, error) {
			return grpc.NewClient("passthrough:///"+address,
				grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithConnectParams(client.ConnectParams()),
				grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
					if l := listeners[address]; l != nil {
						return l.DialContext(ctx)
					}
					return nil, net.ErrClosed
				}))
		},
	}
	code = Main(t.Context(), f, args)
	return code, out.String(), strings.TrimSuffix(errOut.String(), "\n")
}
