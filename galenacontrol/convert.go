package galenacontrol

import (
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenastate"
)

// changeFromProto converts the change of an operator's request. It fails with
// galenahead.ErrInvalid if the request contains no change.
func changeFromProto(req *galenapb.ApplyRequest) (galenastate.Change, error) {
	switch c := req.GetChange().(type) {
	case *galenapb.ApplyRequest_PoolSet:
		return galenastate.Change{PoolSet: &galenastate.Pool{Name: galenahead.PoolName(c.PoolSet.GetName()), Spare: c.PoolSet.GetSpare()}}, nil
	case *galenapb.ApplyRequest_VmAdd:
		return galenastate.Change{VMAdd: vmAddFromProto(c.VmAdd)}, nil
	case *galenapb.ApplyRequest_VmMove:
		return galenastate.Change{VMMove: &galenastate.VMMove{
			VM: galenahead.VMName(c.VmMove.GetVm()), ToPool: galenahead.PoolName(c.VmMove.GetToPool()),
		}}, nil
	case *galenapb.ApplyRequest_VmRemove:
		return galenastate.Change{VMRemove: &galenastate.VMRemove{VM: galenahead.VMName(c.VmRemove.GetVm())}}, nil
	case *galenapb.ApplyRequest_ServiceSet:
		return galenastate.Change{ServiceSet: serviceFromProto(c.ServiceSet)}, nil
	case *galenapb.ApplyRequest_TeamSet:
		return galenastate.Change{TeamSet: teamFromProto(c.TeamSet)}, nil
	case *galenapb.ApplyRequest_SettingSet:
		return galenastate.Change{SettingSet: &galenastate.Setting{Key: c.SettingSet.GetKey(), Value: c.SettingSet.GetValue()}}, nil
	}
	return waveOrJobChangeFromProto(req)
}

// waveOrJobChangeFromProto converts the changes that concern waves and jobs.
func waveOrJobChangeFromProto(req *galenapb.ApplyRequest) (galenastate.Change, error) {
	switch c := req.GetChange().(type) {
	case *galenapb.ApplyRequest_WaveStart:
		return galenastate.Change{WaveStart: &galenastate.WaveStart{
			Name: c.WaveStart.GetName(), Pool: galenahead.PoolName(c.WaveStart.GetPool()),
			MaxAtOnce: c.WaveStart.GetMaxAtOnce(), SettleMS: c.WaveStart.GetSettleMs(),
		}}, nil
	case *galenapb.ApplyRequest_WaveControl:
		w := &galenastate.WaveControl{Name: c.WaveControl.GetName()}
		if err := w.Action.UnmarshalText([]byte(c.WaveControl.GetAction())); err != nil {
			return galenastate.Change{}, eris.Wrap(galenahead.ErrInvalid, err.Error())
		}
		return galenastate.Change{WaveControl: w}, nil
	case *galenapb.ApplyRequest_JobSubmit:
		return galenastate.Change{JobSubmit: jobSubmitFromProto(c.JobSubmit)}, nil
	case *galenapb.ApplyRequest_JobCancel:
		return galenastate.Change{JobCancel: &galenastate.JobCancel{ID: galenahead.JobID(c.JobCancel.GetId())}}, nil
	}
	return galenastate.Change{}, eris.Wrap(galenahead.ErrInvalid, "change: found none, allowed is exactly one")
}

func vmAddFromProto(v *galenapb.VM) *galenastate.VMAdd {
	return &galenastate.VMAdd{
		Name: galenahead.VMName(v.GetName()), Pool: galenahead.PoolName(v.GetPool()),
		DataCentre: galenahead.DataCentre(v.GetDataCentre()), Rack: galenahead.RackName(v.GetRack()), Address: v.GetAddress(),
		Cores: v.GetCores(), MemoryMB: v.GetMemoryMb(), Accelerators: v.GetAccelerators(),
	}
}

func serviceFromProto(s *galenapb.Service) *galenastate.Service {
	service := &galenastate.Service{
		Name: galenahead.ServiceName(s.GetName()), Pool: galenahead.PoolName(s.GetPool()), BudgetPPM: s.GetBudgetPpm(),
		Slots: s.GetSlots(), Connections: s.GetConnections(), DeadlineMS: s.GetDeadlineMs(),
	}
	for _, c := range s.GetCallers() {
		service.Callers = append(service.Callers, galenastate.CallerShare{Caller: galenahead.CallerName(c.GetCaller()), Share: c.GetShare()})
	}
	return service
}

func teamFromProto(t *galenapb.Team) *galenastate.TeamSet {
	return &galenastate.TeamSet{Name: galenahead.TeamName(t.GetName()), Quota: galenastate.Size{
		Cores: int64(t.GetCores()), MemoryMB: int64(t.GetMemoryMb()), Accelerators: int64(t.GetAccelerators()),
	}}
}

