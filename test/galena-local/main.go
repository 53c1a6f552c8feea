// Command galena-local runs a complete deployment on loopback addresses and shows
// how a request is served, a job is placed and a VM is moved. It is for
// demonstrations only.
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
	controlCount = 3
	entryCount   = 3
	// runTimeout limits the time of the whole demonstration.
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
	dep, err := deployment.New(dir, dir, controlCount, entryCount)
	if err != nil {
		return err
	}
	defer func() {
		fmt.Println("stopping every process")
		if stopErr := dep.Stop(); stopErr != nil && err == nil {
			err = stopErr
		}
	}()
	fmt.Printf("starting %d control daemons, %d entries and the stand-in platform\n", controlCount, entryCount)
	if err := dep.Start(ctx); err != nil {
		return err
	}
	return (&demonstration{deployment: dep}).run(ctx)
}
