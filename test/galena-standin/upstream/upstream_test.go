package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
)

// Guards against a leaving upstream that stops before its requests in flight have
// finished, or that does not announce that it is leaving.
func TestLeavingWaitsForRequests(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var announcements []galenahead.Announcement
	entry, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		var a galenahead.Announcement
		_ = json.Unmarshal(ctx.PostBody(), &a)
		mu.Lock()
		announcements = append(announcements, a)
		mu.Unlock()
	}}
	go func() { _ = server.Serve(entry) }()
	defer func() { _ = server.Shutdown() }()

	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	var out bytes.Buffer
	o := &Options{Out: &out, Entries: []string{"127.0.0.1:1", entry.Addr().String()}, Service: "s", Instance: "i",
		Slots: 3, RunTime: 300 * time.Millisecond, Shape: "fixed", IgnoreDeadline: true}
	ctx, cancel := context.WithCancel(t.Context())
	u := New(o)
	done := make(chan error, 1)
	go func() { done <- u.Serve(ctx, ln) }()
	answer := make(chan string, 1)
	go func() { answer <- post(ln.Addr().String(), "1-n1", "body") }()
	for n, _ := u.recorder.state(); n == 0; n, _ = u.recorder.state() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.Equal(<-answer, "1-n1\ni/1\nbody")
	is.NoErr(<-done)
	var e Evidence
	is.NoErr(json.Unmarshal(out.Bytes(), &e))
	is.Equal(e.Runs, map[string]int{"1-n1": 1})
	is.Equal(e.PeakInFlight, 1)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(announcements[0].Leaving, false)
	is.Equal(announcements[0].Slots, 3)
	is.Equal(announcements[len(announcements)-1].Leaving, true)
}

func post(address, key, body string) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + address + "/work")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("X-Galena-Key", key)
	req.SetBodyString(body)
	if err := fasthttp.Do(req, resp); err != nil {
		return err.Error()
	}
	return string(resp.Body())
}

// Guards against run times that ignore the deadline, the failure share or the
// requested mean.
func TestRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &Options{RunTime: time.Second, Shape: "fixed"}
		start := time.Now()
		is.Equal(New(o).simulateRun("200"), fasthttp.StatusGatewayTimeout)
		is.Equal(time.Since(start), 200*time.Millisecond)
		o.IgnoreDeadline = true
		is.Equal(New(o).simulateRun("200"), fasthttp.StatusOK)
		is.Equal(time.Since(start), 1200*time.Millisecond)
		o.FailureShare = 1
		is.Equal(New(o).simulateRun(""), fasthttp.StatusInternalServerError)
		for shape := range strings.FieldsSeq("uniform exponential") {
			u := New(&Options{RunTime: time.Second, Shape: shape, Seed: 7})
			var sum time.Duration
			for range 10000 {
				d, failed := u.drawRunTime()
				is.Equal(failed, false)
				sum += d
			}
			mean := sum / 10000
			is.True(mean > 950*time.Millisecond && mean < 1050*time.Millisecond) // mean of the shape
		}
	})
}
