// Package client calls the control daemons over gRPC. It follows the leader and
// resends calls whose answer was lost.
package client

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapb"
)

const (
	// attemptTimeout bounds one attempt beyond the time that the call itself
	// waits, because a silent network partition returns no error.
	attemptTimeout = 2 * time.Second
	// pause is the time between two rounds over the addresses.
	pause = 200 * time.Millisecond
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// leaderMark precedes the leader's operator address in the message of a
	// daemon that does not lead.
	leaderMark = "leader="
	// leaderRole is the role of the daemon that leads.
	leaderRole = "leader"
)

// ErrNoLeader reports that no control leader answered in time.
var ErrNoLeader = eris.New("no control leader reachable")

// Dialer connects to a control daemon's operator address.
type Dialer func(address string) (*grpc.ClientConn, error)

// Dial connects to address, an IP address with port, without TLS.
func Dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(ConnectParams()))
}

// ConnectParams returns the reconnect times of Dial, which are short because
// an operator waits.
func ConnectParams() grpc.ConnectParams {
	b := backoff.Config{BaseDelay: pause / 2, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * pause}
	return grpc.ConnectParams{Backoff: b, MinConnectTimeout: connectTimeout}
}

// Client calls the leader among the control daemons at the given addresses. It
// is for use by one goroutine.
type Client struct {
	addresses []string
	dial      Dialer
	next      int
	leader    string
	conns     map[string]*grpc.ClientConn
}

// New returns a client for operator addresses, of which at least one is
// needed.
func New(addresses []string, dial Dialer) *Client {
	return &Client{addresses: addresses, dial: dial, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Apply sends a change. After a lost answer it resends the same request, with
// its request id, to the next address. It fails with galenahead.ErrConflict
// when another change won, and with ErrNoLeader when ctx ended before an
// answer.
func (c *Client) Apply(ctx context.Context, req *galenapb.ApplyRequest) (*galenapb.ChangeReply, error) {
	wait := time.Duration(req.GetWaitMs()) * time.Millisecond
	r, err := call(ctx, c, wait, func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.ChangeReply, error) {
		return cc.Apply(ctx, req)
	})
	return checkChange(r, err)
}

// ChangeMember adds, promotes or removes a replica. Its errors are those of
// Apply.
func (c *Client) ChangeMember(ctx context.Context, req *galenapb.ChangeMemberRequest) (*galenapb.ChangeReply, error) {
	r, err := call(ctx, c, 0, func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.ChangeReply, error) {
		return cc.ChangeMember(ctx, req)
	})
	return checkChange(r, err)
}

// Get returns the control state of one kind, or all of it when kind is empty.
func (c *Client) Get(ctx context.Context, kind string) (*galenapb.GetReply, error) {
	return call(ctx, c, 0, func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.GetReply, error) {
		return cc.Get(ctx, &galenapb.GetRequest{Kind: kind})
	})
}

// History returns at most limit accepted changes, newest first.
func (c *Client) History(ctx context.Context, limit int32) (*galenapb.HistoryReply, error) {
	return call(ctx, c, 0, func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.HistoryReply, error) {
		return cc.History(ctx, &galenapb.HistoryRequest{Limit: limit})
	})
}

// Status returns the leader's view of the cluster, or that of the first daemon
// that answers when none leads. Only the leader knows the entries.
func (c *Client) Status(ctx context.Context) (*galenapb.StatusReply, error) {
	var first *galenapb.StatusReply
	var failure error
	for _, address := range c.addresses {
		r, err := c.StatusAt(ctx, address)
		switch {
		case err != nil:
			failure = err
		case r.GetRole() == leaderRole:
			return r, nil
		case first == nil:
			first = r
		}
	}
	if first == nil {
		return nil, noLeader{failure}
	}
	return first, nil
}

// Each calls Status at every address, for what only the answering daemon
// knows. It fails when one of them does not answer.
func (c *Client) Each(ctx context.Context) ([]*galenapb.StatusReply, error) {
	var list []*galenapb.StatusReply
	for _, address := range c.addresses {
		r, err := c.StatusAt(ctx, address)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// StatusAt returns the view of the daemon at an operator address.
func (c *Client) StatusAt(ctx context.Context, address string) (*galenapb.StatusReply, error) {
	r, err := attempt(ctx, c, address, 0, func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.StatusReply, error) {
		return cc.Status(ctx, &galenapb.StatusRequest{})
	})
	if err != nil {
		return nil, eris.Wrapf(typed(err), "status of %s", address)
	}
	return r, nil
}

// Bootstrap starts a blank cluster at the first address. It is never resent
// elsewhere, because a second daemon would start a second cluster.
func (c *Client) Bootstrap(ctx context.Context, req *galenapb.BootstrapRequest) (*galenapb.BootstrapReply, error) {
	r, err := attempt(ctx, c, c.addresses[0], 0,
		func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.BootstrapReply, error) {
			return cc.Bootstrap(ctx, req)
		})
	return r, typed(err)
}

