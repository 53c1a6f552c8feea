// Package stand3 holds the stand-ins of the scripts in review/11 to review/15: a small
// deployment, minions, clients and the operator.
package stand3

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotShown = 2
)

// TestMain plays the case that the arguments name in place of tests.
func TestMain(*testing.M) {
	cases := map[string]func(*recorder, bool) (bool, error){"deleted": deletedCase, "reborn": rebornCase, "odd-busy": oddBusyCase, "odd-idle": oddIdleCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(exitNotShown)
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotShown)
	}
	broken, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitNotShown)
	case broken:
		fmt.Println("the rule was broken; see record.txt")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
