// Package command is the command line of galena-fleet.
package command

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenasettings"
)

// settingsVariable names the environment variable with the path of the
// settings file, for where no flag gives it.
const settingsVariable = "GALENAHEAD_SETTINGS"

// NewCmdFleet returns the command with a subcommand for each role.
func NewCmdFleet() *cobra.Command {
	cmd := &cobra.Command{
		Use: "galena-fleet", Short: "Run galenahead on the users' platform", SilenceUsage: true, SilenceErrors: true,
	}
	cmd.AddCommand(
		newCmdRole("entry", "Answer callers", runEntry, galenasettings.LoadFleetEntry),
		newCmdRole("control", "Keep the fleet's state and own the fleet while leading", runControl, galenasettings.LoadFleetControl),
	)
	return cmd
}

type (
	loader = func(path string) (galenasettings.Fleet, error)
	runner = func(ctx context.Context, path string, f galenasettings.Fleet, load loader, log *galenadaemon.Log) (galenadaemon.Runner, error)
)

func newCmdRole(use, short string, start runner, load loader) *cobra.Command {
	run := func(ctx context.Context, o *galenadaemon.Options) error {
		f, err := load(o.Settings)
		if err != nil {
			return err
		}
		return galenadaemon.Run(ctx, f.Process, func(log *galenadaemon.Log) (galenadaemon.Runner, error) {
			return start(ctx, o.Settings, f, load, log)
		})
	}
	check := func(path string) error { _, err := load(path); return err }
	cmd := galenadaemon.NewCmd(use, short, run, check)
	if path := os.Getenv(settingsVariable); path != "" {
		_ = cmd.Flags().Set("settings", path)
	}
	return cmd
}
