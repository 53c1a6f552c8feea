package ends

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var (
	firstFlag = flag.Uint64("first", 1, "the first seed")
	seedsFlag = flag.Uint64("seeds", 2, "the number of seeds of each test")
	logsFlag  = flag.String("logs", "", "a directory that keeps the logs of all deployments")
)

// binary is the path of galena-fleet, which is built once for all tests.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "galena-ends-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "galena-fleet")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/galenahead/galenahead/cmd/galena-fleet").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// forSeeds runs a test with each seed.
func forSeeds(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := *firstFlag; seed < *firstFlag+*seedsFlag; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			test(t, seed)
		})
	}
}
