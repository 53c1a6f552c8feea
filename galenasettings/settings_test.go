package galenasettings

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against a fault that is not reported, reported twice, or reported
// with the wrong line or key.
func TestFaultsGolden(t *testing.T) {
	for name, role := range map[string]string{"entry": "entry", "control": "control", "weights": "control"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join("testdata", name+"_faults.ini")
			err := loadRole(role, path)
			is.True(errors.Is(err, ErrSettings)) // all faults match ErrSettings
			golden := filepath.Join("testdata", name+"_faults.golden")
			got := err.Error() + "\n"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}

func loadRole(role, path string) error {
	if role == "entry" {
		_, err := LoadEntry(path)
		return err
	}
	_, err := LoadControl(path)
	return err
}

// Guards against example files that do not load, or that differ in the lists of
// peers, which must be the same in all processes of a deployment.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"kitakaze", "consorcio"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			paths, err := filepath.Glob(filepath.Join("..", "examples", deployment, "*-entry-*.ini"))
			is.NoErr(err)
			is.Equal(len(paths), 12)
			var first Entry
			for i, p := range paths {
				e, err := LoadEntry(p)
				is.NoErr(err)
				if i == 0 {
					first = e
				}
				is.Equal(e.Entries, first.Entries)
				is.Equal(e.Entries[i].Name, galenahead.EntryName(e.Process.Name))
			}
			paths, err = filepath.Glob(filepath.Join("..", "examples", deployment, "*-control-*.ini"))
			is.NoErr(err)
			is.Equal(len(paths), 3)
			for _, p := range paths {
				c, err := LoadControl(p)
				is.NoErr(err)
				is.Equal(c.Entries, first.Entries)
				is.Equal(c.Control, first.Control)
				is.Equal(c.Weights.BufferCost > c.Weights.RolloutTime, deployment == "kitakaze")
			}
		})
	}
}

// Guards against a panic, an error without a line number, and a file that is
// accepted once and rejected the next time.
func FuzzParse(f *testing.F) {
	for _, p := range []string{"testdata/entry_faults.ini", "testdata/control_faults.ini",
		"../examples/kitakaze/kitakaze-entry-01.ini", "../examples/consorcio/consorcio-control-1.ini"} {
		data, err := os.ReadFile(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, s := range []string{"", "[", "=", "\xef\xbb\xbf[process]\nname = \"\"\"x\n", "[a]\n\\\n`k = v", "\xff\xfe\xfe\xff=", "a\r\n[DEFAULT]\r\nk=%(k)s", "[x]\n- = 1"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		lines := strings.Count(string(data), "\n") + 1
		_, entryErr := ParseEntry("f", data)
		_, secondErr := ParseEntry("f", data)
		if (entryErr == nil) != (secondErr == nil) || entryErr != nil && entryErr.Error() != secondErr.Error() {
			t.Fatalf("two results for the same file: %v, %v", entryErr, secondErr)
		}
		_, controlErr := ParseControl("f", data)
		if entryErr == nil && controlErr == nil {
			t.Fatal("a file is valid for both an entry and a control daemon")
		}
		for _, err := range []error{entryErr, controlErr} {
			var faults Faults
			if err != nil && !errors.As(err, &faults) {
				t.Fatalf("error is not a list of faults: %v", err)
			}
			for _, f := range faults {
				if f.Line < 1 || f.Line > lines || f.Found == "" || f.Allowed == "" {
					t.Fatalf("incomplete fault: %+v", f)
				}
			}
		}
	})
}

// Guards against an entry that refuses bodies inside its limit, because its machine has too little memory.
func TestLargestBodyFitsTheMachine(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../examples/kitakaze/kitakaze-entry-01.ini")
	is.NoErr(err)
	withMemory := func(mb int) error {
		_, err := ParseEntry("e.ini", []byte(strings.Replace(string(data), "[process]\n", fmt.Sprintf("[process]\nmachine_memory_mb = %d\n", mb), 1)))
		return err
	}
	is.NoErr(withMemory(0))
	is.NoErr(withMemory(32))
	err = withMemory(31)
	is.True(errors.Is(err, ErrSettings))
	is.True(strings.Contains(err.Error(), "[limits] max_body_kb: found \"1024\"; allowed: at most 992 KB with machine_memory_mb = 31"))
}
