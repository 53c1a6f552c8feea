// Package client calls the control daemons: over gRPC, where it follows redirects
// to the leader and resends calls whose reply was lost, and over the daemons' own
// RPC for the views of a fleet.
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
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapb"
)

const (
	// attemptTimeout bounds one attempt, in addition to the time for which the call
	// itself waits, because a network partition that drops packets returns no error.
	attemptTimeout = 2 * time.Second
	// retryDelay is the delay between two rounds of attempts.
	retryDelay = 200 * time.Millisecond
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// leaderPrefix precedes the leader's operator address in the error message of a
	// daemon that is not the leader.
	leaderPrefix = "leader="
	// leaderRole is the role that the leader reports.
	leaderRole = "leader"
)

// ErrNoLeader reports that no control leader replied in time.
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

// ConnectParams returns the connection backoff of Dial, which is short because an
// operator waits for the result.
func ConnectParams() grpc.ConnectParams {
	b := backoff.Config{BaseDelay: retryDelay / 2, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * retryDelay}
	return grpc.ConnectParams{Backoff: b, MinConnectTimeout: connectTimeout}
}

// Client calls the leader among the control daemons at the given addresses. It is
// not safe for concurrent use.
type Client struct {
	addresses    []string
	dial         Dialer
	addressIndex int
	leader       string
	conns        map[string]*grpc.ClientConn
}

// New returns a client for operator addresses, at least one of which is required.
func New(addresses []string, dial Dialer) *Client {
	return &Client{addresses: addresses, dial: dial, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Apply sends a change. If the reply is lost, it resends the same request, with
// the same request id, to the next address. The error is galenahead.ErrConflict if
// a conflicting change was applied first, and ErrNoLeader if ctx ended before a
// reply.
func (c *Client) Apply(ctx context.Context, req *galenapb.ApplyRequest) (*galenapb.ChangeReply, error) {
	wait := time.Duration(req.GetWaitMs()) * time.Millisecond
	r, err := call(ctx, c, wait, func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.ChangeReply, error) {
		return cc.Apply(ctx, req)
	})
	return checkChange(r, err)
}

// ErrOutcomeUnknown reports that a change was rejected after a reply was lost. The change
// may have been made, and may be the reason for the rejection.
var ErrOutcomeUnknown = eris.New("outcome unknown")

// ChangeMember adds, promotes or removes a replica. It returns the same errors as
// Apply, or ErrOutcomeUnknown, since such a request has no id that would let a daemon
// recognize a repeat.
func (c *Client) ChangeMember(ctx context.Context, req *galenapb.ChangeMemberRequest) (*galenapb.ChangeReply, error) {
	lost := false
	r, err := call(ctx, c, 0, func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.ChangeReply, error) {
		var p peer.Peer
		r, err := cc.ChangeMember(ctx, req, grpc.Peer(&p))
		// There is no peer if the request was not sent.
		lost = lost || p.Addr != nil && retryable(err) && status.Code(err) != codes.FailedPrecondition
		return r, err
	})
	r, err = checkChange(r, err)
	if err != nil && lost && !errors.Is(err, ErrNoLeader) {
		return r, eris.Wrapf(ErrOutcomeUnknown, "the reply to an earlier attempt was lost, and a repeat was rejected (%v); see galenactl cluster status", err)
	}
	return r, err
}

// Get returns the records of one kind from the control state, or all records if
// kind is empty.
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
// that replies if there is no leader. Only the leader knows the entries.
func (c *Client) Status(ctx context.Context) (*galenapb.StatusReply, error) {
	var first *galenapb.StatusReply
	var lastErr error
	for _, address := range c.addresses {
		r, err := c.StatusAt(ctx, address)
		switch {
		case err != nil:
			lastErr = err
		case r.GetRole() == leaderRole:
			return r, nil
		case first == nil:
			first = r
		}
	}
	if first == nil {
		return nil, noLeaderError{lastErr}
	}
	return first, nil
}

// StatusAll returns the status of the daemon at each address, for the fields that
// a daemon reports only about itself. It fails if one of them does not reply.
func (c *Client) StatusAll(ctx context.Context) ([]*galenapb.StatusReply, error) {
	var replies []*galenapb.StatusReply
	for _, address := range c.addresses {
		r, err := c.StatusAt(ctx, address)
		if err != nil {
			return nil, err
		}
		replies = append(replies, r)
	}
	return replies, nil
}

// StatusAt returns the status of the daemon at an operator address.
func (c *Client) StatusAt(ctx context.Context, address string) (*galenapb.StatusReply, error) {
	r, err := attempt(ctx, c, address, 0, func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.StatusReply, error) {
		return cc.Status(ctx, &galenapb.StatusRequest{})
	})
	if err != nil {
		return nil, eris.Wrapf(errorFromStatus(err), "status of %s", address)
	}
	return r, nil
}

