package galenalog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

type line struct{ text string }

func (l *line) AppendFields(b []byte) []byte {
	b = AppendString(b, "text", l.text)
	b = AppendInt(b, "count", -7)
	return AppendBool(b, "flag", true)
}

// Guards against lines that differ from those of logrus fields, with a value
// that breaks the JSON among others.
func TestLineEqualsFields(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "plain", `"quoted\"`, "new\nline", "\xff\x00", "é \u2028 <&>"} {
		var b bytes.Buffer
		l := New(&b, logrus.InfoLevel)
		now := time.Unix(1_700_000_000, 123456000).UTC()
		Info(l, "m", &line{text})
		l.WithTime(now).WithFields(logrus.Fields{"text": text, "count": -7, "flag": true}).Info("m")
		l.WithTime(now).WithField(lineField, &line{text}).Info("m")
		got := strings.SplitAfter(b.String(), "\n")
		is.Equal(len(got), 4)
		var want, have map[string]any
		is.NoErr(json.Unmarshal([]byte(got[1]), &want))
		is.NoErr(json.Unmarshal([]byte(got[2]), &have))
		is.Equal(want, have)
		direct := &bytes.Buffer{}
		w := NewWriter(direct)
		Info(New(w, logrus.InfoLevel), "m", &line{text})
		is.NoErr(w.Close())
		var queued map[string]any
		is.NoErr(json.Unmarshal(direct.Bytes(), &queued))
		_, err := time.Parse(timeFormat, queued["time"].(string))
		is.NoErr(err)
		queued["time"] = want["time"]
		is.Equal(queued, want)
		l.SetLevel(logrus.WarnLevel)
		b.Reset()
		Info(l, "m", &line{text})
		is.Equal(b.Len(), 0)
	}
}

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	bytes.Buffer
	writes int
}

func (o *blocked) Write(b []byte) (int, error) {
	<-o.open
	o.writes++
	return o.Buffer.Write(b)
}

// Guards against a blocked output that blocks the caller, against lines lost
// without being counted, and against one system call for each line.
func TestWriterDropsWhenBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &blocked{open: make(chan struct{})}
		w := NewWriter(o)
		write := func() { _, _ = w.Write([]byte("x\n")) }
		write()
		synctest.Wait()
		for range queueLines + 5 {
			write()
		}
		is.Equal(w.Dropped(), int64(5))
		close(o.open)
		time.Sleep(2 * flushInterval)
		synctest.Wait()
		is.Equal(o.Len(), 2*(queueLines+1))
		is.Equal(o.writes, 2)
		write()
		is.NoErr(w.Close())
		is.Equal(o.Len(), 2*(queueLines+2))
	})
}
