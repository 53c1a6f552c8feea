package mutate

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against rows that change nothing, or something else than intended, because the
// sources have changed since.
func TestEachTextOccursOnceInItsFile(t *testing.T) {
	is := is.New(t)
	table, err := Table()
	is.NoErr(err)
	is.True(len(table) > 0)
	root, err := findRoot()
	is.NoErr(err)
	for i := range table {
		if _, err := table[i].ApplyTo(root); err != nil {
			t.Error(err)
		}
	}
}

const validRow = `# A comment.

mutation: a
guards: nothing starts twice
file: galenajob/state.go
package: galenajob
test: TestA
env: GALENA_HISTORIES=5
-	first
-
-	third
+	other
@@
-gone

mutation: b
guards: x
file: f
package: p
test: t
-a
+b
-c
+d
`

// Guards against rows that are read wrongly, and against replacements that are applied
// to another place than the only one.
func TestParsesAndAppliesRows(t *testing.T) {
	is := is.New(t)
	table, err := parseTable(validRow)
	is.NoErr(err)
	is.Equal(len(table), 2)
	is.Equal(table[0].Replacements, []Replacement{{"\tfirst\n\n\tthird", "\tother"}, {"gone", ""}})
	is.Equal(table[0].Env, []string{"GALENA_HISTORIES=5"})
	is.Equal(table[1].Replacements, []Replacement{{"a", "b"}, {"c", "d"}})
	got, err := table[0].Apply("x\n\tfirst\n\n\tthird\ngone\n")
	is.NoErr(err)
	is.Equal(got, "x\n\tother\n\n")
	for _, source := range []string{"", "gone", "\tfirst\n\n\tthird\n gone gone"} {
		_, err = table[0].Apply(source)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "mutation a: "))
	}
}

// Guards against rows that are skipped without a message because they are incomplete,
// misspelled or named like another one.
func TestRejectsInvalidRows(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		strings.Replace(validRow, "guards: x\n", "", 1),
		strings.Replace(validRow, "file: f", "files: f", 1),
		strings.Replace(validRow, "mutation: b", "mutation: a", 1),
		strings.Replace(validRow, "mutation: b\n", "", 1),
		strings.Replace(validRow, "-a\n+b\n-c\n+d\n", "", 1),
	} {
		_, err := parseTable(text)
		is.True(err != nil)
	}
}