// Bootstrap starts a new cluster of blank replicas through the first address. The
// request is never resent to another address, because a second daemon would start
// a second cluster.
func (c *Client) Bootstrap(ctx context.Context, req *galenapb.BootstrapRequest) (*galenapb.BootstrapReply, error) {
	r, err := attempt(ctx, c, c.addresses[0], 0,
		func(ctx context.Context, cc galenapb.ControlClient) (*galenapb.BootstrapReply, error) {
			return cc.Bootstrap(ctx, req)
		})
	return r, errorFromStatus(err)
}

// rpcFunc calls one method of a control daemon.
type rpcFunc[T any] func(context.Context, galenapb.ControlClient) (T, error)

// attempt calls fn once at address, for at most wait plus attemptTimeout.
func attempt[T any](ctx context.Context, c *Client, address string, wait time.Duration, fn rpcFunc[T]) (T, error) {
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

// call calls fn at the last known leader, follows redirects to the leader, and
// tries the next address when a reply is lost, until ctx ends.
func call[T any](ctx context.Context, c *Client, wait time.Duration, fn rpcFunc[T]) (T, error) {
	address := c.leader
	if address == "" {
		address = c.addresses[c.addressIndex]
	}
	for attempts := 1; ; attempts++ {
		r, err := attempt(ctx, c, address, wait, fn)
		if err == nil {
			c.leader = address
			return r, nil
		}
		if !retryable(err) {
			return r, errorFromStatus(err)
		}
		if address = redirectAddress(err); address == "" {
			address = c.nextAddress()
		}
		if !c.waitBeforeRetry(ctx, attempts) {
			return r, noLeaderError{err}
		}
	}
}

// nextAddress forgets the leader and returns the next configured address.
func (c *Client) nextAddress() string {
	c.leader = ""
	c.addressIndex = (c.addressIndex + 1) % len(c.addresses)
	return c.addresses[c.addressIndex]
}

// waitBeforeRetry waits for retryDelay after each round, which is one attempt per
// address and one redirect. It returns false when ctx has ended.
func (c *Client) waitBeforeRetry(ctx context.Context, attempts int) bool {
	if ctx.Err() != nil {
		return false
	}
	if attempts%(len(c.addresses)+1) != 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// retryable reports whether err may be resolved by another attempt: the daemon did
// not reply or is not the leader.
func retryable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded:
		return true
	case codes.FailedPrecondition:
		return strings.Contains(status.Convert(err).Message(), leaderPrefix)
	}
	return false
}

// redirectAddress returns the leader's address from the message of err, or "".
func redirectAddress(err error) string {
	_, rest, ok := strings.Cut(status.Convert(err).Message(), leaderPrefix)
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 || status.Code(err) != codes.FailedPrecondition {
		return ""
	}
	address, parseErr := netip.ParseAddrPort(strings.TrimRight(fields[0], ".,;)"))
	if parseErr != nil {
		return ""
	}
	return address.String()
}

// noLeaderError is an ErrNoLeader with the error of the last attempt.
type noLeaderError struct{ lastErr error }

func (e noLeaderError) Error() string {
	return ErrNoLeader.Error() + " (" + status.Convert(e.lastErr).Message() + "); check --control"
}

func (noLeaderError) Is(target error) bool { return target == ErrNoLeader }

// daemonError is an error that a daemon reported. It unwraps to the sentinel error
// for its kind.
type daemonError struct {
	message  string
	sentinel error
}

func (e daemonError) Error() string { return e.message }

func (e daemonError) Unwrap() error { return e.sentinel }

// errorFromStatus maps a gRPC error that is not retried to an error of package
// galenahead or of this package.
func errorFromStatus(err error) error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	switch s.Code() {
	case codes.Aborted:
		return daemonError{"conflict: " + s.Message() + "; read the latest state and apply again", galenahead.ErrConflict}
	case codes.NotFound:
		return daemonError{s.Message(), galenahead.ErrNotFound}
	case codes.InvalidArgument:
		return daemonError{s.Message(), galenahead.ErrInvalid}
	case codes.Unavailable, codes.DeadlineExceeded:
		return noLeaderError{err}
	}
	return daemonError{s.Message(), errors.New(s.Code().String())}
}

// checkChange returns an error if the reply reports a conflict or a rejected
// change.
func checkChange(r *galenapb.ChangeReply, err error) (*galenapb.ChangeReply, error) {
	switch {
	case err != nil:
		return nil, err
	case r.GetConflict():
		message := "conflict: " + r.GetWinner() + " won; read the latest state and apply again"
		return r, daemonError{message, galenahead.ErrConflict}
	case r.GetError() != "":
		return r, daemonError{r.GetError(), galenahead.ErrInvalid}
	}
	return r, nil
}
