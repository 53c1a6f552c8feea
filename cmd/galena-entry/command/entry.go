// Package command defines the command line of galena-entry.
package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenaentry"
	"github.com/galenahead/galenahead/galenasettings"
)

// NewCmdEntry returns the galena-entry command. Tests pass runF to replace the
// daemon.
func NewCmdEntry(runF func(context.Context, *galenadaemon.Options) error) *cobra.Command {
	if runF == nil {
		runF = run
	}
	return galenadaemon.NewCmd("galena-entry", "Run an entry daemon", runF, check)
}

func check(path string) error {
	_, err := galenasettings.LoadEntry(path)
	return err
}

func run(ctx context.Context, o *galenadaemon.Options) error {
	s, err := galenasettings.LoadEntry(o.Settings)
	if err != nil {
		return err
	}
	return galenadaemon.Run(ctx, s.Process, func(log *galenadaemon.Log) (galenadaemon.Runner, error) {
		return galenaentry.NewDaemon(s, log.Logger, log.Writer.Dropped), nil
	})
}
