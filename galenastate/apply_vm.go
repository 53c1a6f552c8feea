package galenastate

import (
	"fmt"

	"github.com/galenahead/galenahead"
)

// setVM stores a VM whose phase, condition, pool or epoch changed, which
// entries need to know.
func (ch *change) setVM(vm VM) {
	vm.Revision = ch.revision + 1
	ch.vms.put(ch.gen, vm.Name, &vm)
	ch.touch(kindVM, string(vm.Name))
}

// setPhase stores a VM that entered another phase.
func (ch *change) setPhase(vm VM) {
	vm.PhaseMS = ch.command.TimeMS
	ch.setVM(vm)
}

// setVMWork stores a VM of which only the work or attribution changed.
func (ch *change) setVMWork(vm VM) {
	ch.vms.put(ch.gen, vm.Name, &vm)
}

func (ch *change) vmAdd(v *VMAdd) error {
	if err := checkVMAdd(v); err != nil {
		return err
	}
	pool, ok := ch.pools.get(v.Pool)
	if !ok {
		return notFound("pool", v.Pool)
	}
	if _, ok := ch.vms.get(v.Name); ok {
		return invalid("name", v.Name, "a name that no VM has")
	}
	ch.setVM(VM{
		Name:         v.Name,
		Pool:         pool.Name,
		DataCentre:   galenahead.DataCentre(ch.sharedName(string(v.DataCentre))),
		Rack:         galenahead.RackName(ch.sharedName(string(v.Rack))),
		Address:      v.Address,
		Cores:        v.Cores,
		MemoryMB:     v.MemoryMB,
		Accelerators: v.Accelerators,
		Epoch:        ch.epoch(),
		Home:         pool.Name,
		PhaseMS:      ch.command.TimeMS,
	})
	return nil
}

// sharedName returns the copy of s that all VMs share, which saves some 30
// bytes for each VM.
func (s *state) sharedName(name string) string {
	if s.names == nil {
		s.names = make(map[string]string)
	}
	return intern(s.names, name)
}

func checkVMAdd(v *VMAdd) error {
	if err := checkName("name", v.Name); err != nil {
		return err
	}
	if err := checkName("data_centre", v.DataCentre); err != nil {
		return err
	}
	if err := checkName("rack", v.Rack); err != nil {
		return err
	}
	if err := checkText("address", v.Address); err != nil {
		return err
	}
	return checkSize(v.Cores, v.MemoryMB, v.Accelerators)
}

// vmRemove starts the removal. The VM is deleted with the release proof, since
// its name could otherwise be added to another pool while the old one uses it.
// A move under way becomes a removal, so that a VM that does not come up in its
// new pool can be removed.
func (ch *change) vmRemove(r *VMRemove) error {
	vm, ok := ch.vms.get(r.VM)
	if !ok {
		return notFound("vm", r.VM)
	}
	if vm.Phase == PhaseFree {
		ch.deleteVM(r.VM)
		return nil
	}
	if vm.Phase == PhaseReleasing && vm.ToPool == "" {
		return invalid("phase", vm.Phase.String(), "a VM that is not being removed")
	}
	if ch.outOpen(vm) {
		return invalid("wave", vm.Wave, "a VM that no wave has out")
	}
	next := *vm
	ch.leaveWave(&next)
	next.Phase = PhaseReleasing
	next.ToPool = ""
	ch.setPhase(next)
	return nil
}

func (ch *change) deleteVM(name galenahead.VMName) {
	ch.vms.del(ch.gen, name)
	ch.touch(kindVM, string(name))
}

// fencedVM returns the VM if epoch is its current one.
func (ch *change) fencedVM(name galenahead.VMName, epoch galenahead.Epoch) (VM, error) {
	vm, ok := ch.vms.get(name)
	if !ok {
		return VM{}, notFound("vm", name)
	}
	if vm.Epoch != epoch && !ch.faults.ignoreEpoch {
		return VM{}, fenced("epoch", epoch, vm.Epoch)
	}
	return *vm, nil
}

