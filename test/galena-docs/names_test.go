package galenadocs

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/galenahead/galenahead/galenasettings"
)

const repositoryRoot = "../.."

// settingsKeys returns all sections and keys of a settings file. It parses files with
// unknown names, because the resulting faults list the allowed ones.
func settingsKeys[T any](t *testing.T, parse func(string, []byte) (T, error)) []string {
	t.Helper()
	sections := allowedNames(t, parse, "[unknown]\n", "")
	names := sections
	for _, s := range sections {
		if s == "entries" || s == "control" {
			continue // The keys of these sections are names of daemons.
		}
		names = append(names, allowedNames(t, parse, "["+s+"]\nunknown = 1\n", "unknown")...)
	}
	return names
}

// allowedNames parses file and returns the names that the fault for an unknown section
// or key lists.
func allowedNames[T any](t *testing.T, parse func(string, []byte) (T, error), file, key string) []string {
	t.Helper()
	_, err := parse("test.ini", []byte(file))
	var faults galenasettings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("settings %q: got %v, want faults", file, err)
	}
	for _, f := range faults {
		if names, ok := strings.CutPrefix(f.Allowed, "one of "); ok && f.Key == key {
			return strings.Split(names, ", ")
		}
	}
	t.Fatalf("settings %q: no fault lists the allowed names: %v", file, faults)
	return nil
}

// commandNames returns the names of cmd, its subcommands and their flags. Flags have
// the form --name.
func commandNames(cmd *cobra.Command) []string {
	names := []string{cmd.Name()}
	add := func(f *pflag.Flag) { names = append(names, "--"+f.Name) }
	cmd.LocalFlags().VisitAll(add)
	cmd.PersistentFlags().VisitAll(add)
	for _, sub := range cmd.Commands() {
		names = append(names, commandNames(sub)...)
	}
	return names
}

// packageFiles parses the files of a package, except its tests.
func packageFiles(t *testing.T, pkg string) []*ast.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, pkg, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	return files
}

// stringConstants returns the values of the string constants of a package whose names
// have one of the prefixes.
func stringConstants(t *testing.T, pkg string, prefixes ...string) []string {
	t.Helper()
	var values []string
	inspectPackage(t, pkg, func(n ast.Node) {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return
		}
		for i, name := range spec.Names {
			if i < len(spec.Values) && hasPrefix(name.Name, prefixes) {
				values = append(values, stringLiterals(spec.Values[i:i+1])...)
			}
		}
	})
	return values
}

func hasPrefix(s string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(s, p) {
			return true
		}
	}
	return false
}

// firstArguments returns the string literals in the first argument of all calls of a
// method.
func firstArguments(t *testing.T, pkg, method string) []string {
	t.Helper()
	return argumentsAt(t, pkg, method, 0)
}

// argumentsAt returns the string literals in the argument with index i of all calls of
// a method.
func argumentsAt(t *testing.T, pkg, method string, i int) []string {
	t.Helper()
	var values []string
	inspectPackage(t, pkg, func(n ast.Node) {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) <= i {
			return
		}
		if sel, ok := call.Fun.(*ast.SelectorExpr); ok && sel.Sel.Name == method {
			ast.Inspect(call.Args[i], func(n ast.Node) bool {
				if e, ok := n.(ast.Expr); ok {
					values = append(values, stringLiterals([]ast.Expr{e})...)
				}
				return true
			})
		}
	})
	return values
}

func inspectPackage(t *testing.T, pkg string, visit func(ast.Node)) {
	t.Helper()
	for _, f := range packageFiles(t, pkg) {
		ast.Inspect(f, func(n ast.Node) bool {
			visit(n)
			return true
		})
	}
}

func stringLiterals(list []ast.Expr) []string {
	var values []string
	for _, e := range list {
		lit, ok := e.(*ast.BasicLit)
		if !ok || lit.Kind != token.STRING {
			continue
		}
		if s, err := strconv.Unquote(lit.Value); err == nil {
			values = append(values, s)
		}
	}
	return values
}

// jsonNames returns the JSON names of the fields of a struct.
func jsonNames(v any) []string {
	var names []string
	t := reflect.TypeOf(v)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			names = append(names, name)
		}
	}
	return names
}
