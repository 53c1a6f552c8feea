package galenadaemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenasettings"
)

// Exit codes of the daemons.
const (
	exitFailure = 1
	exitUsage   = 2
)

// runtimeError marks errors that are not usage errors.
type runtimeError struct{ error }

func (e runtimeError) Unwrap() error { return e.error }

// wrapRuntimeError returns err as a runtimeError, or nil if err is nil.
func wrapRuntimeError(err error) error {
	if err == nil {
		return nil
	}
	return runtimeError{err}
}

// Options are the command-line options of a daemon.
type Options struct {
	// Settings is the path of the INI file.
	Settings string
}

// NewCmd returns a daemon's command, which calls run, with the subcommand check,
// which calls check with the path of a settings file.
func NewCmd(use, short string, run func(context.Context, *Options) error, check func(path string) error) *cobra.Command {
	options := &Options{}
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return wrapRuntimeError(run(cmd.Context(), options)) },
	}
	cmd.Flags().StringVar(&options.Settings, "settings", "", "settings file (path)")
	_ = cmd.MarkFlagRequired("settings")
	cmd.AddCommand(newCmdCheck(check))
	return cmd
}

func newCmdCheck(check func(path string) error) *cobra.Command {
	return &cobra.Command{
		Use: "check <file>", Short: "Check a settings file and exit", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := check(args[0]); err != nil {
				return wrapRuntimeError(err)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", args[0])
			return wrapRuntimeError(err)
		},
	}
}

// Main runs a daemon's command until SIGTERM or SIGINT and returns the exit code.
// Invalid settings count as usage errors.
func Main(cmd *cobra.Command) int {
	ctx, stop := SignalContext()
	defer stop()
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name(), err)
	var runErr runtimeError
	if errors.As(err, &runErr) && !errors.Is(err, galenasettings.ErrSettings) {
		return exitFailure
	}
	return exitUsage
}

// Runner is a daemon that runs until ctx ends.
type Runner interface {
	Run(ctx context.Context) error
}

// memoryLimitPart is the part of the machine's memory beyond which garbage is collected
// more often. The rest is for what the limit does not count, such as received bytes that
// the process has not read, and for another process on the machine.
const memoryLimitPart = 2

// limitResources applies the limits of the settings to the Go runtime.
func limitResources(process galenasettings.Process) {
	if process.MaxProcs > 0 {
		runtime.GOMAXPROCS(process.MaxProcs)
	}
	if process.MachineMemoryMB > 0 {
		debug.SetMemoryLimit(int64(process.MachineMemoryMB) << 20 / memoryLimitPart)
	}
}

// Run opens the log, applies the limits of the settings and runs the daemon that start
// returns.
func Run(ctx context.Context, process galenasettings.Process, start func(*Log) (Runner, error)) error {
	log, err := OpenLog(process.LogFile, process.LogLevel)
	if err != nil {
		return err
	}
	defer log.Close()
	limitResources(process)
	daemon, err := start(log)
	if err != nil {
		return err
	}
	machine := galenaintake.ThisMachine(process.MachineMemoryMB, process.MaxOpenFiles)
	log.WithField("name", process.Name).WithField("machine_memory_mb", machine.MemoryMB).WithField("max_open_files", machine.Files).
		Info("daemon started")
	err = daemon.Run(ctx)
	log.WithField("name", process.Name).Info("daemon stopped")
	return err
}
