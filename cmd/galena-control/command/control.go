// Package command defines the command line of galena-control.
package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/galenacontrol"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenasettings"
)

// NewCmdControl returns the galena-control command. Tests pass runF to replace
// the daemon.
func NewCmdControl(runF func(context.Context, *galenadaemon.Options) error) *cobra.Command {
	if runF == nil {
		runF = run
	}
	return galenadaemon.NewCmd("galena-control", "Run a control daemon", runF, check)
}

func check(path string) error {
	_, err := galenasettings.LoadControl(path)
	return err
}

func run(ctx context.Context, o *galenadaemon.Options) error {
	s, err := galenasettings.LoadControl(o.Settings)
	if err != nil {
		return err
	}
	return galenadaemon.Run(ctx, s.Process, func(log *galenadaemon.Log) (galenadaemon.Runner, error) {
		return galenacontrol.NewDaemon(s, log.Logger)
	})
}
