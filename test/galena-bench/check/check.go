// Package check is the command that compares the figures with their bounds.
package check

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/test/galena-bench/decisions"
	"github.com/galenahead/galenahead/test/galena-bench/factory"
	"github.com/galenahead/galenahead/test/galena-bench/sim"
	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// Options are the options of the command.
type Options struct {
	IO  factory.IOStreams
	Dir string
	// Targets fails on the targets of the design page that are known not to be
	// met, too.
	Targets bool
}

// NewCmdCheck returns the command. runF replaces its action in tests.
func NewCmdCheck(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	o := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Fail when a bound of the design page or a ratio is broken",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(o)
			}
			return run(o)
		},
	}
	cmd.Flags().StringVar(&o.Dir, "dir", "test/galena-bench/testdata", "directory of the traces")
	cmd.Flags().BoolVar(&o.Targets, "targets", false, "fail on unmet targets that are listed as known, too")
	return cmd
}

func run(o *Options) error {
	broken, unmet := 0, 0
	for _, name := range trace.Deployments() {
		t, err := trace.Load(o.Dir, name)
		if err != nil {
			return err
		}
		reports, err := sim.Decisions(t)
		if err != nil {
			return err
		}
		if err := decisions.Print(o.IO, reports); err != nil {
			return err
		}
		b, u := o.judge(name, Bounds(reports))
		broken += b
		unmet += u
	}
	if broken > 0 || o.Targets && unmet > 0 {
		return eris.Errorf("%d bounds broken and %d known targets not met; see the lines above", broken, unmet)
	}
	return nil
}

func (o *Options) judge(deployment string, bounds []Bound) (broken, unmet int) {
	for _, b := range bounds {
		verdict := "ok"
		switch {
		case b.OK():
		case b.Known:
			verdict = "target not met (known)"
			unmet++
		default:
			verdict = "broken"
			broken++
		}
		fmt.Fprintf(o.IO.Out, "%s\t%s\t%.4f %s %.4f\t%s\n", deployment, b.Name, b.Value, b.relation(), b.Limit, verdict)
	}
	return broken, unmet
}
