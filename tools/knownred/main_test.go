package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against an unmet goal or failing test that passes without being
// listed, and against a run without any goal or test that passes.
func TestOnlyListedFailuresPass(t *testing.T) {
	known := map[string]bool{"prog a": true, "pkg TestA": true}
	for text, want := range map[string]bool{
		"met b: 1\nUNMET a: 2\n": true,
		"UNMET b: 1\n":           false,
		"LOAD  P50\n":            false,
		"":                       false,
	} {
		if got := checkGoals(strings.NewReader(text), &bytes.Buffer{}, "prog", known); got != want {
			t.Errorf("checks %q: got %v, want %v", text, got, want)
		}
	}
	pass := `{"Action":"pass","Package":"pkg","Test":"TestB"}` + "\n"
	failed := func(test string) string {
		return `{"Action":"fail","Package":"pkg","Test":"` + test + `"}` + "\n" + `{"Action":"fail","Package":"pkg"}` + "\n"
	}
	for text, want := range map[string]bool{
		pass:                                     true,
		pass + failed("TestA"):                   true,
		pass + failed("TestC"):                   false,
		pass + `{"Action":"fail","Package":"q"}`: false,
		"":                                       false,
	} {
		r := &report{known: known, output: make(map[string][]string), failedTests: make(map[string]bool)}
		if err := r.read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		if got := r.print(&bytes.Buffer{}); got != want {
			t.Errorf("tests %q: got %v, want %v", text, got, want)
		}
	}
}
