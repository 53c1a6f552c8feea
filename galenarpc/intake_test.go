package galenarpc

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenaintake"
)

// Guards against messages that take far more memory than they are charged, and against texts that are
// taken for lists.
func TestDecodedMessagesAreCharged(t *testing.T) {
	is := is.New(t)
	for text, elements := range map[string]int{
		`{"a":[` + strings.Repeat(`{},`, 999) + `{}]}`:                2 + 1000 + 999,
		`{"a":"` + strings.Repeat(`{[,`, 1000) + `"}`:                 1,
		`{"a":"\"` + strings.Repeat(`{[,`, 1000) + `\\","b":[` + `]}`: 3,
		`{"a":"` + strings.Repeat(`\\`, 500) + `","b":"\\\",{"}`:      2,
		`["` + strings.Repeat(`x`, 1000):                              1,
	} {
		is.Equal(decodedBytes([]byte(text)), int64(len(text)+elementBytes*elements))
	}
	is.Equal(decodedBytes([]byte(`[{},{}]`)), int64(7))
}

// FuzzDecodedBytes compares the count of a message with that of its tokens.
func FuzzDecodedBytes(f *testing.F) {
	f.Add(`{"a":[1,"x\"{",{"b":null}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		text = strings.Repeat(" ", smallFrame) + text
		n := decodedBytes([]byte(text))
		if !json.Valid([]byte(text)) {
			return
		}
		elements := 0
		dec := json.NewDecoder(strings.NewReader(text))
		for {
			token, err := dec.Token()
			if err != nil {
				break
			}
			if d, ok := token.(json.Delim); ok && (d == '{' || d == '[') {
				elements++
			}
		}
		if least := int64(len(text) + elementBytes*elements); n < least {
			t.Fatalf("%d bytes for %q, want %d or more", n, text, least)
		}
	})
}

// Guards against a flood of messages or calls that keeps out others, and against charges that stay.
func TestHeavyConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	m := &Mux{}
	release := make(chan struct{})
	Handle(m, "wait", func(ctx context.Context, _ []int) (int, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return 0, nil
	})
	Handle(m, "double", func(_ context.Context, n int) (int, error) { return 2 * n, nil })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &Server{Mux: m, Budget: &galenaintake.Budget{Bytes: 2 << 20}}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	crowd := &Client{}
	defer crowd.Close()
	for range 300 {
		go func() { _ = crowd.Call(ctx, ln.Addr().String(), "wait", []int{1}, nil) }()
	}
	other := &Client{}
	defer other.Close()
	for i := range 50 {
		n := 0
		is.NoErr(other.Call(ctx, ln.Addr().String(), "double", i, &n))
		is.Equal(n, 2*i)
		time.Sleep(time.Millisecond)
	}
	large := &Client{}
	defer large.Close()
	is.True(large.Call(ctx, ln.Addr().String(), "wait", make([]int, 100_000), nil) != nil) // it has no room
	close(release)
	cancel()
	is.NoErr(<-done)
	for end := time.Now().Add(10 * time.Second); s.Budget.Figures().Used != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.Budget.Figures().Used, int64(0))
}
