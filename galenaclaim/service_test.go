package galenaclaim

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenatimer"
)

// startServices starts n entries that call one another over TCP on the loopback
// interface.
func startServices(tb testing.TB, n int) []*Service {
	var listeners []net.Listener
	var entries []galenapeer.Entry
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, ln)
		entries = append(entries, galenapeer.Entry{Name: galenahead.EntryName(fmt.Sprint("e", i)), Address: ln.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	var services []*Service
	for i, e := range entries {
		client := &galenarpc.Client{}
		tb.Cleanup(client.Close)
		s := New(Config{Self: e.Name, Entries: entries, RPCClient: client, Timers: &galenatimer.Service{}, ClockTrusted: func() bool { return true }})
		s.table.restartCutoffMS.Store(1)
		mux := &galenarpc.Mux{}
		s.Register(mux)
		server := &galenarpc.Server{Mux: mux}
		go func() { _ = server.Serve(ctx, listeners[i]) }()
		services = append(services, s)
	}
	return services
}

func nowKey(i int) galenahead.RequestKey {
	return galenahead.RequestKey(fmt.Sprintf("%d-%032d", new(galenatimer.Service).Now().UnixMilli(), i))
}

// Guards against keys that stay blocked after a release, and against resent
// requests that do not get the recorded result.
func TestClaimReleaseFinish(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s := startServices(t, 3)
	key := nowKey(0)
	state := func(i int, attempt string) galenahead.ClaimState {
		r, err := s[i].Claim(ctx, key, attempt)
		is.NoErr(err)
		return r.State
	}
	is.Equal(state(0, "a"), galenahead.ClaimGranted)
	is.Equal(state(1, "b"), galenahead.ClaimRunning)
	is.NoErr(s[0].Release(ctx, key, "a"))
	is.Equal(state(2, "c"), galenahead.ClaimGranted)
	is.True(s[0].Release(ctx, key, "a") != nil)
	is.NoErr(s[2].Finish(ctx, key, "c", galenahead.Answer{Outcome: galenahead.OutcomeRan, Status: 200, Body: []byte("x")}))
	r, err := s[0].Claim(ctx, key, "d")
	is.NoErr(err)
	is.Equal(r.State, galenahead.ClaimDone)
	is.Equal(string(r.Answer.Body), "x")
}

func BenchmarkClaim(b *testing.B) {
	s := startServices(b, 12)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r, err := s[i%len(s)].Claim(b.Context(), nowKey(i), "a")
		if err != nil || r.State != galenahead.ClaimGranted {
			b.Fatal(r, err)
		}
	}
}

func BenchmarkClaimParallel(b *testing.B) {
	s := startServices(b, 12)
	b.ReportAllocs()
	// With 320 concurrent claims, operations share messages.
	b.SetParallelism(320 / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			key := nowKey(i) + galenahead.RequestKey(fmt.Sprintf("-%p", pb))
			if _, err := s[i%len(s)].Claim(b.Context(), key, "a"); err != nil {
				b.Error(err)
			}
		}
	})
}

func BenchmarkMemoryPerClaim(b *testing.B) {
	const n = 500_000
	for b.Loop() {
		table := startedTable(0)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range n {
			requestVote(table, instantAt(0), galenahead.RequestKey(fmt.Sprintf("%d-%016x", instantAt(0).Wall.UnixMilli()+int64(i%60_000)-60_000, i)), 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/claim")
		runtime.KeepAlive(table)
	}
}
