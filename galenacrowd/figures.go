package galenacrowd

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrEnded reports a process that has ended.
var ErrEnded = eris.New("the process has ended")

// Figures are what a process takes of its machine.
type Figures struct {
	// PeakMB is the peak of its resident memory, in MiB.
	PeakMB float64
	// Descriptors is how many it has open.
	Descriptors int
}

// ReadFigures returns the figures of a running process. It fails with ErrEnded if the process has
// ended.
func ReadFigures(pid int) (Figures, error) {
	var f Figures
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return f, ErrEnded
	}
	for line := range strings.Lines(string(b)) {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch {
		case name == "State" && strings.HasPrefix(value, "Z"):
			return f, ErrEnded
		case name == "VmHWM":
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			if err != nil {
				return f, eris.Wrap(err, "read the peak of the memory")
			}
			f.PeakMB = float64(kb) / 1024
		}
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return f, eris.Wrap(err, "count the descriptors")
	}
	f.Descriptors = len(files)
	return f, nil
}
