package galenaraft

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// Guards against a maximum that forgets a long duration within a second, or keeps it
// for more than two.
func TestRecentMaxCoversTheLastSecond(t *testing.T) {
	is := is.New(t)
	var r recentMax
	r.record(900*time.Millisecond, 70)
	r.record(1100*time.Millisecond, 5)
	is.Equal(r.last, time.Duration(5))
	is.Equal(r.max(1800*time.Millisecond), time.Duration(70))
	is.Equal(r.max(2200*time.Millisecond), time.Duration(5))
	is.Equal(r.max(5*time.Second), time.Duration(0))
}

// slowDisk is a memDisk whose files take delay to sync.
type slowDisk struct {
	*memDisk
	delay atomic.Int64
}

type slowFile struct {
	galenawal.File
	disk *slowDisk
}

func (d *slowDisk) Open(name string) (galenawal.File, error) {
	f, err := d.memDisk.Open(name)
	return slowFile{f, d}, err
}

func (f slowFile) Sync() error {
	time.Sleep(time.Duration(f.disk.delay.Load()))
	return f.File.Sync()
}

// Guards against diagnostics that wait for a blocked disk, or that don't tell a slow
// sync from a replica that gets no processor time.
func TestDiagnosticsNameASlowDisk(t *testing.T) {
	root := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &slowDisk{memDisk: newMemDisk(rand.New(rand.NewPCG(1, 1)))}
		c := startCluster(t, root, Config{Dir: d}, "a")
		defer c.stop()
		time.Sleep(2 * DefaultTick)
		l := c.leader()
		f := l.Diagnostics()
		is.Equal(f["sync_max_ms"], int64(0))
		is.Equal(f["sync_in_progress_ms"], nil)
		is.Equal(f["voters"], "")

		d.delay.Store(int64(700 * time.Millisecond))
		var proposal sync.WaitGroup
		proposal.Go(func() { _, _ = l.Propose(t.Context(), []byte("x")) })
		time.Sleep(600 * time.Millisecond)
		f = l.Diagnostics()
		is.Equal(f["sync_in_progress_ms"], int64(600))
		is.True(f["loop_age_ms"].(int64) >= 600)
		is.True(f["loop_gap_max_ms"].(int64) >= 600)
		proposal.Wait()
		f = l.Diagnostics()
		is.Equal(f["sync_ms"], int64(700))
		gap, delay := l.RecentDelays()
		is.Equal(delay, 700*time.Millisecond)
		is.True(gap >= delay)
		is.Equal(f["sync_max_ms"], int64(700))
		is.Equal(f["sync_in_progress_ms"], nil)
		d.delay.Store(0)
	})
}

// Guards against a leader that steps down without a log line, or with one that names
// the disk or the process when only the other voters are silent.
func TestStepDownLogsSilentVoters(t *testing.T) {
	root := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&log)
		logger.SetFormatter(&logrus.JSONFormatter{})
		c := startCluster(t, root, Config{Log: logger}, "a", "b", "c")
		time.Sleep(electionWait)
		l := c.leader()
		name := string(l.Status().Name)
		voters := l.Diagnostics()["voters"].(string)
		is.Equal(strings.Count(voters, "request "), 2)
		is.Equal(strings.Count(voters, "call 0 ms, handling 0 ms"), 2)
		is.True(!strings.Contains(voters, name+":"))
		c.isolated.Store(name)
		time.Sleep(electionWait)
		c.stop()

		var found []map[string]any
		for line := range strings.Lines(log.String()) {
			var f map[string]any
			is.NoErr(json.Unmarshal([]byte(line), &f))
			if strings.HasPrefix(f["msg"].(string), "stepped down as leader of the log") {
				found = append(found, f)
			}
		}
		is.Equal(len(found), 1)
		f := found[0]
		is.Equal(f["replica"], name)
		is.Equal(strings.Count(f["voters"].(string), "request "), 2)
		is.True(f["loop_gap_max_ms"].(float64) <= 2*float64(DefaultTick.Milliseconds()))
		is.Equal(f["sync_max_ms"], 0.0)
		is.True(f["lease_left_ms"].(float64) < 0)
	})
}

// Guards against diagnostics of the leader that don't tell a voter with a slow disk
// from a slow call.
func TestDiagnosticsNameASlowVoter(t *testing.T) {
	root := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &cluster{t: t, root: root}
		defer c.stop()
		disks := map[string]*slowDisk{}
		var ms []galenahead.Member
		for i, name := range []string{"a", "b", "c"} {
			disks[name] = &slowDisk{memDisk: newMemDisk(rand.New(rand.NewPCG(1, uint64(i))))}
			ms = append(ms, c.start(name, Config{Dir: disks[name]}).member())
		}
		is.NoErr(c.node("a").Bootstrap(t.Context(), ms))
		time.Sleep(electionWait)
		l := c.leader()
		for name, d := range disks {
			if name != string(l.Status().Name) {
				d.delay.Store(int64(50 * time.Millisecond))
			}
		}
		_, err := l.Propose(t.Context(), []byte("x"))
		is.NoErr(err)
		f := l.Diagnostics()
		is.True(strings.Contains(f["voters"].(string), "call 50 ms, handling 50 ms"))
		is.Equal(f["sync_max_ms"], int64(0))
	})
}
