package cluster

import (
	"context"
	"net/netip"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenapb"
)

// MemberOptions are the options of cluster member add, promote and remove.
type MemberOptions struct {
	Factory *cli.Factory
	Request *galenapb.ChangeMemberRequest
	// FromAddress is the operator address of the replica to add, which reports its
	// own peer address and incarnation.
	FromAddress string
}

// NewCmdMember returns the command group for replicas.
func NewCmdMember(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("member", "Add, promote and remove replicas",
		NewCmdMemberAdd(f, nil), NewCmdMemberPromote(f, nil), NewCmdMemberRemove(f, nil))
}

// NewCmdMemberAdd returns the command that adds a replica as a learner.
func NewCmdMemberAdd(f *cli.Factory, runF func(context.Context, *MemberOptions) error) *cobra.Command {
	o := newMemberOptions(f, galenapb.ChangeMemberRequest_ACTION_ADD_LEARNER)
	cmd := newCmdChangeMember(o, "add <name>", "Add a replica as a learner", runF)
	flags := cmd.Flags()
	flags.StringVar(&o.Request.Member.Address, "address", "", "peer address of the replica (ip:port)")
	flags.Uint64Var(&o.Request.Member.Incarnation, "incarnation", 0,
		"random number that the replica stored at its first start (number)")
	flags.StringVar(&o.FromAddress, "from", "", "operator address of the replica, instead of --address and --incarnation (ip:port)")
	cmd.PreRunE = func(*cobra.Command, []string) error { return validateAdd(o) }
	return cmd
}

func validateAdd(o *MemberOptions) error {
	m := o.Request.GetMember()
	if o.FromAddress != "" {
		if _, err := netip.ParseAddrPort(o.FromAddress); err != nil {
			return cli.Usagef("--from %q is not ip:port", o.FromAddress)
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(m.GetAddress()); err != nil {
		return cli.Usagef("--address %q is not ip:port", m.GetAddress())
	}
	if m.GetIncarnation() == 0 {
		return cli.Usagef("--incarnation is missing; pass --from with the replica's operator address instead")
	}
	return nil
}

// NewCmdMemberPromote returns the command that makes a learner a voter.
func NewCmdMemberPromote(f *cli.Factory, runF func(context.Context, *MemberOptions) error) *cobra.Command {
	o := newMemberOptions(f, galenapb.ChangeMemberRequest_ACTION_PROMOTE)
	return newCmdChangeMember(o, "promote <name>", "Make a learner a voter once it has caught up", runF)
}

// NewCmdMemberRemove returns the command that removes a replica.
func NewCmdMemberRemove(f *cli.Factory, runF func(context.Context, *MemberOptions) error) *cobra.Command {
	o := newMemberOptions(f, galenapb.ChangeMemberRequest_ACTION_REMOVE)
	return newCmdChangeMember(o, "remove <name>", "Remove a replica", runF)
}

func newMemberOptions(f *cli.Factory, action galenapb.ChangeMemberRequest_Action) *MemberOptions {
	req := &galenapb.ChangeMemberRequest{Action: action, Member: &galenapb.Member{}}
	return &MemberOptions{Factory: f, Request: req}
}

func newCmdChangeMember(o *MemberOptions, use, short string, runF func(context.Context, *MemberOptions) error) *cobra.Command {
	if runF == nil {
		runF = runChangeMember
	}
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Request.Member.Name = args[0]
			return runF(cmd.Context(), o)
		},
	}
}

func runChangeMember(ctx context.Context, o *MemberOptions) error {
	if o.FromAddress != "" {
		if err := fetchMember(ctx, o); err != nil {
			return err
		}
	}
	return o.Factory.ChangeMember(ctx, o.Request)
}

// fetchMember asks the replica at FromAddress for its peer address and incarnation,
// and sets them in the request.
func fetchMember(ctx context.Context, o *MemberOptions) error {
	return o.Factory.WithClient(ctx, func(ctx context.Context, c *client.Client) error {
		r, err := c.StatusAt(ctx, o.FromAddress)
		if err != nil {
			return err
		}
		m := o.Request.GetMember()
		if r.GetName() != m.GetName() {
			return cli.Usagef("the replica at %s is %q; pass the address of %q", o.FromAddress, r.GetName(), m.GetName())
		}
		m.Address, m.Incarnation = r.GetPeerAddress(), r.GetIncarnation()
		return nil
	})
}
