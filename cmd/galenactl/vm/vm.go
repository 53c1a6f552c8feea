// Package vm provides the commands for VMs.
package vm

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenapb"
)

// NewCmdVM returns the command group.
func NewCmdVM(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("vm", "List, add, move and remove VMs",
		NewCmdList(f, nil), NewCmdAdd(f, nil), NewCmdMove(f, nil), NewCmdRemove(f, nil), NewCmdReturn(f, nil))
}

// NewCmdList returns the command that lists VMs.
func NewCmdList(f *cli.Factory, runF func(context.Context, *cli.ListOptions) error) *cobra.Command {
	pool := ""
	o := &cli.ListOptions{
		Factory: f,
		Kind:    "vms",
		Header: []string{"NAME", "POOL", "DATA CENTRE", "RACK", "ADDRESS", "CORES", "MEMORY MB", "ACCELERATORS",
			"EPOCH", "PHASE", "CONDITION"},
		Rows: func(r *galenapb.GetReply) [][]any {
			r.Vms = filterByPool(r.GetVms(), pool)
			return cli.Rows(r.GetVms(), row)
		},
	}
	cmd := cli.NewCmdList(o, "List VMs", runF)
	cmd.Flags().StringVar(&pool, "pool", "", "list only the VMs of one pool (pool name)")
	return cmd
}

func filterByPool(vms []*galenapb.VM, pool string) []*galenapb.VM {
	if pool == "" {
		return vms
	}
	var filtered []*galenapb.VM
	for _, v := range vms {
		if v.GetPool() == pool {
			filtered = append(filtered, v)
		}
	}
	return filtered
}

func row(v *galenapb.VM) []any {
	return []any{v.GetName(), v.GetPool(), v.GetDataCentre(), v.GetRack(), v.GetAddress(), v.GetCores(),
		v.GetMemoryMb(), v.GetAccelerators(), v.GetEpoch(), v.GetPhase(), condition(v)}
}

// AddOptions are the options of vm add.
type AddOptions struct {
	Factory *cli.Factory
	VM      *galenapb.VM
}

// NewCmdAdd returns the command that adds a VM to a pool.
func NewCmdAdd(f *cli.Factory, runF func(context.Context, *AddOptions) error) *cobra.Command {
	o := &AddOptions{Factory: f, VM: &galenapb.VM{}}
	if runF == nil {
		runF = runAdd
	}
	cmd := &cobra.Command{
		Use:   "add <name>",
		Short: "Add a VM to a pool",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.VM.Name = args[0]
			if err := cli.RequireFlags(cmd, "pool", "data-centre", "rack", "cores", "memory-mb"); err != nil {
				return err
			}
			return runF(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.VM.Pool, "pool", "", "pool that owns the VM (pool name)")
	flags.StringVar(&o.VM.DataCentre, "data-centre", "", "data centre of the VM (data centre name)")
	flags.StringVar(&o.VM.Rack, "rack", "", "rack of the VM (rack name)")
	flags.StringVar(&o.VM.Address, "address", "", "address of the VM (ip or ip:port)")
	flags.Int32Var(&o.VM.Cores, "cores", 0, "processors (cores)")
	flags.Int32Var(&o.VM.MemoryMb, "memory-mb", 0, "memory (MB)")
	flags.Int32Var(&o.VM.Accelerators, "accelerators", 0, "accelerators (count)")
	return cmd
}

func runAdd(ctx context.Context, o *AddOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_VmAdd{VmAdd: o.VM},
	})
}

// MoveOptions are the options of vm move.
type MoveOptions struct {
	Factory *cli.Factory
	Move    *galenapb.VMMove
}

// NewCmdMove returns the command that moves a VM to another pool.
func NewCmdMove(f *cli.Factory, runF func(context.Context, *MoveOptions) error) *cobra.Command {
	o := &MoveOptions{Factory: f, Move: &galenapb.VMMove{}}
	if runF == nil {
		runF = runMove
	}
	cmd := &cobra.Command{
		Use:   "move <name>",
		Short: "Move a VM to another pool",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Move.Vm = args[0]
			if err := cli.RequireFlags(cmd, "to-pool"); err != nil {
				return err
			}
			return runF(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.Move.ToPool, "to-pool", "", "pool that receives the VM (pool name)")
	return cmd
}

func runMove(ctx context.Context, o *MoveOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_VmMove{VmMove: o.Move},
	})
}

// RemoveOptions are the options of vm remove.
type RemoveOptions struct {
	Factory *cli.Factory
	VM      string
}

// NewCmdRemove returns the command that removes a VM.
func NewCmdRemove(f *cli.Factory, runF func(context.Context, *RemoveOptions) error) *cobra.Command {
	o := &RemoveOptions{Factory: f}
	if runF == nil {
		runF = runRemove
	}
	return &cobra.Command{
		Use:   "remove <name>",
		Short: "Remove a VM",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.VM = args[0]
			return runF(cmd.Context(), o)
		},
	}
}

func runRemove(ctx context.Context, o *RemoveOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_VmRemove{VmRemove: &galenapb.VMRemove{Vm: o.VM}},
	})
}

// ReturnOptions are the options of vm return.
type ReturnOptions struct {
	Factory *cli.Factory
	VM      string
}

// NewCmdReturn returns the command that puts a VM back into service.
func NewCmdReturn(f *cli.Factory, runF func(context.Context, *ReturnOptions) error) *cobra.Command {
	o := &ReturnOptions{Factory: f}
	if runF == nil {
		runF = runReturn
	}
	return &cobra.Command{
		Use:   "return <name>",
		Short: "Put a VM that is down or parked back into service",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.VM = args[0]
			return runF(cmd.Context(), o)
		},
	}
}

func runReturn(ctx context.Context, o *ReturnOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_VmReturn{VmReturn: &galenapb.VMReturn{Vm: o.VM}},
	})
}

// condition returns the VM's condition, and whether the VM is parked, which keeps
// it from getting jobs.
func condition(v *galenapb.VM) string {
	if v.GetParked() {
		return v.GetCondition() + ", parked"
	}
	return v.GetCondition()
}
