// Command knownred reads the output of "go test -json" and fails unless every
// failing test is listed in KNOWN-RED.txt. It prints the listed tests and a
// closing line with the counts. With "checks" as first argument it reads the
// lines "met <name>: ..." and "UNMET <name>: ..." of a benchmark check instead.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is one line of "go test -json".
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// report collects the results of one run.
type report struct {
	known                   map[string]bool
	passed, failed, skipped int
	red                     []string
	unexpected              []string
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
	known, err := readKnown(os.Args[1], "test: ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &report{known: known, output: make(map[string][]string), failedTests: make(map[string]bool)}
	if err := r.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !r.print(os.Stdout) {
		os.Exit(1)
	}
}

// runChecks fails unless every unmet goal of program is listed as
// "check: <program> <name>".
func runChecks(program, path string) {
	known, err := readKnown(path, "check: ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !checkGoals(os.Stdin, os.Stdout, program, known) {
		os.Exit(1)
	}
}

// checkGoals copies the lines of a check and reports whether there was any goal
// and every unmet one is known.
func checkGoals(in io.Reader, out io.Writer, program string, known map[string]bool) bool {
	goals, unexpected := 0, 0
	sc := bufio.NewScanner(in)
	for sc.Scan() {
		state, rest, _ := strings.Cut(sc.Text(), " ")
		name, _, ok := strings.Cut(rest, ":")
		if !ok || (state != "met" && state != "UNMET") {
			fmt.Fprintln(out, sc.Text())
			continue
		}
		goals++
		mark := ""
		if state == "UNMET" {
			mark = "KNOWN-RED "
			if !known[program+" "+name] {
				mark = "FAIL "
				unexpected++
			}
		}
		fmt.Fprintln(out, mark+sc.Text())
	}
	return sc.Err() == nil && goals > 0 && unexpected == 0
}

// readKnown returns what is listed in lines with the prefix. A missing file
// lists nothing.
func readKnown(path, prefix string) (map[string]bool, error) {
	known := make(map[string]bool)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), prefix); ok {
			known[strings.Join(strings.Fields(rest), " ")] = true
		}
	}
	return known, nil
}

func (r *report) read(in io.Reader) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 1<<20), 1<<24)
	for sc.Scan() {
		var e event
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return fmt.Errorf("not a go test -json line: %q", sc.Text())
		}
		r.add(e)
	}
	return sc.Err()
}

func (r *report) add(e event) {
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
		r.fail(pkg, e.Test, id)
	}
}

func (r *report) fail(pkg, test, id string) {
	root, _, _ := strings.Cut(test, "/")
	switch {
	case test != "" && r.known[pkg+" "+root]:
		r.red = append(r.red, id)
	case test == "" && r.failedTests[pkg]:
		// The package failed because of tests counted already.
		return
	default:
		r.unexpected = append(r.unexpected, id)
	}
	r.failed++
	r.failedTests[pkg] = true
}

func (r *report) print(out io.Writer) bool {
	for _, id := range r.unexpected {
		fmt.Fprintf(out, "--- FAIL %s\n%s", id, strings.Join(r.output[id], ""))
	}
	for _, id := range r.red {
		fmt.Fprintf(out, "KNOWN-RED %s\n", id)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	return len(r.unexpected) == 0 && r.passed > 0
}
