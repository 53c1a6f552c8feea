package galenadocs

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/galenahead/galenahead"
	controlcommand "github.com/galenahead/galenahead/cmd/galena-control/command"
	entrycommand "github.com/galenahead/galenahead/cmd/galena-entry/command"
	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/cmd/galenactl/root"
	"github.com/galenahead/galenahead/galenabudget"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenasettings"
)

// Guards against names of the interfaces that the code has and
// docs/interfaces.md does not.
func TestInterfacesPageNamesEverything(t *testing.T) {
	page, err := os.ReadFile(repository + "/docs/interfaces.md")
	if err != nil {
		t.Fatal(err)
	}
	code := strings.Join(codeSpans.FindAllString(string(page), -1), "\n")
	for _, g := range groups(t) {
		t.Run(g.kind, func(t *testing.T) {
			if len(g.names) < g.least {
				t.Fatalf("found %d names in the code, want at least %d: %q", len(g.names), g.least, g.names)
			}
			for _, name := range missing(code, g.names) {
				t.Errorf("docs/interfaces.md does not mention %s", name)
			}
		})
	}
}

// Guards against a comparison that finds no missing name.
func TestMissingFindsNames(t *testing.T) {
	page := "`--file` and `X-Galena-Key-Old`, `queue_mb_total`, reason_<reason>"
	got := strings.Join(missing(page, []string{"--file", "X-Galena-Key", "queue_mb", "reason_"}), " ")
	if want := "X-Galena-Key queue_mb"; got != want {
		t.Errorf("missing names: got %q, want %q", got, want)
	}
}

// group is one kind of names. least is a lower bound that an empty or broken
// search does not reach.
type group struct {
	kind  string
	least int
	names []string
}

func groups(t *testing.T) []group {
	t.Helper()
	return []group{
		{"settings of galena-entry", 21, settingsKeys(t, galenasettings.ParseEntry)},
		{"settings of galena-control", 20, settingsKeys(t, galenasettings.ParseControl)},
		{"command line of galena-entry", 3, commandNames(entrycommand.NewCmdEntry(nil))},
		{"command line of galena-control", 3, commandNames(controlcommand.NewCmdControl(nil))},
		{"command line of galenactl", 60, commandNames(root.NewCmdRoot(cli.NewFactory()))},
		{"callers' headers", 8, constants(t, "galenaentry", "Header")},
		{"upstreams' headers", 4, constants(t, "galenaupstream", "Header")},
		{"reasons of answers", 15, constants(t, "galenaentry", "Reason")},
		{"outcomes", 3, constants(t, ".", "Outcome")},
		{"announcement", 11, jsonNames(galenahead.Announcement{})},
		{"reasons of readiness", 3, constants(t, "galenapeer", "NotReady")},
		{"metrics", 7, jsonNames(galenametric.Snapshot{})},
		{"histograms", 7, jsonNames(galenametric.Distribution{})},
		{"published metrics", 2, append(arguments(t, "galenaentry", "Publish"), arguments(t, "galenacontrol", "Publish")...)},
		{"counters", 4, append(arguments(t, "galenaentry", "Add"), prefixed("outcome_", constants(t, ".", "Outcome"))...)},
		{"budgets", 8, jsonNames(galenabudget.Report{})},
		{"log fields", 30, logFields(t)},
		{"gRPC calls", 14, calls()},
	}
}

// logFields returns the fields of log lines and their fixed values.
func logFields(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, pkg := range []string{"galenaentry", "galenacontrol", "galenaraft", "galenadaemon"} {
		names = append(names, arguments(t, pkg, "WithField")...)
		names = append(names, arguments(t, pkg, "WithFields")...)
	}
	for _, f := range []string{"AppendString", "AppendBool", "AppendInt"} {
		names = append(names, argument(t, "galenaentry", f, 1)...)
	}
	return names
}

func prefixed(prefix string, names []string) []string {
	var out []string
	for _, n := range names {
		out = append(out, prefix+n)
	}
	return out
}

// calls returns the gRPC methods of the schema.
func calls() []string {
	var names []string
	services := galenapb.File_galena_proto.Services()
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			names = append(names, string(methods.Get(j).Name()))
		}
	}
	return names
}

// codeSpans matches the blocks and spans of code. Many names are ordinary
// words, which the text of the page has anyway.
var codeSpans = regexp.MustCompile("(?s)```.*?```|`[^`]+`")

// missing returns the names that the text does not have as whole words.
func missing(text string, names []string) []string {
	var out []string
	for _, name := range names {
		word := regexp.MustCompile(`(?:^|[^\w-])` + regexp.QuoteMeta(name) + `(?:$|[^\w-])`)
		if !word.MatchString(text) {
			out = append(out, name)
		}
	}
	return out
}
