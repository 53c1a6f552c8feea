package galenastate

import (
	"fmt"

	"github.com/galenahead/galenahead"
)

// setVM stores a VM whose phase, condition, pool or epoch changed, and lists it
// among the changes for entries.
func (tx *transaction) setVM(vm VM) {
	vm.Revision = tx.revision + 1
	tx.vms.put(tx.gen, vm.Name, &vm)
	tx.markChanged(kindVM, string(vm.Name))
}

// setPhase is setVM for a VM that entered another phase.
func (tx *transaction) setPhase(vm VM) {
	vm.PhaseSinceMS = tx.command.TimeMS
	tx.setVM(vm)
}

// setVMJobState stores a VM of which only job counts, failures or parking
// changed, which entries do not need.
func (tx *transaction) setVMJobState(vm VM) {
	tx.vms.put(tx.gen, vm.Name, &vm)
}

func (tx *transaction) vmAdd(v *VMAdd) error {
	if err := checkVMAdd(v); err != nil {
		return err
	}
	pool, ok := tx.pools.get(v.Pool)
	if !ok {
		return notFound("pool", v.Pool)
	}
	if _, ok := tx.vms.get(v.Name); ok {
		return invalid("name", v.Name, "a name that no VM has")
	}
	tx.setVM(VM{
		Name:         v.Name,
		Pool:         pool.Name,
		DataCentre:   galenahead.DataCentre(tx.internName(string(v.DataCentre))),
		Rack:         galenahead.RackName(tx.internName(string(v.Rack))),
		Address:      v.Address,
		Cores:        v.Cores,
		MemoryMB:     v.MemoryMB,
		Accelerators: v.Accelerators,
		Epoch:        tx.nextEpoch(),
		HomePool:     pool.Name,
		PhaseSinceMS: tx.command.TimeMS,
	})
	return nil
}

