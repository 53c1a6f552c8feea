// Package command implements the command line of galena-path.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/test/galena-path/fleet"
)

// startTimeout limits the time to build and start the processes.
const startTimeout = 2 * time.Minute

// Options are the settings of a measurement.
type Options struct {
	Out io.Writer
	// Rounds is the number of times that each load is measured. Results are the medians
	// of all rounds.
	Rounds int
	// LoadDuration is the time for which each load runs in a round.
	LoadDuration time.Duration
	// Connections is the number of connections that send requests.
	Connections int
	// Seed is the seed of the arrival times.
	Seed uint64
	// Check makes the run fail if a goal is not met.
	Check bool
}

// NewCmdPath returns the root command. Tests pass runF to replace Run.
func NewCmdPath(out io.Writer, runF func(context.Context, *Options) error) *cobra.Command {
	o := &Options{Out: out}
	if runF == nil {
		runF = Run
	}
	cmd := &cobra.Command{
		Use: "galena-path", Short: "Measure the request path against direct requests",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return runF(cmd.Context(), o) },
	}
	flags := cmd.PersistentFlags()
	flags.IntVar(&o.Rounds, "rounds", 3, "how often each load is measured (rounds)")
	flags.DurationVar(&o.LoadDuration, "slice", 800*time.Millisecond, "time of one load (duration)")
	flags.IntVar(&o.Connections, "connections", 32, "connections that send requests (connections)")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the arrival times (number)")
	cmd.AddCommand(&cobra.Command{
		Use: "check", Short: "Measure and exit with 1 when a goal is not met", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Check = true
			return runF(cmd.Context(), o)
		},
	})
	return cmd
}

// Run starts the processes, runs all loads, and writes the results to Out.
func Run(ctx context.Context, o *Options) (err error) {
	dir, err := os.MkdirTemp("", "galena-path-")
	if err != nil {
		return eris.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, dir)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := f.Stop(); err == nil {
			err = stopErr
		}
	}()
	m := &measurement{options: o, fleet: f}
	if err := m.run(ctx); err != nil {
		return err
	}
	if err := m.write(o.Out); err != nil {
		return err
	}
	return m.check(o)
}

// write writes a table with one row for each load.
func (m *measurement) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %d cores each for upstream and entry, %d connections, %d rounds of %v\n",
		runtime.Version(), fleet.Cores, m.options.Connections, m.options.Rounds, m.options.LoadDuration)
	fmt.Fprintln(w, "LOAD\tPER SECOND\tP50\tP99")
	for _, l := range m.loads {
		r := l.median()
		fmt.Fprintf(w, "%s\t%.0f\t%v\t%v\n", l.name, r.PerSecond, r.P50, r.P99)
	}
	return eris.Wrap(w.Flush(), "write results")
}

// check writes one line for each goal. With Options.Check it returns an error if a
// goal is not met.
func (m *measurement) check(o *Options) error {
	var unmet []string
	for _, g := range m.goals() {
		state := "met"
		if !g.met {
			state = "UNMET"
			unmet = append(unmet, g.name)
		}
		if _, err := fmt.Fprintf(o.Out, "%s %s: %s (%s)\n", state, g.name, g.measured, g.bound); err != nil {
			return eris.Wrap(err, "write goals")
		}
	}
	if o.Check && len(unmet) > 0 {
		return eris.Errorf("goals not met: %s", strings.Join(unmet, ", "))
	}
	return nil
}
