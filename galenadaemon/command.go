package galenadaemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/galenasettings"
)

// Exit codes of the daemons.
const (
	exitFailure = 1
	exitUsage   = 2
)

// runError marks errors of a command that was used rightly.
type runError struct{ error }

func (e runError) Unwrap() error { return e.error }

// running marks err, unless it is nil.
func running(err error) error {
	if err == nil {
		return nil
	}
	return runError{err}
}

// Options are the options of a daemon.
type Options struct {
	// Settings is the path of the INI file.
	Settings string
}

// NewCmd returns a daemon's command with its subcommand check.
func NewCmd(use, short string, run func(context.Context, *Options) error, check func(path string) error) *cobra.Command {
	o := &Options{}
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return running(run(cmd.Context(), o)) },
	}
	cmd.Flags().StringVar(&o.Settings, "settings", "", "settings file (path)")
	_ = cmd.MarkFlagRequired("settings")
	cmd.AddCommand(newCmdCheck(check))
	return cmd
}

func newCmdCheck(check func(path string) error) *cobra.Command {
	return &cobra.Command{
		Use: "check <file>", Short: "Check a settings file and exit", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := check(args[0]); err != nil {
				return running(err)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", args[0])
			return running(err)
		},
	}
}

// Main runs a daemon's command until SIGTERM or SIGINT and returns its exit
// code.
func Main(cmd *cobra.Command) int {
	ctx, stop := Signals()
	defer stop()
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name(), err)
	var ran runError
	if errors.As(err, &ran) && !errors.Is(err, galenasettings.ErrSettings) {
		return exitFailure
	}
	return exitUsage
}

// Runner is a daemon that serves until ctx ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Run opens the log, limits the processors, and runs the daemon that start
// returns.
func Run(ctx context.Context, p galenasettings.Process, start func(*Log) (Runner, error)) error {
	log, err := OpenLog(p.LogFile, p.LogLevel)
	if err != nil {
		return err
	}
	defer log.Close()
	if p.MaxProcs > 0 {
		runtime.GOMAXPROCS(p.MaxProcs)
	}
	d, err := start(log)
	if err != nil {
		return err
	}
	log.WithField("name", p.Name).Info("daemon started")
	err = d.Run(ctx)
	log.WithField("name", p.Name).Info("daemon stopped")
	return err
}
