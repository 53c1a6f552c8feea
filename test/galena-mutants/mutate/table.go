// Package mutate applies a table of mutations to the sources of the module and runs the
// test that each of them has to make fail. A mutation removes a guard, so that a test
// which still passes doesn't prove the guard's invariant.
package mutate

import (
	_ "embed" // for the table
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// tableText is the committed table. Its head describes the format.
//
//go:embed mutants.txt
var tableText string

// Table returns the mutations of the committed table.
func Table() ([]Mutation, error) { return parseTable(tableText) }

// Mutation is one row of the table.
type Mutation struct {
	Name string
	// Guards is the invariant that the mutation breaks.
	Guards string
	// File is the path of the source file from the root of the repository.
	File         string
	Replacements []Replacement
	// Package is the directory of the test's package from the root, and Test the regular
	// expression that selects the test.
	Package, Test string
	// Env holds settings of the test's environment as name=value.
	Env []string
	// Args are further flags of the test.
	Args []string
}

// Replacement replaces a text of the source file.
type Replacement struct{ Old, New string }

// Apply returns the mutated source.
func (m *Mutation) Apply(source string) (string, error) {
	for i, r := range m.Replacements {
		if n := strings.Count(source, r.Old); n != 1 {
			return "", eris.Errorf("mutation %s: replacement %d: the text occurs %d times in %s, want once: %q", m.Name, i+1, n, m.File, r.Old)
		}
		source = strings.Replace(source, r.Old, r.New, 1)
	}
	return source, nil
}

// ApplyTo returns the mutated source of the file below root.
func (m *Mutation) ApplyTo(root string) (string, error) {
	source, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return "", eris.Wrapf(err, "mutation %s", m.Name)
	}
	return m.Apply(string(source))
}

// parseTable parses mutations that are separated by blank lines.
func parseTable(text string) ([]Mutation, error) {
	var table []Mutation
	names := map[string]bool{}
	for block := range strings.SplitSeq(text, "\n\n") {
		lines := strings.Split(strings.Trim(block, "\n"), "\n")
		if i := strings.Index(block, "mutation: "); i < 0 {
			if strings.TrimSpace(block) != "" && !isComment(lines) {
				return nil, eris.Errorf("a row without a name: %q", lines[0])
			}
			continue
		}
		m, err := parseMutation(lines)
		if err != nil {
			return nil, err
		}
		if names[m.Name] {
			return nil, eris.Errorf("mutation %s is listed twice", m.Name)
		}
		names[m.Name] = true
		table = append(table, m)
	}
	return table, nil
}

func isComment(lines []string) bool {
	for _, l := range lines {
		if !strings.HasPrefix(l, "#") {
			return false
		}
	}
	return true
}

func parseMutation(lines []string) (Mutation, error) {
	var m Mutation
	var old, replacement []string
	flush := func() {
		if len(old) > 0 {
			m.Replacements = append(m.Replacements, Replacement{strings.Join(old, "\n"), strings.Join(replacement, "\n")})
		}
		old, replacement = nil, nil
	}
	for _, line := range lines {
		key, value, isField := strings.Cut(line, ": ")
		switch {
		case strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "-"):
			if len(replacement) > 0 {
				flush()
			}
			old = append(old, line[1:])
		case strings.HasPrefix(line, "+"):
			replacement = append(replacement, line[1:])
		case line == "@@":
			flush()
		case isField && m.set(key, value):
		default:
			return m, eris.Errorf("mutation %s: cannot parse %q", m.Name, line)
		}
	}
	flush()
	if m.Name == "" || m.Guards == "" || m.File == "" || m.Package == "" || m.Test == "" || len(m.Replacements) == 0 {
		return m, eris.Errorf("mutation %q needs a name, guards, a file, a package, a test and a text to replace", m.Name)
	}
	return m, nil
}

// set sets a field of the row and reports whether it exists.
func (m *Mutation) set(key, value string) bool {
	switch key {
	case "mutation":
		m.Name = value
	case "guards":
		m.Guards = value
	case "file":
		m.File = value
	case "package":
		m.Package = value
	case "test":
		m.Test = value
	case "env":
		m.Env = append(m.Env, value)
	case "args":
		m.Args = append(m.Args, strings.Fields(value)...)
	default:
		return false
	}
	return true
}
