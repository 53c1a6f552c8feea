package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenapb"
)

// NewGroup returns a command that only groups subcommands.
func NewGroup(use, short string, subs ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use + " <command>",
		Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return Usagef("unknown command %q; see %s --help", args[0], cmd.CommandPath())
			}
			return Usagef("no command; see %s --help", cmd.CommandPath())
		},
	}
	cmd.AddCommand(subs...)
	return cmd
}

// ListOptions are the options of a list command.
type ListOptions struct {
	Factory *Factory
	// Kind is the kind of records to read from the control state.
	Kind   string
	Header []string
	// Rows returns the rows to print. It may remove records from the reply, which
	// --json then does not print either.
	Rows func(*galenapb.GetReply) [][]any
}

// Run reads and prints the list.
func (o *ListOptions) Run(ctx context.Context) error {
	return o.Factory.WithClient(ctx, func(ctx context.Context, c *client.Client) error {
		r, err := c.Get(ctx, o.Kind)
		if err != nil {
			return err
		}
		rows := o.Rows(r)
		return o.Factory.Print(r, o.Header, rows, "revision", o.Kind)
	})
}

// NewCmdList returns a command that prints one kind of records of the control
// state.
func NewCmdList(o *ListOptions, short string, runF func(context.Context, *ListOptions) error) *cobra.Command {
	if runF == nil {
		runF = func(ctx context.Context, o *ListOptions) error { return o.Run(ctx) }
	}
	return &cobra.Command{
		Use:   "list",
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runF(cmd.Context(), o)
		},
	}
}

// Rows returns one row for each element of list.
func Rows[T any](list []T, row func(T) []any) [][]any {
	rows := make([][]any, len(list))
	for i, m := range list {
		rows[i] = row(m)
	}
	return rows
}

// RequireFlags returns a UsageError if one of the named flags was not set.
func RequireFlags(cmd *cobra.Command, names ...string) error {
	for _, n := range names {
		if !cmd.Flags().Changed(n) {
			return Usagef("--%s is missing: %s", n, cmd.Flags().Lookup(n).Usage)
		}
	}
	return nil
}
