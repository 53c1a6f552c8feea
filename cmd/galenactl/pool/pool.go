// Package pool provides the commands for pools of VMs.
package pool

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenapb"
)

// NewCmdPool returns the command group.
func NewCmdPool(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("pool", "List and set pools of VMs", NewCmdList(f, nil), NewCmdSet(f, nil))
}

// NewCmdList returns the command that lists pools.
func NewCmdList(f *cli.Factory, runF func(context.Context, *cli.ListOptions) error) *cobra.Command {
	o := &cli.ListOptions{
		Factory: f,
		Kind:    "pools",
		Header:  []string{"NAME", "SPARE"},
		Rows: func(r *galenapb.GetReply) [][]any {
			return cli.Rows(r.GetPools(), func(p *galenapb.Pool) []any { return []any{p.GetName(), p.GetSpare()} })
		},
	}
	return cli.NewCmdList(o, "List pools", runF)
}

// SetOptions are the options of pool set.
type SetOptions struct {
	Factory *cli.Factory
	Pool    *galenapb.Pool
}

// NewCmdSet returns the command that creates or replaces a pool.
func NewCmdSet(f *cli.Factory, runF func(context.Context, *SetOptions) error) *cobra.Command {
	o := &SetOptions{Factory: f, Pool: &galenapb.Pool{}}
	if runF == nil {
		runF = runSet
	}
	cmd := &cobra.Command{
		Use:   "set <name>",
		Short: "Create or replace a pool",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Pool.Name = args[0]
			return runF(cmd.Context(), o)
		},
	}
	cmd.Flags().BoolVar(&o.Pool.Spare, "spare", false, "make it the spare pool, whose VMs other pools may borrow (true or false)")
	return cmd
}

func runSet(ctx context.Context, o *SetOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_PoolSet{PoolSet: o.Pool},
	})
}
