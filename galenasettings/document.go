package galenasettings

import (
	"bytes"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// keyValue is one "key = value" line.
type keyValue struct {
	key   string
	value string
	line  int
}

// section is one section of a file; line is the line of its header.
type section struct {
	name string
	line int
	keys []keyValue
}

func (s *section) find(key string) (keyValue, bool) {
	for _, kv := range s.keys {
		if kv.key == key {
			return kv, true
		}
	}
	return keyValue{}, false
}

// document is a parsed file whose values are not interpreted yet.
type document struct {
	file string
	// lastLine is the number of the line that was parsed last, from 1.
	lastLine int
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

// lineOptions are the options with which one line is parsed.
var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

var utf8BOM = []byte("\xef\xbb\xbf")

// parse splits a file into sections and keys. It passes each line to the INI
// library separately, because the library does not report line numbers and
// stops at the first syntax error.
func parse(file string, data []byte) (*document, Faults) {
	d := &document{file: file}
	var faults Faults
	var current *section
	data = bytes.TrimSuffix(bytes.TrimPrefix(data, utf8BOM), []byte("\n"))
	for i, line := range bytes.Split(data, []byte("\n")) {
		d.lastLine = i + 1
		var f *Fault
		current, f = d.addLine(current, bytes.TrimSpace(line))
		if f != nil {
			faults = append(faults, *f)
		}
	}
	return d, faults
}

// addLine parses one line, which belongs to the section current, and returns
// the section of the next line.
func (d *document) addLine(current *section, line []byte) (*section, *Fault) {
	if len(line) == 0 {
		return current, nil
	}
	parsed, err := ini.LoadSources(lineOptions, line)
	if err != nil {
		return current, d.newFault(current, "", strconv.Quote(string(line)), "[section], key = value, or a comment")
	}
	if names := parsed.SectionStrings(); len(names) > 1 {
		return d.addSection(names[1])
	}
	keys := parsed.Section(ini.DefaultSection).Keys()
	if len(keys) == 0 {
		return current, nil
	}
	key := keys[0]
	return current, d.addKey(current, keyValue{key: key.Name(), value: strings.TrimSpace(key.Value()), line: d.lastLine})
}

func (d *document) addSection(name string) (*section, *Fault) {
	s := &section{name: name, line: d.lastLine}
	if d.find(name) != nil {
		return s, d.newFault(s, "", "a second section of this name", "each section once")
	}
	d.sections = append(d.sections, s)
	return s, nil
}

func (d *document) addKey(s *section, kv keyValue) *Fault {
	if s == nil {
		return d.newFault(nil, kv.key, "a key before the first section", "keys below a [section]")
	}
	if first, ok := s.find(kv.key); ok {
		found := "a second value " + strconv.Quote(kv.value) + ", the first is on line " + strconv.Itoa(first.line)
		return d.newFault(s, kv.key, found, "each key once")
	}
	s.keys = append(s.keys, kv)
	return nil
}

// newFault returns a fault at the last parsed line.
func (d *document) newFault(s *section, key, found, allowed string) *Fault {
	f := &Fault{File: d.file, Line: d.lastLine, Key: key, Found: found, Allowed: allowed}
	if s != nil {
		f.Section = s.name
	}
	return f
}