func (ch *change) vmMove(mv *VMMove) error {
	old, ok := ch.vms.get(mv.VM)
	if !ok {
		return notFound("vm", mv.VM)
	}
	vm := *old
	driver := mv.Epoch != 0
	if err := checkText("reason", mv.Reason); err != nil {
		return err
	}
	if driver && mv.Epoch != vm.Epoch && !ch.faults.ignoreEpoch {
		return fenced("epoch", mv.Epoch, vm.Epoch)
	}
	pool, ok := ch.pools.get(mv.ToPool)
	if !ok {
		return notFound("to_pool", mv.ToPool)
	}
	if driver && vm.Phase == PhaseReleasing && vm.ToPool == mv.ToPool {
		ch.repeated = true
		return nil
	}
	if vm.Phase != PhaseOwned {
		return invalid("phase", vm.Phase.String(), "owned")
	}
	if vm.Wave != "" {
		return invalid("wave", vm.Wave, "a VM that no wave has out")
	}
	if vm.Pool == pool.Name {
		return invalid("to_pool", mv.ToPool, "another pool than the VM's own")
	}
	vm.Phase = PhaseReleasing
	vm.ToPool = pool.Name
	if !driver {
		vm.Home = pool.Name
	}
	ch.setPhase(vm)
	return nil
}

func (ch *change) vmReleased(r *VMReleased) error {
	vm, err := ch.fencedVM(r.VM, r.Epoch)
	if err != nil {
		return err
	}
	if vm.Phase == PhaseFree && vm.Released == r.Epoch {
		ch.repeated = true
		return nil
	}
	if vm.Phase != PhaseReleasing {
		return invalid("phase", vm.Phase.String(), "releasing")
	}
	if err := checkUnused(&vm, r.SlotsOut, r.Tasks, r.InForce); err != nil {
		return err
	}
	if vm.ToPool == "" {
		ch.deleteVM(vm.Name)
		return nil
	}
	vm.Phase = PhaseFree
	vm.Pool = ""
	vm.Released = vm.Epoch
	ch.setPhase(vm)
	return nil
}

// checkUnused refuses a proof that a VM is unused, unless the brokers reported
// under the VM's newest revision that nothing is out.
func checkUnused(vm *VM, slotsOut, tasks int32, inForce galenahead.Revision) error {
	if inForce < vm.Revision {
		return invalid("in_force", inForce, fmt.Sprintf("at least %d, the revision of the VM's newest change", vm.Revision))
	}
	if slotsOut != 0 || tasks != 0 {
		return invalid("slots_out + tasks", slotsOut+tasks, "0")
	}
	if vm.Jobs != 0 {
		return invalid("jobs", vm.Jobs, "0")
	}
	return nil
}

func (ch *change) vmAcquire(a *VMAcquire) error {
	vm, ok := ch.vms.get(a.VM)
	if !ok {
		return notFound("vm", a.VM)
	}
	if vm.Phase != PhaseFree && vm.Released == a.Epoch && vm.Epoch != a.Epoch {
		ch.repeated = true
		return nil
	}
	next, err := ch.fencedVM(a.VM, a.Epoch)
	if err != nil {
		return err
	}
	proved := next.Phase == PhaseFree && next.Released == next.Epoch
	if !proved && !(ch.faults.ignoreProof && next.ToPool != "") {
		return invalid("phase", next.Phase.String(), "free, with the release proof for the epoch")
	}
	next.Phase = PhaseAcquiring
	next.Pool = next.ToPool
	next.ToPool = ""
	next.Epoch = ch.epoch()
	ch.setPhase(next)
	return nil
}

func (ch *change) vmAcquired(a *VMAcquired) error {
	vm, err := ch.fencedVM(a.VM, a.Epoch)
	if err != nil {
		return err
	}
	if vm.Phase == PhaseOwned {
		ch.repeated = true
		return nil
	}
	if vm.Phase != PhaseAcquiring {
		return invalid("phase", vm.Phase.String(), "acquiring")
	}
	vm.Phase = PhaseOwned
	ch.setPhase(vm)
	return nil
}

func (ch *change) vmCondition(c *VMCondition) error {
	vm, err := ch.fencedVM(c.VM, c.Epoch)
	if err != nil {
		return err
	}
	if c.Condition > ConditionDown {
		return invalid("condition", uint8(c.Condition), "up, draining, rebooting, settling or down")
	}
	if vm.Condition == c.Condition {
		ch.repeated = true
		return nil
	}
	if c.Condition != ConditionDown && ch.outOpen(&vm) {
		return invalid("condition", c.Condition.String(), "down, while wave "+vm.Wave+" has the VM out")
	}
	vm.Condition = c.Condition
	if vm.Condition == ConditionUp {
		ch.leaveWave(&vm)
	}
	ch.setVM(vm)
	return nil
}

func (ch *change) workerParked(p *WorkerParking) error {
	vm, err := ch.fencedVM(p.VM, p.Epoch)
	if err != nil {
		return err
	}
	if vm.Parked == p.Parked {
		ch.repeated = true
		return nil
	}
	vm.Parked = p.Parked
	vm.Failures = nil
	ch.setVMWork(vm)
	return nil
}
