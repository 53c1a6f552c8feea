// Package check provides the command that checks a settings file.
package check

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenasettings"
)

// Options are the options of check.
type Options struct {
	Factory *cli.Factory
	File    string
	// Kind is the kind of daemon, entry or control.
	Kind string
}

// NewCmdCheck returns the command that checks a settings file without connecting
// to a daemon.
func NewCmdCheck(f *cli.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:   "check <file>",
		Short: "Check the settings file of an entry or control daemon",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.File = args[0]
			return runF(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.Kind, "kind", "entry", "daemon that the file is for (entry or control)")
	return cmd
}

func run(_ context.Context, o *Options) error {
	var err error
	switch o.Kind {
	case "entry":
		_, err = galenasettings.LoadEntry(o.File)
	case "control":
		_, err = galenasettings.LoadControl(o.File)
	default:
		return cli.Usagef("--kind %q is not entry or control", o.Kind)
	}
	if err != nil {
		return err
	}
	return printResult(o)
}

// result is the output with --json.
type result struct {
	File  string `json:"file"`
	Kind  string `json:"kind"`
	Valid bool   `json:"valid"`
}

func printResult(o *Options) error {
	out := o.Factory.IO.Out
	if o.Factory.Flags.JSON {
		return json.NewEncoder(out).Encode(result{File: o.File, Kind: o.Kind, Valid: true})
	}
	_, err := fmt.Fprintf(out, "%s: valid %s settings\n", o.File, o.Kind)
	return err
}
