// Command knownred reads the output of "go test -json" and fails unless every failing
// test is listed in KNOWN-RED.txt. It prints the output of unlisted failures, the names
// of listed ones, and the numbers of tests. With the first argument "checks" it reads
// the lines "met <name>: ..." and "UNMET <name>: ..." of a benchmark check instead.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is a line of the output of "go test -json".
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// report collects the results of a test run.
type report struct {
	listed                  map[string]bool
	passed, failed, skipped int
	listedFailures          []string
	unlistedFailures        []string
	output                  map[string][]string
	failedTests             map[string]bool
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "checks" {
		runChecks(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ... | knownred KNOWN-RED.txt")
		fmt.Fprintln(os.Stderr, "       <check> | knownred checks <program> KNOWN-RED.txt")
		os.Exit(2)
	}
	listed, err := readListed(os.Args[1], "test: ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &report{listed: listed, output: make(map[string][]string), failedTests: make(map[string]bool)}
	if err := r.readEvents(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !r.writeSummary(os.Stdout) {
		os.Exit(1)
	}
}

// runChecks exits with an error unless every unmet goal of program is listed as
// "check: <program> <name>" in the file at path.
func runChecks(program, path string) {
	listed, err := readListed(path, "check: ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !checkGoals(os.Stdin, os.Stdout, program, listed) {
		os.Exit(1)
	}
}

// checkGoals copies the lines of a benchmark check with a prefix for unmet goals. It
// reports whether there is at least one goal and every unmet one is listed.
func checkGoals(in io.Reader, out io.Writer, program string, listed map[string]bool) bool {
	goals, unlisted := 0, 0
	sc := bufio.NewScanner(in)
	for sc.Scan() {
		state, rest, _ := strings.Cut(sc.Text(), " ")
		name, _, ok := strings.Cut(rest, ":")
		if !ok || (state != "met" && state != "UNMET") {
			fmt.Fprintln(out, sc.Text())
			continue
		}
		goals++
		prefix := ""
		if state == "UNMET" {
			prefix = "KNOWN-RED "
			if !listed[program+" "+name] {
				prefix = "FAIL "
				unlisted++
			}
		}
		fmt.Fprintln(out, prefix+sc.Text())
	}
	return sc.Err() == nil && goals > 0 && unlisted == 0
}

// readListed returns the entries of the lines that start with prefix. A missing file
// has no entries.
func readListed(path, prefix string) (map[string]bool, error) {
	listed := make(map[string]bool)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return listed, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), prefix); ok {
			listed[strings.Join(strings.Fields(rest), " ")] = true
		}
	}
	return listed, nil
}

func (r *report) readEvents(in io.Reader) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 1<<20), 1<<24)
	for sc.Scan() {
		var e event
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return fmt.Errorf("not a go test -json line: %q", sc.Text())
		}
		r.addEvent(e)
	}
	return sc.Err()
}

func (r *report) addEvent(e event) {
	pkg := e.Package
	if pkg == "" {
		pkg = e.ImportPath
	}
	id := strings.TrimSpace(pkg + " " + e.Test)
	switch e.Action {
	case "output", "build-output":
		r.output[id] = append(r.output[id], e.Output)
	case "pass":
		if e.Test != "" {
			r.passed++
		}
		delete(r.output, id)
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	case "fail", "build-fail":
		r.addFailure(pkg, e.Test, id)
	}
}

func (r *report) addFailure(pkg, test, id string) {
	root, _, _ := strings.Cut(test, "/")
	switch {
	case test != "" && r.listed[pkg+" "+root]:
		r.listedFailures = append(r.listedFailures, id)
	case test == "" && r.failedTests[pkg]:
		// The package failed because of tests that are already counted.
		return
	default:
		r.unlistedFailures = append(r.unlistedFailures, id)
	}
	r.failed++
	r.failedTests[pkg] = true
}

func (r *report) writeSummary(out io.Writer) bool {
	for _, id := range r.unlistedFailures {
		fmt.Fprintf(out, "--- FAIL %s\n%s", id, strings.Join(r.output[id], ""))
	}
	for _, id := range r.listedFailures {
		fmt.Fprintf(out, "KNOWN-RED %s\n", id)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	return len(r.unlistedFailures) == 0 && r.passed > 0
}