type method[T any] func(context.Context, galenapb.ControlClient) (T, error)

func attempt[T any](ctx context.Context, c *Client, address string, wait time.Duration, fn method[T]) (T, error) {
	conn := c.conns[address]
	if conn == nil {
		var err error
		if conn, err = c.dial(address); err != nil {
			return *new(T), eris.Wrapf(err, "connect to %s", address)
		}
		c.conns[address] = conn
	}
	ctx, cancel := context.WithTimeout(ctx, wait+attemptTimeout)
	defer cancel()
	return fn(ctx, galenapb.NewControlClient(conn))
}

// call tries fn at the last known leader, follows redirects, and goes on with
// the next address when an answer is lost, until ctx ends.
func call[T any](ctx context.Context, c *Client, wait time.Duration, fn method[T]) (T, error) {
	address := c.leader
	if address == "" {
		address = c.addresses[c.next]
	}
	for n := 1; ; n++ {
		r, err := attempt(ctx, c, address, wait, fn)
		if err == nil {
			c.leader = address
			return r, nil
		}
		if !retryable(err) {
			return r, typed(err)
		}
		if address = redirect(err); address == "" {
			address = c.advance()
		}
		if !c.pause(ctx, n) {
			return r, noLeader{err}
		}
	}
}

// advance returns the next configured address.
func (c *Client) advance() string {
	c.leader = ""
	c.next = (c.next + 1) % len(c.addresses)
	return c.addresses[c.next]
}

// pause waits after each round over the addresses. It returns false when ctx
// has ended.
func (c *Client) pause(ctx context.Context, n int) bool {
	if ctx.Err() != nil {
		return false
	}
	if n%(len(c.addresses)+1) != 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

func retryable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded:
		return true
	case codes.FailedPrecondition:
		return strings.Contains(status.Convert(err).Message(), leaderMark)
	}
	return false
}

// redirect returns the leader's address named by err, or "".
func redirect(err error) string {
	_, rest, ok := strings.Cut(status.Convert(err).Message(), leaderMark)
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 || status.Code(err) != codes.FailedPrecondition {
		return ""
	}
	a, perr := netip.ParseAddrPort(strings.TrimRight(fields[0], ".,;)"))
	if perr != nil {
		return ""
	}
	return a.String()
}

// noLeader carries the last answer of an attempt.
type noLeader struct{ last error }

func (e noLeader) Error() string {
	return ErrNoLeader.Error() + " (" + status.Convert(e.last).Message() + "); check --control"
}

func (noLeader) Is(target error) bool { return target == ErrNoLeader }

// rejected carries the message of a daemon and the sentinel error for it.
type rejected struct {
	message string
	kind    error
}

func (e rejected) Error() string { return e.message }

func (e rejected) Unwrap() error { return e.kind }

// typed maps a final gRPC status to an error of galenahead.
func typed(err error) error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	switch s.Code() {
	case codes.Aborted:
		return rejected{"conflict: " + s.Message() + "; read the latest state and apply again", galenahead.ErrConflict}
	case codes.NotFound:
		return rejected{s.Message(), galenahead.ErrNotFound}
	case codes.InvalidArgument:
		return rejected{s.Message(), galenahead.ErrInvalid}
	case codes.Unavailable, codes.DeadlineExceeded:
		return noLeader{err}
	}
	return rejected{s.Message(), errors.New(s.Code().String())}
}

// checkChange turns a reply that reports a lost or refused change into an
// error.
func checkChange(r *galenapb.ChangeReply, err error) (*galenapb.ChangeReply, error) {
	switch {
	case err != nil:
		return nil, err
	case r.GetConflict():
		m := "conflict: " + r.GetWinner() + " won; read the latest state and apply again"
		return r, rejected{m, galenahead.ErrConflict}
	case r.GetError() != "":
		return r, rejected{r.GetError(), galenahead.ErrInvalid}
	}
	return r, nil
}
