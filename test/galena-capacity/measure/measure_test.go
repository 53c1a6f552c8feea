package measure

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/test/galena-capacity/fleet"
)

// Guards against a line that does not fit the measured points.
func TestFit(t *testing.T) {
	is := is.New(t)
	l := Fit([][2]float64{{12, 5}, {100, 49}, {400, 199}})
	is.Equal(l.At(36), 17.0)
	is.Equal(Fit([][2]float64{{3, 2}, {3, 4}}), Line{Base: 3})
}

// Guards against a check that passes although a target is missed.
func TestBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(Unmet(bounds(ControlResult{})), 0)
	for _, c := range []ControlResult{
		{Idle: Window{Leader: DaemonUsage{CPU: 0.021}}},
		{Idle: Window{Follower: DaemonUsage{RSS: 33 * megabyte}}},
		{Paced: Window{Entries: 20 * kilobyte, Log: 3 * kilobyte}},
		{PacedInForce: 4100 * time.Millisecond},
		{Burst: Burst{TotalTime: 4100 * time.Millisecond}},
		{Burst: Burst{LeaderPeakRSS: 33 * megabyte}},
	} {
		is.Equal(Unmet(bounds(c)), 1)
	}
}

// Guards against reading the wrong columns of files in /proc.
func TestReadUsage(t *testing.T) {
	is := is.New(t)
	u, err := fleet.ReadUsage(os.Getpid())
	is.NoErr(err)
	is.True(u.RSS > megabyte && u.RSS <= u.PeakRSS && u.AnonRSS < u.RSS)
	is.True(u.CPU < time.Hour)
	is.True(u.IO > 0)
}

// Guards against a relay that does not count the bytes of one direction.
func TestRelayCounts(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	go func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = io.CopyN(c, c, 5)
			_ = c.Close()
		}
	}()
	r, err := fleet.NewRelay(ln.Addr().String())
	is.NoErr(err)
	defer r.Close()
	c, err := net.Dial("tcp", r.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("12345"))
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 5))
	is.NoErr(err)
	is.Equal(r.Bytes(), int64(10))
}

// Guards against prepared states that lack records or running jobs.
func TestSeed(t *testing.T) {
	is := is.New(t)
	seed, err := fleet.NewSeed(fleet.Size{VMs: 30, Pools: 5, Teams: 7, Services: 3, Jobs: 20, Changes: 10})
	is.NoErr(err)
	v := seed.Machine.View()
	is.Equal(v.VMCount(), 30)
	is.Equal(len(v.Teams()), 7)
	is.Equal(len(v.Services()), 3)
	running := 0
	for j := range v.Jobs() {
		if j.Worker != "" {
			running++
		}
	}
	is.Equal(running, 20)
}
