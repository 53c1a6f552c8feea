package galenasettings

import (
	"bytes"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// item is one "key = value" line.
type item struct {
	key   string
	value string
	line  int
}

type section struct {
	name  string
	line  int
	items []item
}

func (s *section) find(key string) (item, bool) {
	for _, it := range s.items {
		if it.key == key {
			return it, true
		}
	}
	return item{}, false
}

// document is a parsed file before its keys are interpreted.
type document struct {
	file     string
	lines    int
	sections []*section
}

func (d *document) find(name string) *section {
	for _, s := range d.sections {
		if s.name == name {
			return s
		}
	}
	return nil
}

var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

var utf8BOM = []byte("\xef\xbb\xbf")

// parse splits a file into sections and keys. Each line is given to the INI
// library on its own, because the library reports neither line numbers nor
// any syntax error after the first.
func parse(file string, data []byte) (*document, Faults) {
	d := &document{file: file}
	var faults Faults
	var current *section
	data = bytes.TrimSuffix(bytes.TrimPrefix(data, utf8BOM), []byte("\n"))
	for i, line := range bytes.Split(data, []byte("\n")) {
		d.lines = i + 1
		var f *Fault
		current, f = d.addLine(current, bytes.TrimSpace(line))
		if f != nil {
			faults = append(faults, *f)
		}
	}
	return d, faults
}

func (d *document) addLine(current *section, line []byte) (*section, *Fault) {
	if len(line) == 0 {
		return current, nil
	}
	f, err := ini.LoadSources(lineOptions, line)
	if err != nil {
		return current, d.fault(current, "", strconv.Quote(string(line)), "[section], key = value, or a comment")
	}
	if names := f.SectionStrings(); len(names) > 1 {
		return d.addSection(names[1])
	}
	keys := f.Section(ini.DefaultSection).Keys()
	if len(keys) == 0 {
		return current, nil
	}
	k := keys[0]
	return current, d.addItem(current, item{key: k.Name(), value: strings.TrimSpace(k.Value()), line: d.lines})
}

func (d *document) addSection(name string) (*section, *Fault) {
	s := &section{name: name, line: d.lines}
	if d.find(name) != nil {
		return s, d.fault(s, "", "a second section of this name", "each section once")
	}
	d.sections = append(d.sections, s)
	return s, nil
}

func (d *document) addItem(s *section, it item) *Fault {
	if s == nil {
		return d.fault(nil, it.key, "a key before the first section", "keys below a [section]")
	}
	if first, ok := s.find(it.key); ok {
		found := "a second value " + strconv.Quote(it.value) + ", the first is on line " + strconv.Itoa(first.line)
		return d.fault(s, it.key, found, "each key once")
	}
	s.items = append(s.items, it)
	return nil
}

func (d *document) fault(s *section, key, found, allowed string) *Fault {
	f := &Fault{File: d.file, Line: d.lines, Key: key, Found: found, Allowed: allowed}
	if s != nil {
		f.Section = s.name
	}
	return f
}
