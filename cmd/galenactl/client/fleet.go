package client

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenafleet"
)

// FleetClient queries the owner of a fleet among the control daemons at the given
// peer addresses.
type FleetClient struct {
	Addresses []string
	RPCClient galenahead.RPCClient
}

// View returns a part of the fleet. It calls the daemons in turn until the owner
// of the fleet replies, which is safe because a query changes nothing. The error
// is ErrNoLeader if ctx ended before a reply, or galenahead.ErrInvalid or
// galenahead.ErrNotFound if a daemon rejected the query.
func (c *FleetClient) View(ctx context.Context, q galenafleet.ViewQuery) (galenafleet.View, error) {
	for attempts := 0; ; attempts++ {
		v, err := c.viewAt(ctx, c.Addresses[attempts%len(c.Addresses)], q)
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, galenahead.ErrInvalid):
			return v, daemonError{err.Error(), galenahead.ErrInvalid}
		case errors.Is(err, galenahead.ErrNotFound):
			return v, daemonError{err.Error(), galenahead.ErrNotFound}
		}
		if (attempts+1)%len(c.Addresses) != 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return v, noOwnerError{err}
		case <-time.After(retryDelay):
		}
	}
}

func (c *FleetClient) viewAt(ctx context.Context, address string, q galenafleet.ViewQuery) (galenafleet.View, error) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var v galenafleet.View
	err := c.RPCClient.Call(attemptCtx, address, galenafleet.MethodView, q, &v)
	return v, eris.Wrapf(err, "ask %s", address)
}

// noOwnerError is an ErrNoLeader with the error of the last attempt.
type noOwnerError struct{ lastErr error }

func (e noOwnerError) Error() string {
	return "no owner of the fleet reachable (" + e.lastErr.Error() + "); check --control, which takes peer addresses here"
}

func (noOwnerError) Is(target error) bool { return target == ErrNoLeader }
