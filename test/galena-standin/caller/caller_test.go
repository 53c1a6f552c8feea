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

// fakeEntry is an entry that answers every request, some of them wrongly.
type fakeEntry struct {
	mu   sync.Mutex
	runs int
	// attempts counts the attempts for each key.
	attempts map[string]int
	// faultFor returns the fault in the response to the first attempt of the nth
	// request: lose (no response), cross (the key of another request), or a false
	// outcome not_run or unknown. An empty string means no fault.
	faultFor func(n int) string
}

func (f *fakeEntry) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/evidence" {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = json.NewEncoder(ctx).Encode(map[string]any{"runs": f.attempts, "peak_in_flight": 5})
		return
	}
	key := string(ctx.Request.Header.Peek("X-Galena-Key"))
	f.mu.Lock()
	f.attempts[key]++
	f.runs++
	run, fault := f.runs, ""
	if f.attempts[key] == 1 {
		fault = f.faultFor(len(f.attempts))
	}
	f.mu.Unlock()
	body := fmt.Sprintf("%s\nrun-%d\n%s", key, run, ctx.PostBody())
	outcome := "ran"
	switch fault {
	case "lose":
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	case "cross":
		body = strings.Replace(body, "-", "-x", 1)
	case "not_run", "unknown":
		outcome, body = fault, ""
	}
	ctx.Response.Header.Set("X-Galena-Outcome", outcome)
	ctx.SetBodyString(body)
}

// Guards against a load generator that does not count responses to other requests,
// lost responses, requests that ran despite the outcome not_run, or duplicate runs.
func TestSummaryCountsFaults(t *testing.T) {
	is := is.New(t)
	entry := &fakeEntry{attempts: map[string]int{}, faultFor: func(n int) string {
		return map[int]string{3: "lose", 5: "cross", 7: "not_run", 9: "unknown"}[n]
	}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: entry.handle, CloseOnShutdown: true}
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
	is.Equal(s.DuplicateRuns, s.Ran) // the fake entry runs every replay again
	is.Equal(len(s.Evidence.DuplicateRuns), s.Ran)
	is.Equal(len(s.Evidence.NotRunButRan), 1)
	is.True(s.P99MS >= s.P50MS && s.P50MS > 0)
}
