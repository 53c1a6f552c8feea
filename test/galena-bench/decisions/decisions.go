// Package decisions implements the command that replays the traces with several
// policies and prints a report for each.
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
	// Scenario is a key of the map scenarios.
	Scenario string
	JSON     bool
}

// scenarios maps the values of the flag --scenario to the replays that they run.
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

// NewCmdDecisions returns the decisions command. Tests pass runF to replace its
// action.
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
	var allReports []sim.Report
	for _, name := range o.Deployments {
		t, err := trace.Load(o.Dir, name)
		if err != nil {
			return err
		}
		reports, err := replay(t)
		if err != nil {
			return err
		}
		allReports = append(allReports, reports...)
	}
	if o.JSON {
		return printJSON(o.IO.Out, allReports)
	}
	return Print(o.IO, allReports)
}

func printJSON(out io.Writer, reports []sim.Report) error {
	enc := json.NewEncoder(out)
	for _, r := range reports {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// Print writes the reports as an aligned table if the output is a terminal, and
// as tab-separated values otherwise.
func Print(s factory.IOStreams, reports []sim.Report) error {
	if !s.Terminal {
		return writeRows(s.Out, reports)
	}
	w := tabwriter.NewWriter(s.Out, 0, 8, 2, ' ', tabwriter.AlignRight)
	if err := writeRows(w, reports); err != nil {
		return err
	}
	return w.Flush()
}

func writeRows(out io.Writer, reports []sim.Report) error {
	_, err := fmt.Fprintln(out, "deployment\tpolicy\tworst\tmean\tratio\tlate\trefused\tunknown\tfailed\tdoubled\tpeak\tspent\tburst loss\tattempts\tran\tuseful\tinstance imbalance\tentry imbalance\t")
	for _, r := range reports {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%.4f\t%.3f\t%.4f\t%.4f\t%.2f\t%.2f\t\n",
			r.Deployment, r.Policy, r.WorstOnTime, r.MeanOnTime, r.WorstOverOmniscient, r.Late, r.Rejected, r.Unknown, r.Failed, r.DuplicateRuns, r.PeakInFlight, r.SpentOnFailing,
			r.BurstLoss, r.AttemptsPerRequest, r.Utilization, r.UsefulUtilization, r.InstanceImbalance, r.EntryImbalance)
	}
	return err
}
