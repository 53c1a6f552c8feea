// Package root implements the root command of galena-bench.
package root

import (
	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/test/galena-bench/check"
	"github.com/galenahead/galenahead/test/galena-bench/decisions"
	"github.com/galenahead/galenahead/test/galena-bench/factory"
	"github.com/galenahead/galenahead/test/galena-bench/generate"
)

// NewCmdRoot returns the root command.
func NewCmdRoot(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "galena-bench <command>",
		Short:         "Measure the decisions of galenahead",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.SetOut(f.IO.Out)
	cmd.SetErr(f.IO.Err)
	cmd.AddCommand(decisions.NewCmdDecisions(f, nil))
	cmd.AddCommand(generate.NewCmdGenerate(f, nil))
	cmd.AddCommand(check.NewCmdCheck(f, nil))
	return cmd
}
