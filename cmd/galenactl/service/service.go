// Package service provides the commands for services.
package service

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenapb"
)

// NewCmdService returns the command group.
func NewCmdService(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("service", "List and set services", NewCmdList(f, nil), NewCmdSet(f, nil))
}

// NewCmdList returns the command that lists services.
func NewCmdList(f *cli.Factory, runF func(context.Context, *cli.ListOptions) error) *cobra.Command {
	o := &cli.ListOptions{
		Factory: f,
		Kind:    "services",
		Header:  []string{"NAME", "POOL", "BUDGET PPM", "SLOTS", "CONNECTIONS", "DEADLINE MS", "SHARES"},
		Rows: func(r *galenapb.GetReply) [][]any {
			return cli.Rows(r.GetServices(), row)
		},
	}
	return cli.NewCmdList(o, "List services", runF)
}

func row(s *galenapb.Service) []any {
	shares := make([]string, len(s.GetCallers()))
	for i, c := range s.GetCallers() {
		shares[i] = fmt.Sprintf("%s=%d", c.GetCaller(), c.GetShare())
	}
	return []any{s.GetName(), s.GetPool(), s.GetBudgetPpm(), s.GetSlots(), s.GetConnections(), s.GetDeadlineMs(),
		strings.Join(shares, ",")}
}

// SetOptions are the options of service set.
type SetOptions struct {
	Factory  *cli.Factory
	Service  *galenapb.Service
	Deadline time.Duration
	Shares   map[string]int
}

// NewCmdSet returns the command that creates or replaces a service.
func NewCmdSet(f *cli.Factory, runF func(context.Context, *SetOptions) error) *cobra.Command {
	o := &SetOptions{Factory: f, Service: &galenapb.Service{}}
	if runF == nil {
		runF = runSet
	}
	cmd := &cobra.Command{
		Use:   "set <name>",
		Short: "Create or replace a service",
		Long:  "Create or replace a service. Every flag that is not given gets its default, also on an existing service.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Service.Name = args[0]
			if err := cli.RequireFlags(cmd, "pool"); err != nil {
				return err
			}
			return runF(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Service.Pool, "pool", "", "pool that runs the service (pool name)")
	flags.Int32Var(&o.Service.BudgetPpm, "budget-ppm", 1000, "share of requests that may fail (parts per million)")
	flags.Int32Var(&o.Service.Slots, "slots", 8, "requests in flight per instance (requests)")
	flags.Int32Var(&o.Service.Connections, "connections", 64, "connections per instance (connections)")
	flags.DurationVar(&o.Deadline, "deadline", 2*time.Second, "deadline of a request without one (duration, such as 2s)")
	flags.StringToIntVar(&o.Shares, "share", nil, "share of a caller, 1 by default (caller=parts[,caller=parts...])")
	return cmd
}

func runSet(ctx context.Context, o *SetOptions) error {
	o.Service.DeadlineMs = o.Deadline.Milliseconds()
	for caller, share := range o.Shares {
		o.Service.Callers = append(o.Service.Callers, &galenapb.CallerShare{Caller: caller, Share: int32(share)})
	}
	slices.SortFunc(o.Service.Callers, func(a, b *galenapb.CallerShare) int {
		return cmp.Compare(a.GetCaller(), b.GetCaller())
	})
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_ServiceSet{ServiceSet: o.Service},
	})
}
