package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenapb"
)

// changeHeader is the header of the table that shows the result of a change.
var changeHeader = []string{"REVISION", "IN FORCE", "ROLL-OUT MS"}

// ApplyChange sends one change and prints its result.
func (f *Factory) ApplyChange(ctx context.Context, req *galenapb.ApplyRequest) error {
	return f.ApplyChanges(ctx, []*galenapb.ApplyRequest{req}, 0)
}

// ApplyChanges sends changes in order, each based on the revision of the previous
// one. It waits for at most wait until the last one is in force, and prints the
// result of the last one. With more than one change, the request id of each is
// derived from --request-id, so that a repeated command applies no change twice.
// ApplyChanges returns a UsageError if wait is not shorter than --timeout.
func (f *Factory) ApplyChanges(ctx context.Context, reqs []*galenapb.ApplyRequest, wait time.Duration) error {
	if wait >= f.Flags.Timeout {
		return Usagef("--wait %s is not shorter than --timeout %s", wait, f.Flags.Timeout)
	}
	return f.WithClient(ctx, func(ctx context.Context, c *client.Client) error {
		id := f.requestID()
		base, err := f.baseRevision(ctx, c)
		if err != nil {
			return err
		}
		reqs[len(reqs)-1].WaitMs = wait.Milliseconds()
		firstBase := base
		var r *galenapb.ChangeReply
		for i, req := range reqs {
			req.RequestId = changeID(id, i, len(reqs))
			req.Operator = f.Operator
			req.BaseRevision = base
			if r, err = c.Apply(ctx, req); err != nil {
				return resendHint(err, id, firstBase)
			}
			base = r.GetRevision()
		}
		return f.printChange(r, wait)
	})
}

func (f *Factory) requestID() string {
	if f.Flags.RequestID != "" {
		return f.Flags.RequestID
	}
	return f.NewID()
}

// changeID returns the request id of change i of n: id itself for a single change,
// and otherwise id with the number of the change.
func changeID(id string, i, n int) string {
	if n == 1 {
		return id
	}
	return fmt.Sprintf("%s.%d", id, i+1)
}

// baseRevision returns --base-revision, or else the latest revision. It reads the
// latter with the pools because they are the smallest part of the state.
func (f *Factory) baseRevision(ctx context.Context, c *client.Client) (uint64, error) {
	if f.Flags.BaseRevision != 0 {
		return f.Flags.BaseRevision, nil
	}
	r, err := c.Get(ctx, "pools")
	return r.GetRevision(), err
}

// resendHint adds to err the flags that repeat a change whose outcome is unknown.
func resendHint(err error, id string, base uint64) error {
	if !errors.Is(err, client.ErrNoLeader) {
		return err
	}
	return eris.Wrapf(err, "outcome unknown; repeat with --request-id %s --base-revision %d", id, base)
}

func (f *Factory) printChange(r *galenapb.ChangeReply, wait time.Duration) error {
	row := []any{r.GetRevision(), r.GetInForce(), r.GetRolloutMs()}
	if err := f.Print(r, changeHeader, [][]any{row}); err != nil {
		return err
	}
	if wait > 0 && !r.GetInForce() {
		return eris.Errorf("revision %d is accepted but not in force after %s; see galenactl cluster status",
			r.GetRevision(), wait)
	}
	return nil
}

// ChangeMember changes one replica and prints the result.
func (f *Factory) ChangeMember(ctx context.Context, req *galenapb.ChangeMemberRequest) error {
	return f.WithClient(ctx, func(ctx context.Context, c *client.Client) error {
		r, err := c.ChangeMember(ctx, req)
		if err != nil {
			return err
		}
		return f.printChange(r, 0)
	})
}
