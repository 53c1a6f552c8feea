// Package team provides the commands for teams and their quotas.
package team

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenapb"
)

// NewCmdTeam returns the command group.
func NewCmdTeam(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("team", "List and set teams and their quotas", NewCmdList(f, nil), NewCmdSet(f, nil))
}

// NewCmdList returns the command that lists teams.
func NewCmdList(f *cli.Factory, runF func(context.Context, *cli.ListOptions) error) *cobra.Command {
	o := &cli.ListOptions{
		Factory: f,
		Kind:    "teams",
		Header:  []string{"NAME", "CORES", "MEMORY MB", "ACCELERATORS"},
		Rows: func(r *galenapb.GetReply) [][]any {
			return cli.Rows(r.GetTeams(), func(t *galenapb.Team) []any {
				return []any{t.GetName(), t.GetCores(), t.GetMemoryMb(), t.GetAccelerators()}
			})
		},
	}
	return cli.NewCmdList(o, "List teams", runF)
}

// SetOptions are the options of team set.
type SetOptions struct {
	Factory *cli.Factory
	Team    *galenapb.Team
}

// NewCmdSet returns the command that creates a team or replaces its quota.
func NewCmdSet(f *cli.Factory, runF func(context.Context, *SetOptions) error) *cobra.Command {
	o := &SetOptions{Factory: f, Team: &galenapb.Team{}}
	if runF == nil {
		runF = runSet
	}
	cmd := &cobra.Command{
		Use:   "set <name>",
		Short: "Create a team or replace its quota",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Team.Name = args[0]
			if err := cli.RequireFlags(cmd, "cores", "memory-mb"); err != nil {
				return err
			}
			return runF(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.Int32Var(&o.Team.Cores, "cores", 0, "quota of processors (cores)")
	flags.Int32Var(&o.Team.MemoryMb, "memory-mb", 0, "quota of memory (MB)")
	flags.Int32Var(&o.Team.Accelerators, "accelerators", 0, "quota of accelerators (count)")
	return cmd
}

func runSet(ctx context.Context, o *SetOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_TeamSet{TeamSet: o.Team},
	})
}
