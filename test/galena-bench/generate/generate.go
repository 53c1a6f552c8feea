// Package generate implements the command that writes the trace files.
package generate

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/test/galena-bench/factory"
	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// Options are the options of the command.
type Options struct {
	IO   factory.IOStreams
	Dir  string
	Seed uint64
}

// NewCmdGenerate returns the generate command. Tests pass runF to replace its
// action.
func NewCmdGenerate(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	o := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:   "generate",
		Short: "Record the traces of all deployments",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(o)
			}
			return run(o)
		},
	}
	cmd.Flags().StringVar(&o.Dir, "dir", "test/galena-bench/testdata", "directory for the traces")
	cmd.Flags().Uint64Var(&o.Seed, "seed", trace.Seed, "seed of the random numbers")
	return cmd
}

func run(o *Options) error {
	for _, name := range trace.Deployments() {
		t, err := trace.Generate(name, o.Seed)
		if err != nil {
			return err
		}
		if err := t.Save(o.Dir); err != nil {
			return err
		}
		fmt.Fprintf(o.IO.Out, "%s\t%d requests\n", trace.FileName(o.Dir, name), len(t.Requests))
	}
	return nil
}
