// Package galenalog writes JSON log lines, one for each routing or placement
// decision, without ever blocking the goroutine that logs.
package galenalog

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// timestampFormat is RFC 3339 with exactly six fractional digits.
const timestampFormat = "2006-01-02T15:04:05.000000Z07:00"

// New returns a logger that writes JSON lines with snake_case keys to w at level.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&formatter{JSONFormatter: logrus.JSONFormatter{
		TimestampFormat: timestampFormat,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "message"},
	}})
	return l
}

// Line holds the fields of one log line of a frequent kind. It is encoded without
// reflection, which accounts for most of the cost of a line with logrus fields.
type Line interface {
	// AppendFields appends the fields to b with AppendString, AppendInt and
	// AppendBool.
	AppendFields(b []byte) []byte
}

// lineField is the logrus field that holds a Line.
const lineField = "galenalog_line"

// Info logs message and the fields of line at level info.
func Info(l *logrus.Logger, message string, line Line) {
	if !l.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	w, ok := l.Out.(*Writer)
	if !ok || len(l.Hooks) > 0 {
		l.WithField(lineField, line).Info(message)
		return
	}
	// Bypass logrus: a Writer does not need the lock of the logger, and the copies
	// that a logrus.Entry makes of its fields are half of the allocations per line.
	b := bufferPool.Get().(*[]byte)
	*b = appendLine((*b)[:0], time.Now(), logrus.InfoLevel, message, line)
	_, _ = w.Write(*b)
	bufferPool.Put(b)
}

// bufferPool holds buffers in which Info encodes lines.
var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

// formatter encodes an entry that has a Line with appendLine, and any other entry
// as logrus does.
type formatter struct{ logrus.JSONFormatter }

// Format implements logrus.Formatter.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	line, ok := e.Data[lineField].(Line)
	if !ok {
		return f.JSONFormatter.Format(e)
	}
	out := e.Buffer
	if out == nil {
		out = &bytes.Buffer{}
	}
	out.Write(appendLine(out.AvailableBuffer(), e.Time, e.Level, e.Message, line))
	return out.Bytes(), nil
}

func appendLine(b []byte, timestamp time.Time, level logrus.Level, message string, line Line) []byte {
	b = append(b, `{"time":"`...)
	b = timestamp.AppendFormat(b, timestampFormat)
	b = append(b, '"')
	b = AppendString(b, "level", level.String())
	b = AppendString(b, "message", message)
	b = line.AppendFields(b)
	return append(b, "}\n"...)
}

// AppendString appends a string field. key is not escaped.
func AppendString(b []byte, key, value string) []byte {
	b = appendKey(b, key)
	if !isJSONSafe(value) {
		return appendEscaped(b, value)
	}
	b = append(b, '"')
	b = append(b, value...)
	return append(b, '"')
}

// AppendInt appends an integer field. key is not escaped.
func AppendInt(b []byte, key string, value int64) []byte {
	return strconv.AppendInt(appendKey(b, key), value, 10)
}

// AppendBool appends a boolean field. key is not escaped.
func AppendBool(b []byte, key string, value bool) []byte {
	return strconv.AppendBool(appendKey(b, key), value)
}

func appendKey(b []byte, key string) []byte {
	b = append(b, `,"`...)
	b = append(b, key...)
	return append(b, `":`...)
}

// isJSONSafe reports whether s needs no escaping in a JSON string.
func isJSONSafe(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

func appendEscaped(b []byte, s string) []byte {
	// Marshal never fails for a string; it replaces bytes that are not UTF-8.
	e, _ := json.Marshal(s)
	return append(b, e...)
}
