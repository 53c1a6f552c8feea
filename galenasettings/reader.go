package galenasettings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
)

// reader interprets a document and collects its faults. The sections and keys
// that were looked up are the known ones; finish reports all others.
type reader struct {
	doc    *document
	faults Faults
	// knownKeys maps each known section to its known keys; nil accepts any key.
	knownKeys map[string][]string
	// knownSections lists the known sections in the order of their first lookup.
	knownSections []string
	// addressUses maps each address to the section and key of its first use.
	addressUses map[netip.AddrPort]string
}

func newReader(file string, data []byte) *reader {
	doc, faults := parse(file, data)
	return &reader{
		doc:         doc,
		faults:      faults,
		knownKeys:   map[string][]string{},
		addressUses: map[netip.AddrPort]string{},
	}
}

func (r *reader) addFault(section, key string, line int, found, allowed string) {
	r.faults = append(r.faults, Fault{r.doc.file, line, section, key, found, allowed})
}

// requireSection marks a section as known and returns it. It returns nil when
// the section is missing and reports that once.
func (r *reader) requireSection(name string) *section {
	s := r.doc.find(name)
	if slices.Contains(r.knownSections, name) {
		return s
	}
	r.knownSections = append(r.knownSections, name)
	if s == nil {
		r.addFault(name, "", r.doc.lastLine, "no such section", "a section ["+name+"]")
	}
	return s
}

// lookup marks a section and key as known and returns the key's line.
func (r *reader) lookup(name, key string) (kv keyValue, found, hasSection bool) {
	s := r.requireSection(name)
	if !slices.Contains(r.knownKeys[name], key) {
		r.knownKeys[name] = append(r.knownKeys[name], key)
	}
	if s == nil {
		return keyValue{}, false, false
	}
	kv, found = s.find(key)
	return kv, found, true
}

// valueType parses the value of a key; allowed describes the valid values.
type valueType[T any] struct {
	allowed string
	parse   func(string) (T, error)
}

// required returns the value of a key and reports the key when it is missing.
func required[T any](r *reader, section, key string, vt valueType[T]) T {
	v, ok := optional(r, section, key, vt, *new(T))
	if !ok && r.doc.find(section) != nil {
		r.addFault(section, key, r.doc.find(section).line, "no such key", vt.allowed)
	}
	return v
}

// optional returns the value of a key, or defaultValue and false when the key
// is not set. It reports an invalid value as a fault and returns true for it.
func optional[T any](r *reader, section, key string, vt valueType[T], defaultValue T) (T, bool) {
	kv, found, _ := r.lookup(section, key)
	if !found {
		return defaultValue, false
	}
	v, err := vt.parse(kv.value)
	if err != nil {
		r.addFault(section, key, kv.line, fmt.Sprintf("%q (%v)", kv.value, err), vt.allowed)
	}
	return v, true
}

// allKeys returns all keys of a section that accepts any key, such as the list
// of entries, whose keys are the entries' names.
func (r *reader) allKeys(name string) []keyValue {
	s := r.requireSection(name)
	r.knownKeys[name] = nil
	if s == nil {
		return nil
	}
	return s.keys
}

// registerAddress records the use of an address and reports an address that is
// already used elsewhere.
func (r *reader) registerAddress(section, key string, line int, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	place := "[" + section + "] " + key
	if firstPlace, ok := r.addressUses[a]; ok {
		r.addFault(section, key, line, fmt.Sprintf("address %s, which is also in %s", a, firstPlace), "an address of its own")
		return
	}
	r.addressUses[a] = place
}

// finish reports unknown sections and keys and returns all faults.
func (r *reader) finish() error {
	for _, s := range r.doc.sections {
		r.checkUnknown(s)
	}
	if len(r.faults) == 0 {
		return nil
	}
	return r.faults.sorted()
}

func (r *reader) checkUnknown(s *section) {
	keys, ok := r.knownKeys[s.name]
	if !ok {
		r.addFault(s.name, "", s.line, "unknown section", "one of "+strings.Join(r.knownSections, ", "))
		return
	}
	if keys == nil {
		return
	}
	for _, kv := range s.keys {
		if !slices.Contains(keys, kv.key) {
			r.addFault(s.name, kv.key, kv.line, "unknown key", "one of "+strings.Join(keys, ", "))
		}
	}
}

var (
	errOutOfRange     = errors.New("out of range")
	errNoUnit         = errors.New("no unit")
	errNotNumber      = errors.New("not a number")
	errInvalidName    = errors.New("not a name")
	errInvalidAddress = errors.New("host name or malformed address")
	errUnknownLevel   = errors.New("unknown level")
	errEmpty          = errors.New("empty")
)

const nameFormat = "a name of 1 to 64 letters, digits, '-', '_' and '.'"

// name accepts names that may be used as identifiers.
func name[T ~string]() valueType[T] {
	return valueType[T]{nameFormat, func(s string) (T, error) {
		if !validName(s) {
			return "", errInvalidName
		}
		return T(s), nil
	}}
}

func validName(s string) bool {
	if s == "" || len(s) > galenahead.MaxIDLength {
		return false
	}
	return !strings.ContainsFunc(s, func(c rune) bool {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		return !letter && !(c >= '0' && c <= '9') && !strings.ContainsRune("-_.", c)
	})
}

// text accepts any value that is not empty.
func text(allowed string) valueType[string] {
	return valueType[string]{allowed, func(s string) (string, error) {
		if s == "" {
			return "", errEmpty
		}
		return s, nil
	}}
}

// optionalText accepts any value, also an empty one.
func optionalText(allowed string) valueType[string] {
	return valueType[string]{allowed, func(s string) (string, error) { return s, nil }}
}

func address() valueType[netip.AddrPort] {
	return valueType[netip.AddrPort]{
		"<ip>:<port> with a port of 1 to 65535, no host name and no unspecified IP", parseAddress,
	}
}

// parseAddress parses an IP address with port. It rejects the unspecified IP
// address, because other processes connect to the addresses in the settings.
func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, errInvalidAddress
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return netip.AddrPort{}, errOutOfRange
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

func integer(lo, hi int, unit string) valueType[int] {
	return valueType[int]{strings.TrimSpace(fmt.Sprintf("a whole number from %d to %d %s", lo, hi, unit)),
		func(s string) (int, error) {
			n, err := strconv.Atoi(s)
			if err != nil {
				return 0, errNotNumber
			}
			if n < lo || n > hi {
				return 0, errOutOfRange
			}
			return n, nil
		}}
}

func number(lo, hi float64) valueType[float64] {
	return valueType[float64]{fmt.Sprintf("a number from %g to %g", lo, hi), func(s string) (float64, error) {
		x, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return 0, errNotNumber
		}
		if !(x >= lo && x <= hi) {
			return 0, errOutOfRange
		}
		return x, nil
	}}
}

func duration(lo, hi time.Duration) valueType[time.Duration] {
	allowed := fmt.Sprintf("a duration with a unit, such as 2s, from %s to %s", lo, hi)
	return valueType[time.Duration]{allowed, func(s string) (time.Duration, error) {
		if _, err := strconv.ParseFloat(s, 64); err == nil {
			return 0, errNoUnit
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return 0, errors.New("not a duration")
		}
		if d < lo || d > hi {
			return 0, errOutOfRange
		}
		return d, nil
	}}
}

func logLevel() valueType[logrus.Level] {
	return valueType[logrus.Level]{"debug, info, warn or error", func(s string) (logrus.Level, error) {
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, s) {
			return logrus.InfoLevel, errUnknownLevel
		}
		return logrus.ParseLevel(s)
	}}
}
