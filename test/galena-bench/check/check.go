// Package check implements the command that compares the benchmark figures with
// their bounds.
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
	// Strict fails the check on the bounds listed in unmet.txt, too.
	Strict bool
}

// NewCmdCheck returns the check command. Tests pass runF to replace its action.
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
	knownUnmet, err := parseUnmet(unmetFile)
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
		b, u := evaluate(o.IO.Out, name, Bounds(reports), knownUnmet)
		broken += b
		unmet += u
	}
	if broken > 0 || o.Strict && unmet > 0 {
		return eris.Errorf("%d bounds broken, %d listed in unmet.txt; see the lines above", broken, unmet)
	}
	return nil
}

// evaluate prints a verdict on every bound. It returns the number of broken
// bounds and the number of bounds that are missed as listed in unmet.txt.
func evaluate(out io.Writer, deployment string, bounds []Bound, knownUnmet map[string]float64) (broken, unmet int) {
	for _, b := range bounds {
		verdict := "ok"
		listedValue, listed := knownUnmet[deployment+"; "+b.Name]
		switch {
		case b.Met():
		case listed && b.withinTolerance(listedValue):
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
