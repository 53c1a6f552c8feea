// Package check is the command that compares the figures with their bounds.
package check

import (
	"fmt"
	"io"

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
	// Strict fails on the listed bounds, too.
	Strict bool
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
	cmd.Flags().BoolVar(&o.Strict, "strict", false, "fail on the bounds listed in unmet.txt, too")
	return cmd
}

func run(o *Options) error {
	list, err := parseUnmet(unmetFile)
	if err != nil {
		return err
	}
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
		b, u := judge(o.IO.Out, name, Bounds(reports), list)
		broken += b
		unmet += u
	}
	if broken > 0 || o.Strict && unmet > 0 {
		return eris.Errorf("%d bounds broken, %d listed in unmet.txt; see the lines above", broken, unmet)
	}
	return nil
}

// judge prints the verdict on every bound and counts the broken ones and those
// that are broken and listed.
func judge(out io.Writer, deployment string, bounds []Bound, list map[string]float64) (broken, unmet int) {
	for _, b := range bounds {
		verdict := "ok"
		seen, listed := list[deployment+"; "+b.Name]
		switch {
		case b.OK():
		case listed && b.within(seen):
			verdict = "NOT MET (listed in unmet.txt)"
			unmet++
		default:
			verdict = "BROKEN"
			broken++
		}
		fmt.Fprintf(out, "%s\t%s\t%.4f %s %.4f\t%s\n", deployment, b.Name, b.Value, b.relation(), b.Limit, verdict)
	}
	return broken, unmet
}
