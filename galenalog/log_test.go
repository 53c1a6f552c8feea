package galenalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

type testLine struct{ text string }

func (l *testLine) AppendFields(b []byte) []byte {
	b = AppendString(b, "text", l.text)
	b = AppendInt(b, "count", -7)
	return AppendBool(b, "flag", true)
}

// Guards against a Line whose JSON differs from that of the same logrus fields,
// with values that need escaping among others.
func TestLineMatchesLogrusFields(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "plain", `"quoted\"`, "new\nline", "\xff\x00", "é \u2028 <&>"} {
		var b bytes.Buffer
		l := New(&b, logrus.InfoLevel)
		now := time.Unix(1_700_000_000, 123456000).UTC()
		Info(l, "m", &testLine{text})
		l.WithTime(now).WithFields(logrus.Fields{"text": text, "count": -7, "flag": true}).Info("m")
		l.WithTime(now).WithField(lineField, &testLine{text}).Info("m")
		lines := strings.SplitAfter(b.String(), "\n")
		is.Equal(len(lines), 4)
		var want, got map[string]any
		is.NoErr(json.Unmarshal([]byte(lines[1]), &want))
		is.NoErr(json.Unmarshal([]byte(lines[2]), &got))
		is.Equal(want, got)
		output := &bytes.Buffer{}
		w := NewWriter(output)
		Info(New(w, logrus.InfoLevel), "m", &testLine{text})
		is.NoErr(w.Close())
		var queued map[string]any
		is.NoErr(json.Unmarshal(output.Bytes(), &queued))
		_, err := time.Parse(timestampFormat, queued["time"].(string))
		is.NoErr(err)
		queued["time"] = want["time"]
		is.Equal(queued, want)
		l.SetLevel(logrus.WarnLevel)
		b.Reset()
		Info(l, "m", &testLine{text})
		is.Equal(b.Len(), 0)
	}
}

// blockedOutput is an output whose writes block until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	bytes.Buffer
	writes int
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.unblock
	o.writes++
	return o.Buffer.Write(b)
}

// Guards against a blocked output that also blocks Write, against lines that are
// dropped but not counted, and against one system call for each line.
func TestWriterDropsLinesWhenOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &blockedOutput{unblock: make(chan struct{})}
		w := NewWriter(o)
		write := func() { _, _ = w.Write([]byte("x\n")) }
		write()
		synctest.Wait()
		for range maxQueuedLines + 5 {
			write()
		}
		is.Equal(w.Dropped(), int64(5))
		close(o.unblock)
		time.Sleep(2 * flushInterval)
		synctest.Wait()
		is.Equal(o.Len(), 2*(maxQueuedLines+1))
		is.Equal(o.writes, 1+2*maxQueuedLines/maxWriteBytes)
		write()
		is.NoErr(w.Close())
		is.Equal(o.Len(), 2*(maxQueuedLines+2))
	})
}

// recordedOutput records each write, and fails once failing is set.
type recordedOutput struct {
	writes  []string
	failing bool
}

func (o *recordedOutput) Write(b []byte) (int, error) {
	if o.failing {
		return 0, errors.New("output is closed")
	}
	o.writes = append(o.writes, string(b))
	return len(b), nil
}

// Guards against a line that is split between two writes, against writes that a pipe
// may cut, and against a wrong count of dropped lines when a write fails.
func TestWriterWritesWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &recordedOutput{}
		w := NewWriter(o)
		var want strings.Builder
		long := strings.Repeat("y", maxWriteBytes) + "\n"
		_, _ = w.Write([]byte("first\n"))
		synctest.Wait() // later lines wait until flushInterval has passed
		for i := range 100 {
			line := strings.Repeat("x", 100+i) + "\n"
			if i == 50 {
				line = long
			}
			want.WriteString(line)
			_, _ = w.Write([]byte(line))
		}
		time.Sleep(2 * flushInterval)
		synctest.Wait()
		is.Equal(strings.Join(o.writes[1:], ""), want.String())
		is.True(len(o.writes) <= 8)
		for _, b := range o.writes {
			is.True(strings.HasSuffix(b, "\n"))
			is.True(len(b) <= maxWriteBytes || b == long)
		}
		o.failing = true
		for range 100 {
			_, _ = w.Write([]byte(strings.Repeat("z", 99) + "\n"))
		}
		time.Sleep(2 * flushInterval)
		synctest.Wait()
		is.Equal(w.Dropped(), int64(100))
		is.NoErr(w.Close())
	})
}
