// Package decisions is the command that replays the traces with every policy.
package decisions

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/test/galena-bench/factory"
	"github.com/galenahead/galenahead/test/galena-bench/sim"
	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// Options are the options of the command.
type Options struct {
	IO          factory.IOStreams
	Dir         string
	Deployments []string
	// Scenario is a key of scenarios.
	Scenario string
	JSON     bool
}

// scenarios are the comparisons that the command can make.
var scenarios = map[string]func(*trace.Trace) ([]sim.Report, error){
	"policies": sim.Decisions,
	"spread":   sim.Spread,
	"storm": func(t *trace.Trace) ([]sim.Report, error) {
		return sim.Storm(t, trace.FaultFailing)
	},
	"storm_late": func(t *trace.Trace) ([]sim.Report, error) {
		return sim.Storm(t, trace.FaultFailingLate)
	},
}

// NewCmdDecisions returns the command. runF replaces its action in tests.
func NewCmdDecisions(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	o := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:   "decisions",
		Short: "Replay the traces with the shipped policy and the baselines",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(o)
			}
			return run(o)
		},
	}
	cmd.Flags().StringVar(&o.Dir, "dir", "test/galena-bench/testdata", "directory of the traces")
	cmd.Flags().StringSliceVar(&o.Deployments, "deployment", trace.Deployments(), "deployments to replay")
	cmd.Flags().StringVar(&o.Scenario, "scenario", "policies", "policies, spread (load of lost members), storm or storm_late (most instances fail)")
	cmd.Flags().BoolVar(&o.JSON, "json", false, "print JSON lines")
	return cmd
}

func run(o *Options) error {
	replay, ok := scenarios[o.Scenario]
	if !ok {
		return eris.Errorf("unknown scenario %q; see --help", o.Scenario)
	}
	var all []sim.Report
	for _, name := range o.Deployments {
		t, err := trace.Load(o.Dir, name)
		if err != nil {
			return err
		}
		reports, err := replay(t)
		if err != nil {
			return err
		}
		all = append(all, reports...)
	}
	if o.JSON {
		return printJSON(o.IO.Out, all)
	}
	return Print(o.IO, all)
}

func printJSON(out io.Writer, all []sim.Report) error {
	enc := json.NewEncoder(out)
	for _, r := range all {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// Print prints the reports as a table on a terminal and tab-separated else.
func Print(s factory.IOStreams, all []sim.Report) error {
	if !s.Terminal {
		return rows(s.Out, all)
	}
	w := tabwriter.NewWriter(s.Out, 0, 8, 2, ' ', tabwriter.AlignRight)
	if err := rows(w, all); err != nil {
		return err
	}
	return w.Flush()
}

func rows(out io.Writer, all []sim.Report) error {
	_, err := fmt.Fprintln(out, "deployment\tpolicy\tworst\tmean\tratio\tlate\trefused\tunknown\tfailed\tdoubled\tpeak\tspent\tburst loss\tattempts\tran\tuseful\tinstance imbalance\tentry imbalance\t")
	for _, r := range all {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%.4f\t%.3f\t%.4f\t%.4f\t%.2f\t%.2f\t\n",
			r.Deployment, r.Policy, r.Worst, r.Mean, r.Ratio, r.Late, r.Refused, r.Unknown, r.Failed, r.Doubled, r.Peak, r.Spent,
			r.BurstLoss, r.Attempts, r.Ran, r.Useful, r.InstanceImbalance, r.EntryImbalance)
	}
	return err
}
