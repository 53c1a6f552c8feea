package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// fakeEntry answers every request, and treats some in a wrong way.
type fakeEntry struct {
	mu   sync.Mutex
	runs int
	// seen counts the attempts of each key.
	seen map[string]int
	// wrong tells how the entry treats the first attempt of the nth request.
	wrong func(n int) string
}

func (f *fakeEntry) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/evidence" {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = json.NewEncoder(ctx).Encode(map[string]any{"runs": f.seen, "peak_in_flight": 5})
		return
	}
	key := string(ctx.Request.Header.Peek("X-Galena-Key"))
	f.mu.Lock()
	f.seen[key]++
	f.runs++
	run, treatment := f.runs, ""
	if f.seen[key] == 1 {
		treatment = f.wrong(len(f.seen))
	}
	f.mu.Unlock()
	body := fmt.Sprintf("%s\nrun-%d\n%s", key, run, ctx.PostBody())
	outcome := "ran"
	switch treatment {
	case "lose":
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	case "cross":
		body = strings.Replace(body, "-", "-x", 1)
	case "not_run", "unknown":
		outcome, body = treatment, ""
	}
	ctx.Response.Header.Set("X-Galena-Outcome", outcome)
	ctx.SetBodyString(body)
}

// Guards against a load generator that misses crossed answers, lost answers,
// runs behind not_run, or doubled runs.
func TestSummary(t *testing.T) {
	is := is.New(t)
	f := &fakeEntry{seen: map[string]int{}, wrong: func(n int) string {
		return map[int]string{3: "lose", 5: "cross", 7: "not_run", 9: "unknown"}[n]
	}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: f.handle, CloseOnShutdown: true}
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Shutdown() }()
	var out bytes.Buffer
	addr := ln.Addr().String()
	is.NoErr(Run(t.Context(), &Options{Out: &out, Entries: []string{addr}, Services: []string{"s"}, Callers: 2, Rate: 500,
		Duration: 200 * time.Millisecond, Deadline: 10 * time.Second, NonIdempotent: 1, Replay: 1, Resends: 2,
		BodyBytes: 64, MaxInFlight: 100, Upstreams: []string{addr}, Seed: 3}))
	var s Summary
	is.NoErr(json.Unmarshal(out.Bytes(), &s))
	is.True(s.Sent > 20)
	is.Equal(s.Sent, s.Ran+3)
	is.Equal([]int{s.Resent, s.Mismatched, s.NotRun, s.Unknown, s.Lost, s.Late}, []int{1, 1, 1, 1, 0, 0})
	is.Equal(s.Replayed, s.Ran)
	is.Equal(s.Doubled, s.Ran) // the fake entry runs every replay again
	is.Equal(len(s.Evidence.DoubledRuns), s.Ran)
	is.Equal(len(s.Evidence.NotRunButRan), 1)
	is.True(s.P99MS >= s.P50MS && s.P50MS > 0)
}
