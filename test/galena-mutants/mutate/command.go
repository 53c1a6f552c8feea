package mutate

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

type options struct {
	jobs    int
	run     string
	timeout time.Duration
}

// NewCmdMutants returns the command, which prints its results to out.
func NewCmdMutants(out io.Writer) *cobra.Command {
	var opts options
	cmd := &cobra.Command{
		Use: "galena-mutants", Short: "Remove one guard after the other and run the test that has to fail",
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), opts, out) },
	}
	cmd.Flags().IntVar(&opts.jobs, "jobs", 2, "mutations that are tested at the same time (count)")
	cmd.Flags().StringVar(&opts.run, "run", "", "mutations to test, empty for all (regular expression)")
	cmd.Flags().DurationVar(&opts.timeout, "timeout", 2*time.Minute, "longest run of a test (duration)")
	return cmd
}

func run(ctx context.Context, opts options, out io.Writer) error {
	if opts.jobs < 1 {
		return eris.Errorf("--jobs is %d, want at least 1", opts.jobs)
	}
	table, err := selectMutations(opts.run)
	if err != nil {
		return err
	}
	root, err := findRoot()
	if err != nil {
		return err
	}
	for i := range table {
		// A text that is out of date stops the run before the first test.
		if _, err := table[i].ApplyTo(root); err != nil {
			return err
		}
	}
	dir, err := os.MkdirTemp("", "galena-mutants-")
	if err != nil {
		return eris.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &runner{root: root, dir: dir, timeout: opts.timeout}
	unmet, err := r.runAll(ctx, table, opts.jobs, out)
	if err != nil {
		return err
	}
	if unmet > 0 {
		return eris.Errorf("%d of %d mutations are not detected", unmet, len(table))
	}
	_, err = fmt.Fprintf(out, "all %d mutations are detected\n", len(table))
	return eris.Wrap(err, "write result")
}

// selectMutations returns the mutations of the table whose names match the pattern.
func selectMutations(pattern string) ([]Mutation, error) {
	re, err := regexp.Compile(pattern)
	if err != nil {
		return nil, eris.Wrap(err, "--run")
	}
	table, err := Table()
	if err != nil {
		return nil, err
	}
	var selected []Mutation
	for _, m := range table {
		if re.MatchString(m.Name) {
			selected = append(selected, m)
		}
	}
	if len(selected) == 0 {
		return nil, eris.Errorf("no mutation matches %q", pattern)
	}
	return selected, nil
}

// findRoot returns the root of the repository that holds the working directory.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", eris.Wrap(err, "working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", eris.New("no go.work above the working directory; run the command in the repository")
		}
		dir = parent
	}
}
