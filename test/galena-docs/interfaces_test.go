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

// Guards against names of interfaces that exist in the code but are missing in
// docs/interfaces.md.
func TestInterfacesPageNamesEverything(t *testing.T) {
	page, err := os.ReadFile(repositoryRoot + "/docs/interfaces.md")
	if err != nil {
		t.Fatal(err)
	}
	code := strings.Join(codeSpans.FindAllString(string(page), -1), "\n")
	for _, g := range nameGroups(t) {
		t.Run(g.kind, func(t *testing.T) {
			if len(g.names) < g.minCount {
				t.Fatalf("found %d names in the code, want at least %d: %q", len(g.names), g.minCount, g.names)
			}
			for _, name := range missing(code, g.names) {
				t.Errorf("docs/interfaces.md does not mention %s", name)
			}
		})
	}
}

// Guards against a comparison that does not detect missing names, in particular names
// that are only part of a longer word.
func TestMissingReportsAbsentNames(t *testing.T) {
	page := "`--file` and `X-Galena-Key-Old`, `queue_mb_total`, reason_<reason>"
	got := strings.Join(missing(page, []string{"--file", "X-Galena-Key", "queue_mb", "reason_"}), " ")
	if want := "X-Galena-Key queue_mb"; got != want {
		t.Errorf("missing names: got %q, want %q", got, want)
	}
}

// nameGroup holds the names of one kind. minCount is a lower bound on their number,
// which detects a search that finds too few names, for example after a rename.
type nameGroup struct {
	kind     string
	minCount int
	names    []string
}

func nameGroups(t *testing.T) []nameGroup {
	t.Helper()
	return []nameGroup{
		{"settings of galena-entry", 21, settingsKeys(t, galenasettings.ParseEntry)},
		{"settings of galena-control", 20, settingsKeys(t, galenasettings.ParseControl)},
		{"command line of galena-entry", 3, commandNames(entrycommand.NewCmdEntry(nil))},
		{"command line of galena-control", 3, commandNames(controlcommand.NewCmdControl(nil))},
		{"command line of galenactl", 60, commandNames(root.NewCmdRoot(cli.NewFactory()))},
		{"callers' headers", 8, stringConstants(t, "galenaentry", "Header")},
		{"upstreams' headers", 4, stringConstants(t, "galenaupstream", "Header")},
		{"reasons of answers", 15, stringConstants(t, "galenaentry", "Reason")},
		{"outcomes", 3, stringConstants(t, ".", "Outcome")},
		{"announcement", 11, jsonNames(galenahead.Announcement{})},
		{"reasons of readiness", 3, stringConstants(t, "galenapeer", "NotReady")},
		{"metrics", 7, jsonNames(galenametric.Snapshot{})},
		{"histograms", 7, jsonNames(galenametric.Distribution{})},
		{"published metrics", 2, append(firstArguments(t, "galenaentry", "Publish"), firstArguments(t, "galenacontrol", "Publish")...)},
		{"counters", 4, append(firstArguments(t, "galenaentry", "Add"), withPrefix("outcome_", stringConstants(t, ".", "Outcome"))...)},
		{"budgets", 8, jsonNames(galenabudget.Report{})},
		{"log fields", 30, logFields(t)},
		{"gRPC calls", 14, grpcMethods()},
	}
}

// logFields returns the names of the fields of log lines and their constant values.
func logFields(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, pkg := range []string{"galenaentry", "galenacontrol", "galenaraft", "galenadaemon"} {
		names = append(names, firstArguments(t, pkg, "WithField")...)
		names = append(names, firstArguments(t, pkg, "WithFields")...)
	}
	for _, f := range []string{"AppendString", "AppendBool", "AppendInt"} {
		names = append(names, argumentsAt(t, "galenaentry", f, 1)...)
	}
	return names
}

func withPrefix(prefix string, names []string) []string {
	var out []string
	for _, n := range names {
		out = append(out, prefix+n)
	}
	return out
}

// grpcMethods returns the names of all gRPC methods in the schema.
func grpcMethods() []string {
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

// codeSpans matches code blocks and inline code in Markdown. Names are only searched
// there, because many of them are ordinary words that also occur in the text.
var codeSpans = regexp.MustCompile("(?s)```.*?```|`[^`]+`")

// missing returns the names that do not occur in the text as whole words.
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
