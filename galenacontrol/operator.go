package galenacontrol

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaconfig"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenastate"
)

const (
	// acceptTimeout bounds the wait for a majority of entries to hold a change.
	acceptTimeout = 3 * time.Second
	// maxWait bounds an operator's wait until a change is in force.
	maxWait = 30 * time.Second
)

// Operator serves the operators' calls of the schema.
type Operator struct {
	galenapb.UnimplementedControlServer

	Store     *Store
	Publisher *galenaconfig.Publisher
	Timers    galenahead.Timers
	// Addresses maps replicas to their operator addresses.
	Addresses map[galenahead.ReplicaName]string
	// PeerAddress is where the other replicas reach this one.
	PeerAddress string
	// Initial lists the settings that the leader sets before operators' changes.
	// Until then their base revisions would soon be stale.
	Initial map[string]float64
	// RolledOut is called with the roll-out time of each change whose effect
	// was awaited. It may be nil.
	RolledOut func(time.Duration)
}

// Bootstrap starts a blank cluster.
func (o *Operator) Bootstrap(ctx context.Context, req *galenapb.BootstrapRequest) (*galenapb.BootstrapReply, error) {
	members := make([]galenahead.Member, 0, len(req.GetMembers()))
	for _, m := range req.GetMembers() {
		members = append(members, memberOf(m))
	}
	if err := o.Store.Log.Bootstrap(ctx, members); err != nil {
		return nil, o.status(err)
	}
	return &galenapb.BootstrapReply{ClusterId: o.Store.Log.Status().Incarnation}, nil
}

// Status reports this replica's view; the live entries are those that asked
// the leader lately.
func (o *Operator) Status(context.Context, *galenapb.StatusRequest) (*galenapb.StatusReply, error) {
	st := o.Store.Log.Status()
	reply := &galenapb.StatusReply{
		Name: string(st.Name), Role: st.Role, Leader: string(st.Leader), Term: st.Term,
		CommitIndex: st.CommitIndex, Revision: uint64(o.Store.View().Revision()),
		Incarnation: st.Incarnation, PeerAddress: o.PeerAddress,
	}
	for _, m := range st.Members {
		reply.Members = append(reply.Members, memberPB(m))
	}
	now := o.Timers.Now()
	for _, h := range o.Publisher.EntryRevisions() {
		e := &galenapb.EntryStatus{Name: string(h.Entry), Revision: uint64(h.Revision), ConfirmedMsAgo: -1}
		if !h.LastRequest.IsZero() {
			e.ConfirmedMsAgo = now.Sub(h.LastRequest).Milliseconds()
			e.Live = now.Sub(h.LastRequest) <= galenaconfig.ConfirmationTTL
		}
		reply.Entries = append(reply.Entries, e)
	}
	return reply, nil
}

// ChangeMember changes the replicas of the log.
func (o *Operator) ChangeMember(ctx context.Context, req *galenapb.ChangeMemberRequest) (*galenapb.ChangeReply, error) {
	actions := map[galenapb.ChangeMemberRequest_Action]galenahead.MemberAction{
		galenapb.ChangeMemberRequest_ACTION_ADD_LEARNER: galenahead.MemberAddLearner,
		galenapb.ChangeMemberRequest_ACTION_PROMOTE:     galenahead.MemberPromote,
		galenapb.ChangeMemberRequest_ACTION_REMOVE:      galenahead.MemberRemove,
	}
	action, ok := actions[req.GetAction()]
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "action: found none, allowed are add_learner, promote and remove")
	}
	err := o.Store.Log.ChangeMember(ctx, galenahead.MemberChange{Action: action, Member: memberOf(req.GetMember())})
	if err != nil {
		return nil, o.status(err)
	}
	return &galenapb.ChangeReply{Revision: uint64(o.Store.View().Revision())}, nil
}

// Apply submits one change. It returns once a majority of entries holds the
// change, or once it is in force everywhere if the request asks to wait.
func (o *Operator) Apply(ctx context.Context, req *galenapb.ApplyRequest) (*galenapb.ChangeReply, error) {
	if r := req.GetVmReturn(); r != nil {
		return o.returnVM(ctx, galenahead.VMName(r.GetVm()))
	}
	change, err := changeOf(req)
	if err != nil {
		return nil, o.status(err)
	}
	if _, err := o.current(ctx); err != nil {
		return nil, err
	}
	if !o.Publisher.MajorityLive() {
		return nil, status.Error(codes.Unavailable, "not accepted: fewer than half of the entries are connected to the control leader; start them or check the network")
	}
	start := o.Timers.Now()
	r, err := o.Store.Propose(ctx, galenastate.Command{
		RequestID: req.GetRequestId(), Base: galenahead.Revision(req.GetBaseRevision()),
		Operator: req.GetOperator(), TimeMS: start.UnixMilli(), Change: change,
	})
	if err != nil {
		return nil, o.status(err)
	}
	return o.finish(ctx, req, r, start)
}

