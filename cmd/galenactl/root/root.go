// Package root builds the command tree of galenactl.
package root

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/check"
	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/cmd/galenactl/cluster"
	"github.com/galenahead/galenahead/cmd/galenactl/config"
	"github.com/galenahead/galenahead/cmd/galenactl/fleet"
	"github.com/galenahead/galenahead/cmd/galenactl/job"
	"github.com/galenahead/galenahead/cmd/galenactl/pool"
	"github.com/galenahead/galenahead/cmd/galenactl/service"
	"github.com/galenahead/galenahead/cmd/galenactl/team"
	"github.com/galenahead/galenahead/cmd/galenactl/vm"
	"github.com/galenahead/galenahead/cmd/galenactl/wave"
)

// NewCmdRoot returns the root command with all subcommands. Cobra adds help and
// completion.
func NewCmdRoot(f *cli.Factory) *cobra.Command {
	cmd := cli.NewGroup("galenactl", "Operate pools, services, waves and jobs of galenahead",
		pool.NewCmdPool(f),
		vm.NewCmdVM(f),
		service.NewCmdService(f),
		team.NewCmdTeam(f),
		wave.NewCmdWave(f),
		config.NewCmdConfig(f),
		job.NewCmdJob(f),
		cluster.NewCmdCluster(f),
		fleet.NewCmdFleet(f),
		check.NewCmdCheck(f, nil))
	cmd.SilenceErrors = true
	cmd.SilenceUsage = true
	f.AddFlags(cmd.PersistentFlags())
	cmd.SetIn(f.IO.In)
	cmd.SetOut(f.IO.Out)
	cmd.SetErr(f.IO.ErrOut)
	return cmd
}

// Main runs one command line and returns the exit code.
func Main(ctx context.Context, f *cli.Factory, args []string) int {
	cmd := NewCmdRoot(f)
	cmd.SetArgs(args)
	started := false
	markStarted(cmd, &started)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return cli.ExitOK
	}
	fmt.Fprintf(f.IO.ErrOut, "galenactl: %v\n", err)
	if !started {
		return cli.ExitUsage
	}
	return cli.ExitCode(err)
}

// markStarted wraps all commands so that they set started when they begin to run.
// Errors before that come from cobra and concern the command line.
func markStarted(cmd *cobra.Command, started *bool) {
	for _, sub := range cmd.Commands() {
		markStarted(sub, started)
	}
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			*started = true
			return run(cmd, args)
		}
	}
}
