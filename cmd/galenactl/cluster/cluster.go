// Package cluster provides the commands for the cluster of control daemons.
package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenapb"
)

// NewCmdCluster returns the command group.
func NewCmdCluster(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("cluster", "Inspect and change the control cluster",
		NewCmdStatus(f, nil), NewCmdBootstrap(f, nil), NewCmdMember(f))
}

// StatusOptions are the options of cluster status.
type StatusOptions struct{ Factory *cli.Factory }

// NewCmdStatus returns the command that prints replicas and entries.
func NewCmdStatus(f *cli.Factory, runF func(context.Context, *StatusOptions) error) *cobra.Command {
	o := &StatusOptions{Factory: f}
	if runF == nil {
		runF = runStatus
	}
	return &cobra.Command{
		Use:   "status",
		Short: "Print the leader, the replicas and the entries",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runF(cmd.Context(), o)
		},
	}
}

func runStatus(ctx context.Context, o *StatusOptions) error {
	return o.Factory.WithClient(ctx, func(ctx context.Context, c *client.Client) error {
		r, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return o.Factory.Print(r, []string{"KIND", "NAME", "STATE", "REVISION", "DETAIL"}, statusRows(r))
	})
}

// statusRows returns one row for the cluster, each replica and each entry.
func statusRows(r *galenapb.StatusReply) [][]any {
	rows := [][]any{{"cluster", r.GetLeader(), "leader", r.GetRevision(),
		fmt.Sprintf("term %d, index %d, answered by %s (%s, incarnation %d)",
			r.GetTerm(), r.GetCommitIndex(), r.GetName(), r.GetRole(), r.GetIncarnation())}}
	for _, m := range r.GetMembers() {
		rows = append(rows, []any{"replica", m.GetName(), memberState(r, m), "",
			fmt.Sprintf("%s, incarnation %d", m.GetAddress(), m.GetIncarnation())})
	}
	for _, e := range r.GetEntries() {
		state := "lost"
		if e.GetLive() {
			state = "live"
		}
		rows = append(rows, []any{"entry", e.GetName(), state, e.GetRevision(),
			fmt.Sprintf("confirmed %d ms ago", e.GetConfirmedMsAgo())})
	}
	return rows
}

func memberState(r *galenapb.StatusReply, m *galenapb.Member) string {
	switch {
	case m.GetName() == r.GetLeader():
		return "leader"
	case m.GetVoter():
		return "voter"
	}
	return "learner"
}

// BootstrapOptions are the options of cluster bootstrap.
type BootstrapOptions struct {
	Factory *cli.Factory
	// Members are the voters, each of the form name=ip:port[/incarnation].
	Members []string
}

// NewCmdBootstrap returns the command that starts a new cluster of blank replicas.
func NewCmdBootstrap(f *cli.Factory, runF func(context.Context, *BootstrapOptions) error) *cobra.Command {
	o := &BootstrapOptions{Factory: f}
	if runF == nil {
		runF = runBootstrap
	}
	cmd := &cobra.Command{
		Use:   "bootstrap",
		Short: "Start a new cluster of blank replicas through the first --control address",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runF(cmd.Context(), o)
		},
	}
	cmd.Flags().StringSliceVar(&o.Members, "member", nil,
		"voter of the new cluster, default every daemon at --control (name=ip:port/incarnation[,...])")
	return cmd
}

func runBootstrap(ctx context.Context, o *BootstrapOptions) error {
	req := &galenapb.BootstrapRequest{}
	for _, s := range o.Members {
		m, err := parseMember(s)
		if err != nil {
			return err
		}
		req.Members = append(req.Members, m)
	}
	return o.Factory.WithClient(ctx, func(ctx context.Context, c *client.Client) error {
		if len(req.GetMembers()) == 0 {
			members, err := allMembers(ctx, c)
			if err != nil {
				return err
			}
			req.Members = members
		}
		r, err := c.Bootstrap(ctx, req)
		if err != nil {
			return eris.Wrap(err, "bootstrap; see galenactl cluster status before a second attempt")
		}
		return o.Factory.Print(r, []string{"CLUSTER ID"}, [][]any{{r.GetClusterId()}})
	})
}

// allMembers returns the daemons at all addresses of c as voters.
func allMembers(ctx context.Context, c *client.Client) ([]*galenapb.Member, error) {
	replies, err := c.StatusAll(ctx)
	if err != nil {
		return nil, err
	}
	var members []*galenapb.Member
	for _, r := range replies {
		members = append(members, &galenapb.Member{
			Name: r.GetName(), Address: r.GetPeerAddress(), Incarnation: r.GetIncarnation(), Voter: true,
		})
	}
	return members, nil
}

// parseMember parses a voter of the form name=ip:port[/incarnation].
func parseMember(s string) (*galenapb.Member, error) {
	formatErr := cli.Usagef("--member %q is not of the form name=ip:port[/incarnation]", s)
	name, rest, ok := strings.Cut(s, "=")
	if !ok || name == "" {
		return nil, formatErr
	}
	address, incarnation, hasIncarnation := strings.Cut(rest, "/")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, formatErr
	}
	m := &galenapb.Member{Name: name, Address: address, Voter: true}
	if !hasIncarnation {
		return m, nil
	}
	var err error
	if m.Incarnation, err = strconv.ParseUint(incarnation, 10, 64); err != nil {
		return nil, formatErr
	}
	return m, nil
}
