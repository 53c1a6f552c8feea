// Package stand holds the stand-ins and the cases of the review. Its test binary plays one
// case on a small deployment on loopback. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var cases = map[string]func(f *fleet, trouble bool) (broken string, err error){
	"crashes":      crashes,
	"late-leave":   lateLeave,
	"late-submit":  lateSubmit,
	"old-clock":    oldClock,
	"odd-entry":    oddEntry,
	"advice":       advice,
	"reservations": reservations,
	"second-loss":  secondLoss,
}

// TestMain plays the case that the arguments name, in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %t", name, trouble)
	c, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return 2
	}
	f, err := newFleet(rec, root, 3)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer f.close()
	broken, err := c(f, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		rec.add("broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	rec.add("held")
	fmt.Println("held")
	return 0
}
