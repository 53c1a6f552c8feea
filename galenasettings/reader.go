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

// reader interprets a document and collects the faults. The sections and keys
// asked for are the known ones.
type reader struct {
	doc    *document
	faults Faults
	// known maps each known section to its known keys; nil accepts any key.
	known map[string][]string
	order []string
	// addresses maps each address to the place where it was first seen.
	addresses map[netip.AddrPort]string
}

func newReader(file string, data []byte) *reader {
	doc, faults := parse(file, data)
	return &reader{
		doc:       doc,
		faults:    faults,
		known:     map[string][]string{},
		addresses: map[netip.AddrPort]string{},
	}
}

func (r *reader) fault(section, key string, line int, found, allowed string) {
	r.faults = append(r.faults, Fault{r.doc.file, line, section, key, found, allowed})
}

// section returns the named section, or nil after reporting that it is
// missing.
func (r *reader) section(name string) *section {
	s := r.doc.find(name)
	if slices.Contains(r.order, name) {
		return s
	}
	r.order = append(r.order, name)
	if s == nil {
		r.fault(name, "", r.doc.lines, "no such section", "a section ["+name+"]")
	}
	return s
}

func (r *reader) lookup(name, key string) (it item, found, hasSection bool) {
	s := r.section(name)
	if !slices.Contains(r.known[name], key) {
		r.known[name] = append(r.known[name], key)
	}
	if s == nil {
		return item{}, false, false
	}
	it, found = s.find(key)
	return it, found, true
}

// kind describes the values that a key accepts.
type kind[T any] struct {
	allowed string
	parse   func(string) (T, error)
}

// required returns the value of a key that must be present.
func required[T any](r *reader, section, key string, k kind[T]) T {
	v, ok := optional(r, section, key, k, *new(T))
	if !ok && r.doc.find(section) != nil {
		r.fault(section, key, r.doc.find(section).line, "no such key", k.allowed)
	}
	return v
}

// optional returns the value of a key, or def and false when it is not set.
func optional[T any](r *reader, section, key string, k kind[T], def T) (T, bool) {
	it, found, _ := r.lookup(section, key)
	if !found {
		return def, false
	}
	v, err := k.parse(it.value)
	if err != nil {
		r.fault(section, key, it.line, fmt.Sprintf("%q (%v)", it.value, err), k.allowed)
	}
	return v, true
}

// list returns all keys of a section whose keys are names.
func (r *reader) list(name string) []item {
	s := r.section(name)
	r.known[name] = nil
	if s == nil {
		return nil
	}
	return s.items
}

// claimAddress reports an address that is already used elsewhere.
func (r *reader) claimAddress(section, key string, line int, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	where := "[" + section + "] " + key
	if first, ok := r.addresses[a]; ok {
		r.fault(section, key, line, fmt.Sprintf("address %s, which is also in %s", a, first), "an address of its own")
		return
	}
	r.addresses[a] = where
}

// finish reports what the settings do not know and returns all faults.
func (r *reader) finish() error {
	for _, s := range r.doc.sections {
		r.checkKnown(s)
	}
	if len(r.faults) == 0 {
		return nil
	}
	return r.faults.sorted()
}

func (r *reader) checkKnown(s *section) {
	keys, ok := r.known[s.name]
	if !ok {
		r.fault(s.name, "", s.line, "unknown section", "one of "+strings.Join(r.order, ", "))
		return
	}
	if keys == nil {
		return
	}
	for _, it := range s.items {
		if !slices.Contains(keys, it.key) {
			r.fault(s.name, it.key, it.line, "unknown key", "one of "+strings.Join(keys, ", "))
		}
	}
}

var (
	errRange     = errors.New("out of range")
	errNoUnit    = errors.New("no unit")
	errNotNumber = errors.New("not a number")
	errName      = errors.New("not a name")
	errHostName  = errors.New("host name or malformed address")
	errLevel     = errors.New("unknown level")
	errEmpty     = errors.New("empty")
)

const nameAllowed = "a name of 1 to 64 letters, digits, '-', '_' and '.'"

func name[T ~string]() kind[T] {
	return kind[T]{nameAllowed, func(s string) (T, error) {
		if !validName(s) {
			return "", errName
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

func text(allowed string) kind[string] {
	return kind[string]{allowed, func(s string) (string, error) {
		if s == "" {
			return "", errEmpty
		}
		return s, nil
	}}
}

func address() kind[netip.AddrPort] {
	return kind[netip.AddrPort]{
		"<ip>:<port> with a port of 1 to 65535, no host name and no unspecified IP", parseAddress,
	}
}

// parseAddress rejects the unspecified IP because other processes connect to
// the same addresses that the settings list.
func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, errHostName
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return netip.AddrPort{}, errRange
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

func integer(lo, hi int, unit string) kind[int] {
	return kind[int]{strings.TrimSpace(fmt.Sprintf("a whole number from %d to %d %s", lo, hi, unit)),
		func(s string) (int, error) {
			n, err := strconv.Atoi(s)
			if err != nil {
				return 0, errNotNumber
			}
			if n < lo || n > hi {
				return 0, errRange
			}
			return n, nil
		}}
}

func number(lo, hi float64) kind[float64] {
	return kind[float64]{fmt.Sprintf("a number from %g to %g", lo, hi), func(s string) (float64, error) {
		x, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return 0, errNotNumber
		}
		if !(x >= lo && x <= hi) {
			return 0, errRange
		}
		return x, nil
	}}
}

func duration(lo, hi time.Duration) kind[time.Duration] {
	allowed := fmt.Sprintf("a duration with a unit, such as 2s, from %s to %s", lo, hi)
	return kind[time.Duration]{allowed, func(s string) (time.Duration, error) {
		if _, err := strconv.ParseFloat(s, 64); err == nil {
			return 0, errNoUnit
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return 0, errors.New("not a duration")
		}
		if d < lo || d > hi {
			return 0, errRange
		}
		return d, nil
	}}
}

func level() kind[logrus.Level] {
	return kind[logrus.Level]{"debug, info, warn or error", func(s string) (logrus.Level, error) {
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, s) {
			return logrus.InfoLevel, errLevel
		}
		return logrus.ParseLevel(s)
	}}
}
