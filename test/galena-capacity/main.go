// Command galena-capacity measures the resource usage of the daemons of galenahead.
// It runs the real programs on loopback addresses, and can check the usage at the
// current deployment size against the targets of the design page.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/test/galena-capacity/measure"
	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

const (
	// measureTimeout and checkTimeout limit the time of the subcommands.
	measureTimeout = 3 * time.Minute
	checkTimeout   = time.Minute
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCmdRoot(os.Stdout).ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "galena-capacity: %v\n", err)
		os.Exit(1)
	}
}

func newCmdRoot(out io.Writer) *cobra.Command {
	cmd := &cobra.Command{
		Use: "galena-capacity", Short: "Measure what the daemons cost", SilenceErrors: true, SilenceUsage: true,
	}
	var bin string
	cmd.PersistentFlags().StringVar(&bin, "bin", "", "directory with built programs, empty to build them (path)")
	cmd.AddCommand(&cobra.Command{
		Use: "measure", Short: "Print the slopes as Markdown tables", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runMeasure(cmd.Context(), bin, out) },
	}, &cobra.Command{
		Use: "check", Short: "Check the targets at today's size", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runCheck(cmd.Context(), bin, out) },
	})
	return cmd
}

func runMeasure(ctx context.Context, bin string, out io.Writer) error {
	return withRunner(ctx, bin, measureTimeout, func(ctx context.Context, r *measure.Runner) error {
		report, err := r.MeasureAll(ctx)
		if err != nil {
			return err
		}
		return report.Markdown(out)
	})
}

func runCheck(ctx context.Context, bin string, out io.Writer) error {
	return withRunner(ctx, bin, checkTimeout, func(ctx context.Context, r *measure.Runner) error {
		bounds, err := r.Check(ctx)
		if err != nil {
			return err
		}
		for _, b := range bounds {
			if _, err := fmt.Fprintln(out, b); err != nil {
				return eris.Wrap(err, "write result")
			}
		}
		if n := measure.Unmet(bounds); n > 0 {
			return eris.Errorf("%d of %d bounds are not met", n, len(bounds))
		}
		return nil
	})
}

// withRunner calls f with a runner that keeps all files in a temporary directory.
// The programs are built there, unless bin is the directory of built programs.
func withRunner(ctx context.Context, bin string, timeout time.Duration, f func(context.Context, *measure.Runner) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "galena-capacity-")
	if err != nil {
		return eris.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if bin != "" {
		return f(ctx, &measure.Runner{Bin: bin, Dir: dir})
	}
	if err := deployment.Build(ctx, dir); err != nil {
		return err
	}
	return f(ctx, &measure.Runner{Bin: dir, Dir: dir})
}