// returnVM puts a VM that is down or parked back into service. The VM's epoch
// fences the changes, so that a resend has no second effect.
func (o *Operator) returnVM(ctx context.Context, name galenahead.VMName) (*galenapb.ChangeReply, error) {
	v, err := o.Store.Current(ctx)
	if err != nil {
		return nil, o.status(err)
	}
	vm, ok := v.VM(name)
	if !ok {
		return nil, status.Errorf(codes.NotFound, "vm: found %q, allowed is an existing name", name)
	}
	var changes []galenastate.Change
	if vm.Condition == galenastate.ConditionDown {
		changes = append(changes, galenastate.Change{VMCondition: &galenastate.VMCondition{
			VM: name, Epoch: vm.Epoch, Condition: galenastate.ConditionUp,
		}})
	}
	if vm.Parked {
		changes = append(changes, galenastate.Change{WorkerPark: &galenastate.WorkerParking{VM: name, Epoch: vm.Epoch}})
	}
	reply := &galenapb.ChangeReply{Revision: uint64(v.Revision())}
	for _, ch := range changes {
		r, err := o.Store.Propose(ctx, galenastate.Command{TimeMS: o.Timers.Now().UnixMilli(), Change: ch})
		if err == nil {
			err = r.Err()
		}
		if err != nil {
			return nil, o.status(err)
		}
		reply.Revision = uint64(r.Revision)
	}
	return reply, nil
}

func (o *Operator) finish(ctx context.Context, req *galenapb.ApplyRequest, r galenastate.Result, start time.Time) (*galenapb.ChangeReply, error) {
	reply := &galenapb.ChangeReply{Revision: uint64(r.Revision)}
	if err := r.Err(); err != nil {
		var conflict *galenastate.ConflictError
		if !errors.As(err, &conflict) {
			return nil, o.status(err)
		}
		reply.Conflict = true
		reply.Winner = conflict.Winner.String()
		reply.Error = err.Error()
		return reply, nil
	}
	accept, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if err := o.Publisher.WaitAccepted(accept, r.Revision); err != nil {
		return nil, status.Errorf(codes.Unavailable,
			"revision %d is not yet held by a majority of entries; send the request again with the same request id", r.Revision)
	}
	if req.GetWaitMs() <= 0 {
		return reply, nil
	}
	wait, cancel := context.WithTimeout(ctx, min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWait))
	defer cancel()
	// The reply says whether the change came into force in time.
	reply.InForce = o.Publisher.WaitInForce(wait, r.Revision, start) == nil
	took := o.Timers.Now().Sub(start)
	reply.RolloutMs = took.Milliseconds()
	if reply.InForce && o.RolledOut != nil {
		o.RolledOut(took)
	}
	return reply, nil
}

// current returns the state once the initial settings are in it, or a status.
func (o *Operator) current(ctx context.Context) (*galenastate.View, error) {
	v, err := o.Store.Current(ctx)
	if err != nil {
		return nil, o.status(err)
	}
	if !initialised(v, o.Initial) {
		return nil, status.Error(codes.Unavailable, "the leader is still making the initial settings; try again")
	}
	return v, nil
}

// initialised tells whether every initial setting has a value.
func initialised(v *galenastate.View, initial map[string]float64) bool {
	for key := range initial {
		if _, ok := v.Setting(key); !ok {
			return false
		}
	}
	return true
}

// Get returns the control state.
func (o *Operator) Get(ctx context.Context, req *galenapb.GetRequest) (*galenapb.GetReply, error) {
	v, err := o.current(ctx)
	if err != nil {
		return nil, err
	}
	reply, err := stateOf(v, req.GetKind())
	if err != nil {
		return nil, o.status(err)
	}
	return reply, nil
}

// History returns the newest accepted changes.
func (o *Operator) History(ctx context.Context, req *galenapb.HistoryRequest) (*galenapb.HistoryReply, error) {
	v, err := o.Store.Current(ctx)
	if err != nil {
		return nil, o.status(err)
	}
	reply := &galenapb.HistoryReply{}
	for _, a := range v.History(int(req.GetLimit())) {
		reply.Changes = append(reply.Changes, &galenapb.Change{
			Revision: uint64(a.Revision), RequestId: a.RequestID, Operator: a.Operator, TimeMs: a.TimeMS, Summary: a.Summary(),
		})
	}
	return reply, nil
}

// status converts an error to a gRPC status; interfaces.md lists them.
func (o *Operator) status(err error) error {
	code := codes.Internal
	switch {
	case errors.Is(err, galenahead.ErrNotLeader):
		return status.Error(codes.FailedPrecondition, o.leaderHint())
	case errors.Is(err, galenahead.ErrNoQuorum), errors.Is(err, galenahead.ErrLeaseExpired), errors.Is(err, galenahead.ErrNotReady):
		code = codes.Unavailable
	case errors.Is(err, galenahead.ErrConflict):
		code = codes.Aborted
	case errors.Is(err, galenahead.ErrRequestIDReused):
		code = codes.AlreadyExists
	case errors.Is(err, galenahead.ErrInvalid):
		code = codes.InvalidArgument
	case errors.Is(err, galenahead.ErrNotFound):
		code = codes.NotFound
	case errors.Is(err, galenahead.ErrQuota):
		code = codes.ResourceExhausted
	case errors.Is(err, context.DeadlineExceeded):
		code = codes.DeadlineExceeded
	}
	return status.Error(code, err.Error())
}

func (o *Operator) leaderHint() string {
	leader := o.Store.Log.Status().Leader
	addr, ok := o.Addresses[leader]
	if !ok {
		return "this replica does not lead and knows no leader; leader="
	}
	return fmt.Sprintf("this replica does not lead; leader=%s", addr)
}

func memberOf(m *galenapb.Member) galenahead.Member {
	return galenahead.Member{
		Name: galenahead.ReplicaName(m.GetName()), Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Voter: m.GetVoter(),
	}
}

func memberPB(m galenahead.Member) *galenapb.Member {
	return &galenapb.Member{Name: string(m.Name), Address: m.Address, Incarnation: m.Incarnation, Voter: m.Voter}
}
