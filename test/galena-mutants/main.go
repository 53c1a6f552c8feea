// Command galena-mutants shows that tests miss no guard: it removes one guard after the
// other from the sources and runs the test that has to fail then.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/galenahead/galenahead/test/galena-mutants/mutate"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := mutate.NewCmdMutants(os.Stdout).ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "galena-mutants: %v\n", err)
		os.Exit(1)
	}
}
