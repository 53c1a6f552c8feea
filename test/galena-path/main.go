// Command galena-path measures the overhead of an entry daemon on the request path.
// It compares throughput and latency of requests through an entry with those of
// requests sent directly to an identical stand-in upstream.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/galenahead/galenahead/test/galena-path/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.NewCmdPath(os.Stdout, nil).ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "galena-path: %v\n", err)
		os.Exit(1)
	}
}
