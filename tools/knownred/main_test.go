package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a run that passes although an unmet goal or failing test is not
// listed, or although there is no goal or no passing test.
func TestOnlyListedFailuresPass(t *testing.T) {
	listed := map[string]bool{"prog a": true, "pkg TestA": true}
	for text, want := range map[string]bool{
		"met b: 1\nUNMET a: 2\n": true,
		"UNMET b: 1\n":           false,
		"LOAD  P50\n":            false,
		"":                       false,
	} {
		if got := checkGoals(strings.NewReader(text), &bytes.Buffer{}, "prog", listed); got != want {
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
		r := &report{listed: listed, output: make(map[string][]string), failedTests: make(map[string]bool)}
		if err := r.readEvents(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		if got := r.writeSummary(&bytes.Buffer{}); got != want {
			t.Errorf("tests %q: got %v, want %v", text, got, want)
		}
	}
}
