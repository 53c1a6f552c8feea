// Command galena-standin provides fakes of the external systems of galenahead for
// tests and trials: an upstream, the worker platform, and callers. The fakes
// implement the interfaces of these systems and do not simulate their internals.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/test/galena-standin/caller"
	"github.com/galenahead/galenahead/test/galena-standin/platform"
	"github.com/galenahead/galenahead/test/galena-standin/upstream"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCmdRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "galena-standin: %v\n", err)
		os.Exit(1)
	}
}

func newCmdRoot() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "galena-standin",
		Short:         "Fake upstream, worker platform and callers for tests and trials",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.AddCommand(
		upstream.NewCmdUpstream(os.Stdout, nil),
		platform.NewCmdPlatform(os.Stdout, nil),
		caller.NewCmdCaller(os.Stdout, nil),
	)
	return cmd
}