func jobSubmitFromProto(j *galenapb.Job) *galenastate.JobSubmit {
	return &galenastate.JobSubmit{
		ID: galenahead.JobID(j.GetId()), Team: galenahead.TeamName(j.GetTeam()), Pool: galenahead.PoolName(j.GetPool()),
		Service: galenahead.ServiceName(j.GetService()), Cores: j.GetCores(), MemoryMB: j.GetMemoryMb(),
		Accelerators: j.GetAccelerators(), Urgent: j.GetUrgent(),
	}
}

// stateToProto converts the records of one kind, or of all kinds if kind is
// empty.
func stateToProto(v *galenastate.View, kind string) (*galenapb.GetReply, error) {
	appenders := map[string]func(*galenastate.View, *galenapb.GetReply){
		"pools": appendPools, "vms": appendVMs, "services": appendServices, "teams": appendTeams,
		"waves": appendWaves, "jobs": appendJobs, "settings": appendSettings,
	}
	reply := &galenapb.GetReply{Revision: uint64(v.Revision())}
	if kind == "" {
		for _, f := range appenders {
			f(v, reply)
		}
		return reply, nil
	}
	f, ok := appenders[kind]
	if !ok {
		return nil, eris.Wrapf(galenahead.ErrInvalid,
			"kind: found %q, allowed are pools, vms, services, teams, waves, jobs, settings and the empty string", kind)
	}
	f(v, reply)
	return reply, nil
}

func appendPools(v *galenastate.View, r *galenapb.GetReply) {
	for _, p := range v.Pools() {
		r.Pools = append(r.Pools, &galenapb.Pool{Name: string(p.Name), Spare: p.Spare})
	}
}

func appendVMs(v *galenastate.View, r *galenapb.GetReply) {
	for vm := range v.VMs() {
		r.Vms = append(r.Vms, &galenapb.VM{
			Name: string(vm.Name), Pool: string(vm.Pool), DataCentre: string(vm.DataCentre), Rack: string(vm.Rack),
			Address: vm.Address, Cores: vm.Cores, MemoryMb: vm.MemoryMB, Accelerators: vm.Accelerators,
			Epoch: uint64(vm.Epoch), Phase: vm.Phase.String(), Condition: vm.Condition.String(), Parked: vm.Parked,
		})
	}
}

func appendServices(v *galenastate.View, r *galenapb.GetReply) {
	for _, s := range v.Services() {
		service := &galenapb.Service{
			Name: string(s.Name), Pool: string(s.Pool), BudgetPpm: s.BudgetPPM, Slots: s.Slots,
			Connections: s.Connections, DeadlineMs: s.DeadlineMS,
		}
		for _, c := range s.Callers {
			service.Callers = append(service.Callers, &galenapb.CallerShare{Caller: string(c.Caller), Share: c.Share})
		}
		r.Services = append(r.Services, service)
	}
}

func appendTeams(v *galenastate.View, r *galenapb.GetReply) {
	for _, t := range v.Teams() {
		r.Teams = append(r.Teams, &galenapb.Team{
			Name: string(t.Name), Cores: int32(t.Quota.Cores), MemoryMb: int32(t.Quota.MemoryMB), Accelerators: int32(t.Quota.Accelerators),
		})
	}
}

func appendWaves(v *galenastate.View, r *galenapb.GetReply) {
	for _, w := range v.Waves() {
		wave := &galenapb.Wave{
			Name: w.Name, Pool: string(w.Pool), State: w.State.String(), Reason: w.Reason,
			MaxAtOnce: w.MaxAtOnce, SettleMs: w.SettleMS,
		}
		for _, s := range w.VMs() {
			wave.Steps = append(wave.Steps, &galenapb.WaveStep{Vm: string(s.VM), Number: s.Number, State: s.State.String()})
		}
		r.Waves = append(r.Waves, wave)
	}
}

func appendJobs(v *galenastate.View, r *galenapb.GetReply) {
	for j := range v.Jobs() {
		r.Jobs = append(r.Jobs, &galenapb.Job{
			Id: string(j.ID), Team: string(j.Team), Pool: string(j.Pool), Service: string(j.Service), Cores: j.Cores,
			MemoryMb: j.MemoryMB, Accelerators: j.Accelerators, Urgent: j.Urgent, State: j.State.String(),
			Worker: string(j.Worker), Epoch: uint64(j.Epoch), Reason: j.Reason,
		})
	}
}

func appendSettings(v *galenastate.View, r *galenapb.GetReply) {
	for _, s := range v.Settings() {
		r.Settings = append(r.Settings, &galenapb.Setting{Key: s.Key, Value: s.Value})
	}
}
