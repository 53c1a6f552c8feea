package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Print writes m as JSON with --json, and otherwise the rows: as a table on a
// terminal, and elsewhere as tab-separated lines without the header. The JSON
// contains only the named fields of m, or all if fields is empty.
func (f *Factory) Print(m proto.Message, header []string, rows [][]any, fields ...string) error {
	if f.Flags.JSON {
		return f.printMessage(m, fields)
	}
	return f.printRows(header, rows)
}

// PrintValue is like Print for a value that encoding/json encodes.
func (f *Factory) PrintValue(v any, header []string, rows [][]any) error {
	if f.Flags.JSON {
		return f.printJSON(v)
	}
	return f.printRows(header, rows)
}

func (f *Factory) printRows(header []string, rows [][]any) error {
	if f.IO.Terminal {
		return f.printTable(header, rows)
	}
	return f.printTSV(rows)
}

// printMessage encodes the output of protojson again with encoding/json, because
// protojson's own output is not stable between builds. 64-bit numbers are strings,
// as in protojson.
func (f *Factory) printMessage(m proto.Message, fields []string) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode JSON")
	}
	var v map[string]any
	if err := json.Unmarshal(data, &v); err != nil {
		return eris.Wrap(err, "encode JSON")
	}
	if len(fields) > 0 {
		maps.DeleteFunc(v, func(name string, _ any) bool { return !slices.Contains(fields, name) })
	}
	return f.printJSON(v)
}

func (f *Factory) printJSON(v any) error {
	enc := json.NewEncoder(f.IO.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (f *Factory) printTable(header []string, rows [][]any) error {
	w := tabwriter.NewWriter(f.IO.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, joinCells(r))
	}
	return w.Flush()
}

func (f *Factory) printTSV(rows [][]any) error {
	for _, r := range rows {
		if _, err := fmt.Fprintln(f.IO.Out, joinCells(r)); err != nil {
			return err
		}
	}
	return nil
}

// joinCells joins cells with tabs. It replaces control characters in the cells by
// spaces, so that texts from other operators cannot break the columns or send
// escape sequences to the terminal.
func joinCells(cells []any) string {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = strings.Map(replaceControl, fmt.Sprint(c))
	}
	return strings.Join(texts, "\t")
}

func replaceControl(r rune) rune {
	if unicode.IsControl(r) {
		return ' '
	}
	return r
}
