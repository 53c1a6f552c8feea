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
	// acceptTimeout bounds the wait until a majority of entries has applied a
	// change.
	acceptTimeout = 3 * time.Second
	// maxInForceWait bounds an operator's wait until a change is in force.
	maxInForceWait = 30 * time.Second
)

// OperatorService implements the gRPC service Control for operators.
type OperatorService struct {
	galenapb.UnimplementedControlServer

	Store     *Store
	Publisher *galenaconfig.Publisher
	Timers    galenahead.Timers
	// Addresses maps replicas to the addresses that serve operators.
	Addresses map[galenahead.ReplicaName]string
	// PeerAddress is the address at which the other replicas reach this one.
	PeerAddress string
	// InitialSettings contains the settings that the leader sets before it accepts
	// operators' changes. Setting them later would make the base revisions of
	// these changes stale.
	InitialSettings map[string]float64
	// OnRollout is called with the rollout time of each change that was in force
	// before the wait of its request ended. It may be nil.
	OnRollout func(time.Duration)
}

// Bootstrap forms a new cluster of blank replicas.
func (o *OperatorService) Bootstrap(ctx context.Context, req *galenapb.BootstrapRequest) (*galenapb.BootstrapReply, error) {
	members := make([]galenahead.Member, 0, len(req.GetMembers()))
	for _, m := range req.GetMembers() {
		members = append(members, memberFromProto(m))
	}
	if err := o.Store.Log.Bootstrap(ctx, members); err != nil {
		return nil, o.statusError(err)
	}
	return &galenapb.BootstrapReply{ClusterId: o.Store.Log.Status().Incarnation}, nil
}

// Status returns this replica's state and what it knows of the entries. An entry
// is live if it sent a request within ConfirmationTTL.
func (o *OperatorService) Status(context.Context, *galenapb.StatusRequest) (*galenapb.StatusReply, error) {
	st := o.Store.Log.Status()
	reply := &galenapb.StatusReply{
		Name: string(st.Name), Role: st.Role, Leader: string(st.Leader), Term: st.Term,
		CommitIndex: st.CommitIndex, Revision: uint64(o.Store.View().Revision()),
		Incarnation: st.Incarnation, PeerAddress: o.PeerAddress,
	}
	for _, m := range st.Members {
		reply.Members = append(reply.Members, memberToProto(m))
	}
	now := o.Timers.Now()
	for _, entry := range o.Publisher.EntryRevisions() {
		e := &galenapb.EntryStatus{Name: string(entry.Entry), Revision: uint64(entry.Revision), ConfirmedMsAgo: -1}
		if !entry.LastRequest.IsZero() {
			e.ConfirmedMsAgo = now.Sub(entry.LastRequest).Milliseconds()
			e.Live = now.Sub(entry.LastRequest) <= galenaconfig.ConfirmationTTL
		}
		reply.Entries = append(reply.Entries, e)
	}
	return reply, nil
}

// ChangeMember adds, promotes or removes a replica of the replicated log.
func (o *OperatorService) ChangeMember(ctx context.Context, req *galenapb.ChangeMemberRequest) (*galenapb.ChangeReply, error) {
	actions := map[galenapb.ChangeMemberRequest_Action]galenahead.MemberAction{
		galenapb.ChangeMemberRequest_ACTION_ADD_LEARNER: galenahead.MemberAddLearner,
		galenapb.ChangeMemberRequest_ACTION_PROMOTE:     galenahead.MemberPromote,
		galenapb.ChangeMemberRequest_ACTION_REMOVE:      galenahead.MemberRemove,
	}
	action, ok := actions[req.GetAction()]
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "action: found none, allowed are add_learner, promote and remove")
	}
	err := o.Store.Log.ChangeMember(ctx, galenahead.MemberChange{Action: action, Member: memberFromProto(req.GetMember())})
	if err != nil {
		return nil, o.statusError(err)
	}
	return &galenapb.ChangeReply{Revision: uint64(o.Store.View().Revision())}, nil
}

// Apply commits one change. It returns once a majority of entries has applied the
// change. If the request asks to wait, it returns once the change is in force at
// all entries or the wait has ended.
func (o *OperatorService) Apply(ctx context.Context, req *galenapb.ApplyRequest) (*galenapb.ChangeReply, error) {
	if r := req.GetVmReturn(); r != nil {
		return o.returnVM(ctx, galenahead.VMName(r.GetVm()))
	}
	change, err := changeFromProto(req)
	if err != nil {
		return nil, o.statusError(err)
	}
	if _, err := o.currentState(ctx); err != nil {
		return nil, err
	}
	if !o.Publisher.MajorityLive() {
		return nil, status.Error(codes.Unavailable, "not accepted: fewer than half of the entries are connected to the control leader; start them or check the network")
	}
	proposedAt := o.Timers.Now()
	r, err := o.Store.Propose(ctx, galenastate.Command{
		RequestID: req.GetRequestId(), BaseRevision: galenahead.Revision(req.GetBaseRevision()),
		Operator: req.GetOperator(), TimeMS: proposedAt.UnixMilli(), Change: change,
	})
	if err != nil {
		return nil, o.statusError(err)
	}
	return o.awaitChange(ctx, req, r, proposedAt)
}

