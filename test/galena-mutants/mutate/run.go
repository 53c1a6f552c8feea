package mutate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// runner runs the tests of mutations. It keeps its files below dir.
type runner struct {
	root, dir string
	// timeout bounds the run of one test.
	timeout time.Duration

	mu sync.Mutex
	// unchanged holds the results of tests on the sources as they are.
	unchanged map[string]func() result
}

// result is the result of a test.
type result struct {
	verdict verdict
	// detail is the first line that says what failed, or why there is no result.
	detail string
	took   time.Duration
}

type verdict int

const (
	passed verdict = iota
	failed
	// broken means that there is no result: the test wasn't built, wasn't found or didn't
	// end in time.
	broken
)

// runAll runs the mutations, jobs at a time, and prints a line for each in the order of
// the table. It returns the number of mutations that no test has detected.
func (r *runner) runAll(ctx context.Context, table []Mutation, jobs int, out io.Writer) (unmet int, err error) {
	lines := make([]string, len(table))
	ok := make([]bool, len(table))
	ready := make([]chan struct{}, len(table))
	var g errgroup.Group
	g.SetLimit(jobs)
	for i := range table {
		ready[i] = make(chan struct{})
	}
	var printing errgroup.Group
	printing.Go(func() error {
		for i := range table {
			<-ready[i]
			if !ok[i] {
				unmet++
			}
			if _, err := fmt.Fprintln(out, lines[i]); err != nil {
				return eris.Wrap(err, "write result")
			}
		}
		return nil
	})
	for i := range table {
		g.Go(func() error {
			defer close(ready[i])
			ok[i], lines[i] = r.run(ctx, i, &table[i])
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	return unmet, printing.Wait()
}

// run runs one mutation, and reports whether the test detects it and the line to print.
func (r *runner) run(ctx context.Context, number int, m *Mutation) (met bool, line string) {
	if res := r.base(ctx, m); res.verdict != passed {
		return false, fmt.Sprintf("UNMET %s: %s %s has to pass with the guard: %s", m.Name, m.Package, m.Test, res.detail)
	}
	res, err := r.mutated(ctx, number, m)
	switch {
	case err != nil:
		return false, fmt.Sprintf("UNMET %s: %v", m.Name, err)
	case res.verdict == broken:
		return false, fmt.Sprintf("UNMET %s: %s", m.Name, res.detail)
	case res.verdict == passed:
		return false, fmt.Sprintf("UNMET %s: %s %s passes without the guard (%s)", m.Name, m.Package, m.Test, seconds(res.took))
	}
	return true, fmt.Sprintf("met %s: %s (%s)", m.Name, res.detail, seconds(res.took))
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

// mutated runs the test of a mutation on the mutated sources.
func (r *runner) mutated(ctx context.Context, number int, m *Mutation) (result, error) {
	source, err := m.ApplyTo(r.root)
	if err != nil {
		return result{}, err
	}
	prefix := filepath.Join(r.dir, fmt.Sprint("m", number))
	if err := os.WriteFile(prefix+".go", []byte(source), 0o600); err != nil {
		return result{}, eris.Wrap(err, "write the mutated source")
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {filepath.Join(r.root, m.File): prefix + ".go"}})
	if err != nil {
		return result{}, eris.Wrap(err, "encode the overlay")
	}
	if err := os.WriteFile(prefix+".json", overlay, 0o600); err != nil {
		return result{}, eris.Wrap(err, "write the overlay")
	}
	return r.test(ctx, prefix+".test", m, "-overlay", prefix+".json"), nil
}

// base returns the result of the mutation's test on the sources as they are.
func (r *runner) base(ctx context.Context, m *Mutation) result {
	key := strings.Join(slices.Concat([]string{m.Package, m.Test}, m.Env, m.Args), " ")
	r.mu.Lock()
	if r.unchanged == nil {
		r.unchanged = map[string]func() result{}
	}
	f, ok := r.unchanged[key]
	if !ok {
		bin := filepath.Join(r.dir, fmt.Sprint("base", len(r.unchanged), ".test"))
		f = sync.OnceValue(func() result { return r.test(ctx, bin, m) })
		r.unchanged[key] = f
	}
	r.mu.Unlock()
	return f()
}

// test builds the test of a mutation to bin and runs it.
func (r *runner) test(ctx context.Context, bin string, m *Mutation, buildFlags ...string) result {
	args := append([]string{"test", "-c", "-p", "2", "-o", bin}, buildFlags...)
	build := exec.CommandContext(ctx, "go", append(args, "./"+m.Package)...)
	build.Dir = r.root
	if b, err := build.CombinedOutput(); err != nil {
		return result{verdict: broken, detail: "does not compile: " + firstMatch(compileError, string(b), err)}
	}
	defer func() { _ = os.Remove(bin) }()
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, bin, append([]string{"-test.run", m.Test, "-test.count=1"}, m.Args...)...)
	cmd.Dir = filepath.Join(r.root, m.Package)
	cmd.Env = append(append(os.Environ(), "NO_COLOR=1"), m.Env...)
	cmd.WaitDelay = time.Second
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	start := time.Now()
	err := cmd.Run()
	res := result{took: time.Since(start)}
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil:
		res.verdict, res.detail = broken, fmt.Sprintf("no result within %v", r.timeout)
	case strings.Contains(out.String(), "no tests to run"):
		res.verdict, res.detail = broken, fmt.Sprintf("no test of %s matches %s", m.Package, m.Test)
	case err == nil:
		res.verdict = passed
	case errors.As(err, &exit):
		res.verdict, res.detail = failed, firstMatch(failureLine, out.String(), err)
	default:
		res.verdict, res.detail = broken, err.Error()
	}
	return res
}

// failureLine and compileError match a line that says what failed.
var (
	failureLine  = regexp.MustCompile(`(?m)^\s*(panic: .*|\w+_test\.go:\d+: .*)$`)
	compileError = regexp.MustCompile(`(?m)^(\S+\.go:\d+:\d+: .*)$`)
)

// maxDetail bounds the length of a printed detail, in bytes.
const maxDetail = 160

// firstMatch returns the first line of out that the pattern matches, or the error if there
// is none.
func firstMatch(pattern *regexp.Regexp, out string, err error) string {
	if match := pattern.FindStringSubmatch(out); match != nil {
		return shorten(match[1])
	}
	return err.Error()
}

func shorten(s string) string {
	if len(s) <= maxDetail {
		return s
	}
	return strings.ToValidUTF8(s[:maxDetail], "") + "..."
}
