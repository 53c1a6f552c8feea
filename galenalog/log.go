// Package galenalog writes JSON log lines, one for each routing or placement
// decision, without ever blocking the caller.
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

// timeFormat is the form of the time in every line.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// New returns a logger of JSON lines with snake_case keys to w at level.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&formatter{JSONFormatter: logrus.JSONFormatter{
		TimestampFormat: timeFormat,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "message"},
	}})
	return l
}

// Line holds the fields of a frequent kind of line. Such lines are encoded
// without reflection, which is most of the cost of a line of logrus fields.
type Line interface {
	// AppendFields appends the fields to b with AppendString and AppendInt.
	AppendFields(b []byte) []byte
}

// lineField is the logrus field that holds a Line.
const lineField = "galenalog_line"

// Info logs a Line at level info.
func Info(l *logrus.Logger, message string, line Line) {
	if !l.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	w, ok := l.Out.(*Writer)
	if !ok || len(l.Hooks) > 0 {
		l.WithField(lineField, line).Info(message)
		return
	}
	// The Writer needs no lock of logrus, and an entry's copies of its fields are
	// half of the allocations of a line.
	b := buffers.Get().(*[]byte)
	*b = appendLine((*b)[:0], time.Now(), logrus.InfoLevel, message, line)
	_, _ = w.Write(*b)
	buffers.Put(b)
}

// buffers holds buffers of lines.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// formatter encodes entries with a Line itself and others as logrus does.
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

func appendLine(b []byte, at time.Time, level logrus.Level, message string, line Line) []byte {
	b = append(b, `{"time":"`...)
	b = at.AppendFormat(b, timeFormat)
	b = append(b, '"')
	b = AppendString(b, "level", level.String())
	b = AppendString(b, "message", message)
	b = line.AppendFields(b)
	return append(b, "}\n"...)
}

// AppendString appends a field. key needs no escaping.
func AppendString(b []byte, key, value string) []byte {
	b = appendKey(b, key)
	if !plain(value) {
		return appendEscaped(b, value)
	}
	b = append(b, '"')
	b = append(b, value...)
	return append(b, '"')
}

// AppendInt appends a field. key needs no escaping.
func AppendInt(b []byte, key string, value int64) []byte {
	return strconv.AppendInt(appendKey(b, key), value, 10)
}

// AppendBool appends a field. key needs no escaping.
func AppendBool(b []byte, key string, value bool) []byte {
	return strconv.AppendBool(appendKey(b, key), value)
}

func appendKey(b []byte, key string) []byte {
	b = append(b, `,"`...)
	b = append(b, key...)
	return append(b, `":`...)
}

// plain tells whether s is the same in JSON.
func plain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

func appendEscaped(b []byte, s string) []byte {
	// A string always has a JSON form; bytes that are not UTF-8 are replaced.
	e, _ := json.Marshal(s)
	return append(b, e...)
}
