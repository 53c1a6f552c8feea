// Command galenactl is the command line client for operators of galenahead.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/cmd/galenactl/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := root.Main(ctx, cli.NewFactory(), os.Args[1:])
	stop()
	os.Exit(code)
}