// returnVM returns a VM that is down or parked to service. The VM's epoch fences
// the changes, so a repeated request has no second effect.
func (o *OperatorService) returnVM(ctx context.Context, name galenahead.VMName) (*galenapb.ChangeReply, error) {
	v, err := o.Store.Current(ctx)
	if err != nil {
		return nil, o.statusError(err)
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
		changes = append(changes, galenastate.Change{WorkerParked: &galenastate.WorkerParking{VM: name, Epoch: vm.Epoch}})
	}
	reply := &galenapb.ChangeReply{Revision: uint64(v.Revision())}
	for _, ch := range changes {
		r, err := o.Store.Propose(ctx, galenastate.Command{TimeMS: o.Timers.Now().UnixMilli(), Change: ch})
		if err == nil {
			err = r.Err()
		}
		if err != nil {
			return nil, o.statusError(err)
		}
		reply.Revision = uint64(r.Revision)
	}
	return reply, nil
}

// awaitChange waits for the change of a committed command as Apply describes, and
// returns the reply. A conflict with another change is part of the reply.
func (o *OperatorService) awaitChange(ctx context.Context, req *galenapb.ApplyRequest, r galenastate.Result, proposedAt time.Time) (*galenapb.ChangeReply, error) {
	reply := &galenapb.ChangeReply{Revision: uint64(r.Revision)}
	if err := r.Err(); err != nil {
		var conflict *galenastate.ConflictError
		if !errors.As(err, &conflict) {
			return nil, o.statusError(err)
		}
		reply.Conflict = true
		reply.Winner = conflict.Winner.String()
		reply.Error = err.Error()
		return reply, nil
	}
	acceptCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if err := o.Publisher.WaitAccepted(acceptCtx, r.Revision); err != nil {
		return nil, status.Errorf(codes.Unavailable,
			"revision %d is not yet held by a majority of entries; send the request again with the same request id", r.Revision)
	}
	if req.GetWaitMs() <= 0 {
		return reply, nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(time.Duration(req.GetWaitMs())*time.Millisecond, maxInForceWait))
	defer cancel()
	// A change that is not yet in force is no error; the reply reports it.
	reply.InForce = o.Publisher.WaitInForce(waitCtx, r.Revision, proposedAt) == nil
	took := o.Timers.Now().Sub(proposedAt)
	reply.RolloutMs = took.Milliseconds()
	if reply.InForce && o.OnRollout != nil {
		o.OnRollout(took)
	}
	return reply, nil
}

// currentState returns the current state. It fails with a gRPC status if this
// replica does not lead or has not yet set the initial settings.
func (o *OperatorService) currentState(ctx context.Context) (*galenastate.View, error) {
	v, err := o.Store.Current(ctx)
	if err != nil {
		return nil, o.statusError(err)
	}
	if !hasSettings(v, o.InitialSettings) {
		return nil, status.Error(codes.Unavailable, "the leader is still making the initial settings; try again")
	}
	return v, nil
}

// hasSettings reports whether all settings have values.
func hasSettings(v *galenastate.View, settings map[string]float64) bool {
	for key := range settings {
		if _, ok := v.Setting(key); !ok {
			return false
		}
	}
	return true
}

// Get returns the control state.
func (o *OperatorService) Get(ctx context.Context, req *galenapb.GetRequest) (*galenapb.GetReply, error) {
	v, err := o.currentState(ctx)
	if err != nil {
		return nil, err
	}
	reply, err := stateToProto(v, req.GetKind())
	if err != nil {
		return nil, o.statusError(err)
	}
	return reply, nil
}

// History returns the newest accepted changes.
func (o *OperatorService) History(ctx context.Context, req *galenapb.HistoryRequest) (*galenapb.HistoryReply, error) {
	v, err := o.Store.Current(ctx)
	if err != nil {
		return nil, o.statusError(err)
	}
	reply := &galenapb.HistoryReply{}
	for _, a := range v.History(int(req.GetLimit())) {
		reply.Changes = append(reply.Changes, &galenapb.Change{
			Revision: uint64(a.Revision), RequestId: a.RequestID, Operator: a.Operator, TimeMs: a.TimeMS, Summary: a.Summary(),
		})
	}
	return reply, nil
}

// statusError converts an error to a gRPC status, as documented in
// docs/interfaces.md.
func (o *OperatorService) statusError(err error) error {
	code := codes.Internal
	switch {
	case errors.Is(err, galenahead.ErrNotLeader):
		return status.Error(codes.FailedPrecondition, o.notLeaderMessage())
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

func (o *OperatorService) notLeaderMessage() string {
	leader := o.Store.Log.Status().Leader
	addr, ok := o.Addresses[leader]
	if !ok {
		return "this replica does not lead and knows no leader; leader="
	}
	return fmt.Sprintf("this replica does not lead; leader=%s", addr)
}

func memberFromProto(m *galenapb.Member) galenahead.Member {
	return galenahead.Member{
		Name: galenahead.ReplicaName(m.GetName()), Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Voter: m.GetVoter(),
	}
}

func memberToProto(m galenahead.Member) *galenapb.Member {
	return &galenapb.Member{Name: string(m.Name), Address: m.Address, Incarnation: m.Incarnation, Voter: m.Voter}
}
