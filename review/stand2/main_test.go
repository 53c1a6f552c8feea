// Package stand2 plays the cases of the second review against processes of galena-fleet: it has
// a stand-in of a minion, and for each case a driver with stand-ins of the platform, the clients
// and the operator.
package stand2

import (
	"fmt"
	"os"
	"testing"
)

// TestMain plays the case that the arguments name, or a minion, in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 minion|CASE ...")
		os.Exit(2)
	}
	if os.Args[1] == "minion" {
		runMinion(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[2], play))
}
