// Package command defines the command line of galena-fleet and its daemons.
package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenasettings"
)

// settingsEnvVar is the environment variable with the path of the settings
// file. The flag --settings overrides it.
const settingsEnvVar = "GALENAHEAD_SETTINGS"

// NewCmdFleet returns the galena-fleet command with a subcommand for each role.
func NewCmdFleet() *cobra.Command {
	cmd := &cobra.Command{
		Use: "galena-fleet", Short: "Run galenahead on the users' platform", SilenceUsage: true, SilenceErrors: true,
	}
	cmd.AddCommand(
		newCmdRole("entry", "Serve callers", runEntry, galenasettings.LoadFleetEntry),
		newCmdRole("control", "Replicate the fleet's state, and own the fleet as the leader", runControl, galenasettings.LoadFleetControl),
	)
	return cmd
}

type (
	loadFunc  = func(path string) (galenasettings.Fleet, error)
	startFunc = func(ctx context.Context, path string, f galenasettings.Fleet, load loadFunc, log *galenadaemon.Log) (galenadaemon.Runner, error)
)

// catchHangups keeps SIGHUP from ending the process until stop is called, also while no daemon watches
// its settings: before it runs, and while a control daemon waits for its disk. Whatever opens then reads
// the settings anew.
func catchHangups() (stop func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return func() { signal.Stop(hup) }
}

func newCmdRole(use, short string, start startFunc, load loadFunc) *cobra.Command {
	run := func(ctx context.Context, o *galenadaemon.Options) error {
		defer catchHangups()()
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
	if path := os.Getenv(settingsEnvVar); path != "" {
		_ = cmd.Flags().Set("settings", path)
	}
	return cmd
}
