// Package fleet provides the commands that show the fleet of galena-fleet, whose
// instances register themselves: its owner, queues, jobs, instances, machines, waves and
// client accounts. The commands change nothing.
package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenafleet"
)

// NewCmdFleet returns the command group.
func NewCmdFleet(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("fleet", "Show the fleet of the galena-fleet daemons (--control takes peer addresses)",
		NewCmdView(f, ownerView, nil),
		NewCmdView(f, queuesView, nil),
		NewCmdJobs(f, nil),
		NewCmdJob(f, nil),
		NewCmdView(f, instancesView, nil),
		NewCmdView(f, machinesView, nil),
		NewCmdView(f, wavesView, nil),
		NewCmdView(f, accountsView, nil))
}

// ViewOptions are the options of a command that shows a part of the fleet.
type ViewOptions struct {
	Factory *cli.Factory
	Query   galenafleet.ViewQuery
	Header  []string
	Rows    func(galenafleet.View) [][]any
}

// viewSpec describes a command that shows a part of the fleet.
type viewSpec struct {
	part   galenafleet.Part
	short  string
	header []string
	rows   func(galenafleet.View) [][]any
}

func newViewOptions(f *cli.Factory, v viewSpec) *ViewOptions {
	return &ViewOptions{Factory: f, Query: galenafleet.ViewQuery{Part: v.part}, Header: v.header, Rows: v.rows}
}

// NewCmdView returns a command that shows a whole part of the fleet.
func NewCmdView(f *cli.Factory, v viewSpec, runF func(context.Context, *ViewOptions) error) *cobra.Command {
	o := newViewOptions(f, v)
	if runF == nil {
		runF = runView
	}
	return &cobra.Command{
		Use:   string(v.part),
		Short: v.short,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runF(cmd.Context(), o) },
	}
}

// NewCmdJobs returns the command that lists the jobs that are not in a final
// state.
func NewCmdJobs(f *cli.Factory, runF func(context.Context, *ViewOptions) error) *cobra.Command {
	o := newViewOptions(f, jobsView)
	cmd := NewCmdView(f, jobsView, nil)
	if runF == nil {
		runF = runView
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if o.Query.Limit < 1 || o.Query.Limit > galenafleet.MaxViewRows {
			return cli.Usagef("--limit %d is not from 1 to %d", o.Query.Limit, galenafleet.MaxViewRows)
		}
		return runF(cmd.Context(), o)
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Query.Queue, "queue", "", "queue of the jobs, default all (queue name)")
	flags.IntVar(&o.Query.Limit, "limit", galenafleet.MaxViewRows, "jobs to show, oldest first (jobs)")
	return cmd
}

// NewCmdJob returns the command that shows a job with its steps and runs.
func NewCmdJob(f *cli.Factory, runF func(context.Context, *ViewOptions) error) *cobra.Command {
	o := newViewOptions(f, jobView)
	if runF == nil {
		runF = runView
	}
	return &cobra.Command{
		Use:   "job <id>",
		Short: jobView.short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Query.Job = galenahead.JobID(args[0])
			return runF(cmd.Context(), o)
		},
	}
}

func runView(ctx context.Context, o *ViewOptions) error {
	c, err := o.Factory.FleetClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Factory.Flags.Timeout)
	defer cancel()
	v, err := c.View(ctx, o.Query)
	if err != nil {
		return err
	}
	rows := o.Rows(v)
	if err := o.Factory.PrintValue(v, o.Header, rows); err != nil {
		return err
	}
	if len(rows) < v.Total {
		fmt.Fprintf(o.Factory.IO.ErrOut, "galenactl: %d of %d %s shown\n", len(rows), v.Total, o.Query.Part)
	}
	return nil
}

// formatMillis formats a duration in milliseconds.
func formatMillis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
