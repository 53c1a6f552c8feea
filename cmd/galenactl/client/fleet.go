package client

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenafleet"
)

// Fleet asks the owner of a fleet, whose control daemons answer at the peer
// addresses.
type Fleet struct {
	Addresses []string
	Caller    galenahead.Caller
}

// View returns a part of the fleet. It asks the daemons in turn until one that
// owns the fleet answers, since an operator's question changes nothing. It fails
// with ErrNoLeader when ctx ended before an answer, and with
// galenahead.ErrInvalid and galenahead.ErrNotFound.
func (c *Fleet) View(ctx context.Context, q galenafleet.ViewQuery) (galenafleet.View, error) {
	for n := 0; ; n++ {
		v, err := c.viewAt(ctx, c.Addresses[n%len(c.Addresses)], q)
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, galenahead.ErrInvalid):
			return v, rejected{err.Error(), galenahead.ErrInvalid}
		case errors.Is(err, galenahead.ErrNotFound):
			return v, rejected{err.Error(), galenahead.ErrNotFound}
		}
		if (n+1)%len(c.Addresses) != 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return v, noOwner{err}
		case <-time.After(pause):
		}
	}
}

func (c *Fleet) viewAt(ctx context.Context, address string, q galenafleet.ViewQuery) (galenafleet.View, error) {
	one, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var v galenafleet.View
	err := c.Caller.Call(one, address, galenafleet.MethodView, q, &v)
	return v, eris.Wrapf(err, "ask %s", address)
}

// noOwner carries the last answer of an attempt.
type noOwner struct{ last error }

func (e noOwner) Error() string {
	return "no owner of the fleet reachable (" + e.last.Error() + "); check --control, which takes peer addresses here"
}

func (noOwner) Is(target error) bool { return target == ErrNoLeader }
