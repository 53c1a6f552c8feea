package galenasettings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrSettings matches every Faults value with errors.Is.
var ErrSettings = eris.New("settings are not valid")

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Line counts from 1. A missing key has the line of its section header, and
	// a missing section has the last line of the file.
	Line    int
	Section string
	// Key is empty when the fault concerns the whole section or line.
	Key string
	// Found and Allowed describe what the file contains and what it may contain.
	Found   string
	Allowed string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	place := ""
	if f.Section != "" {
		place = " [" + f.Section + "]"
	}
	if f.Key != "" {
		place += " " + f.Key
	}
	return fmt.Sprintf("%s:%d:%s: found %s; allowed: %s", f.File, f.Line, place, f.Found, f.Allowed)
}

// Faults holds all errors of one settings file, ordered by line.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrSettings.
func (Faults) Is(target error) bool { return target == ErrSettings }

func (fs Faults) sorted() Faults {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return fs
}
