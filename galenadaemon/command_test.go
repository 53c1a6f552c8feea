package galenadaemon

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenasettings"
)

// Guards against a memory limit that fits one size of machine: the collector of a process
// that comes near it takes the processor from everything else.
func TestMemoryLimitFollowsMachine(t *testing.T) {
	is := is.New(t)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
	limitResources(galenasettings.Process{})
	is.Equal(debug.SetMemoryLimit(-1), int64(math.MaxInt64))
	for _, mb := range []int{184, 664} {
		limitResources(galenasettings.Process{MachineMemoryMB: mb})
		is.Equal(debug.SetMemoryLimit(-1), int64(mb)<<19)
	}
}