// internName returns the copy of name that all VMs and jobs share, which saves
// some 30 bytes for each VM.
func (s *state) internName(name string) string {
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

// vmRemove starts the removal of a VM. The VM is deleted only when its release is
// proved: otherwise its name could be added to another pool while the old pool
// still uses the VM. A move in progress becomes a removal, so that a VM that does
// not come up in its new pool can be removed.
func (tx *transaction) vmRemove(r *VMRemove) error {
	vm, ok := tx.vms.get(r.VM)
	if !ok {
		return notFound("vm", r.VM)
	}
	if vm.Phase == PhaseFree {
		tx.deleteVM(r.VM)
		return nil
	}
	if vm.Phase == PhaseReleasing && vm.ToPool == "" {
		return invalid("phase", vm.Phase.String(), "a VM that is not being removed")
	}
	if tx.inMaintenance(vm) {
		return invalid("wave", vm.Wave, "a VM that no wave has out")
	}
	next := *vm
	tx.removeFromWave(&next)
	next.Phase = PhaseReleasing
	next.ToPool = ""
	tx.setPhase(next)
	return nil
}

func (tx *transaction) deleteVM(name galenahead.VMName) {
	tx.vms.del(tx.gen, name)
	tx.markChanged(kindVM, string(name))
}

// vmAtEpoch returns the VM if epoch is its current epoch.
func (tx *transaction) vmAtEpoch(name galenahead.VMName, epoch galenahead.Epoch) (VM, error) {
	vm, ok := tx.vms.get(name)
	if !ok {
		return VM{}, notFound("vm", name)
	}
	if vm.Epoch != epoch && !tx.faults.skipEpochCheck {
		return VM{}, fenced("epoch", epoch, vm.Epoch)
	}
	return *vm, nil
}

func (tx *transaction) vmMove(mv *VMMove) error {
	old, ok := tx.vms.get(mv.VM)
	if !ok {
		return notFound("vm", mv.VM)
	}
	vm := *old
	driver := mv.Epoch != 0
	if err := checkText("reason", mv.Reason); err != nil {
		return err
	}
	if driver && mv.Epoch != vm.Epoch && !tx.faults.skipEpochCheck {
		return fenced("epoch", mv.Epoch, vm.Epoch)
	}
	pool, ok := tx.pools.get(mv.ToPool)
	if !ok {
		return notFound("to_pool", mv.ToPool)
	}
	if driver && vm.Phase == PhaseReleasing && vm.ToPool == mv.ToPool {
		tx.repeated = true
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
		vm.HomePool = pool.Name
	}
	tx.setPhase(vm)
	return nil
}

func (tx *transaction) vmReleased(r *VMReleased) error {
	vm, err := tx.vmAtEpoch(r.VM, r.Epoch)
	if err != nil {
		return err
	}
	if vm.Phase == PhaseFree && vm.ReleasedEpoch == r.Epoch {
		tx.repeated = true
		return nil
	}
	if vm.Phase != PhaseReleasing {
		return invalid("phase", vm.Phase.String(), "releasing")
	}
	if err := checkUnused(&vm, r.SlotsOut, r.Tasks, r.BrokerRevision); err != nil {
		return err
	}
	if vm.ToPool == "" {
		tx.deleteVM(vm.Name)
		return nil
	}
	vm.Phase = PhaseFree
	vm.Pool = ""
	vm.ReleasedEpoch = vm.Epoch
	tx.setPhase(vm)
	return nil
}

// checkUnused rejects a command that requires an unused VM, unless all brokers had
// applied the VM's newest revision when they reported, no slots are granted, and no
// tasks or jobs are left.
func checkUnused(vm *VM, slotsOut, tasks int32, brokerRevision galenahead.Revision) error {
	if brokerRevision < vm.Revision {
		return invalid("in_force", brokerRevision, fmt.Sprintf("at least %d, the revision of the VM's newest change", vm.Revision))
	}
	if slotsOut != 0 || tasks != 0 {
		return invalid("slots_out + tasks", slotsOut+tasks, "0")
	}
	if vm.Jobs != 0 {
		return invalid("jobs", vm.Jobs, "0")
	}
	return nil
}

func (tx *transaction) vmAcquire(a *VMAcquire) error {
	vm, ok := tx.vms.get(a.VM)
	if !ok {
		return notFound("vm", a.VM)
	}
	if vm.Phase != PhaseFree && vm.ReleasedEpoch == a.Epoch && vm.Epoch != a.Epoch {
		tx.repeated = true
		return nil
	}
	next, err := tx.vmAtEpoch(a.VM, a.Epoch)
	if err != nil {
		return err
	}
	proved := next.Phase == PhaseFree && next.ReleasedEpoch == next.Epoch
	if !proved && !(tx.faults.skipReleaseProof && next.ToPool != "") {
		return invalid("phase", next.Phase.String(), "free, with the release proof for the epoch")
	}
	next.Phase = PhaseAcquiring
	next.Pool = next.ToPool
	next.ToPool = ""
	next.Epoch = tx.nextEpoch()
	tx.setPhase(next)
	return nil
}

func (tx *transaction) vmAcquired(a *VMAcquired) error {
	vm, err := tx.vmAtEpoch(a.VM, a.Epoch)
	if err != nil {
		return err
	}
	if vm.Phase == PhaseOwned {
		tx.repeated = true
		return nil
	}
	if vm.Phase != PhaseAcquiring {
		return invalid("phase", vm.Phase.String(), "acquiring")
	}
	vm.Phase = PhaseOwned
	tx.setPhase(vm)
	return nil
}

func (tx *transaction) vmCondition(c *VMCondition) error {
	vm, err := tx.vmAtEpoch(c.VM, c.Epoch)
	if err != nil {
		return err
	}
	if c.Condition > ConditionDown {
		return invalid("condition", uint8(c.Condition), "up, draining, rebooting, settling or down")
	}
	if vm.Condition == c.Condition {
		tx.repeated = true
		return nil
	}
	if c.Condition != ConditionDown && tx.inMaintenance(&vm) {
		return invalid("condition", c.Condition.String(), "down, while wave "+vm.Wave+" has the VM out")
	}
	vm.Condition = c.Condition
	if vm.Condition == ConditionUp {
		tx.removeFromWave(&vm)
	}
	tx.setVM(vm)
	return nil
}

func (tx *transaction) workerParked(p *WorkerParking) error {
	vm, err := tx.vmAtEpoch(p.VM, p.Epoch)
	if err != nil {
		return err
	}
	if vm.Parked == p.Parked {
		tx.repeated = true
		return nil
	}
	vm.Parked = p.Parked
	vm.Failures = nil
	tx.setVMJobState(vm)
	return nil
}
