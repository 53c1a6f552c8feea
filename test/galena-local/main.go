// Command galena-local runs a whole deployment on loopback and shows a request
// served, a job placed and a VM moved. It is for demonstrations only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

const (
	controls = 3
	entries  = 3
	// runTimeout bounds the demonstration.
	runTimeout = 2 * time.Minute
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "galena-local:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "galena-local-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Println("building the programs")
	if err := deployment.Build(ctx, dir); err != nil {
		return err
	}
	d, err := deployment.New(dir, dir, controls, entries)
	if err != nil {
		return err
	}
	defer func() {
		fmt.Println("stopping every process")
		if stopErr := d.Stop(); stopErr != nil && err == nil {
			err = stopErr
		}
	}()
	fmt.Printf("starting %d control daemons, %d entries and the stand-in platform\n", controls, entries)
	if err := d.Start(ctx); err != nil {
		return err
	}
	return (&tour{d: d}).run(ctx)
}
