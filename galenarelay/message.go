package galenarelay

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenajob"
)

// RPC methods of a relay and of the owner that uses it.
const (
	// MethodCalls hands calls to a relay. Its answer only says that the relay has them.
	MethodCalls = "relay.calls"
	// MethodResults hands the results of calls to the owner.
	MethodResults = "relay.results"
)

// kind is the kind of a call to an instance.
type kind uint8

const (
	kindStart kind = iota + 1
	kindStop
	kindPace
	kindPoll
)

// call is one call to an instance.
type call struct {
	ID       uint64                `cbor:"1,keyasint"`
	Kind     kind                  `cbor:"2,keyasint"`
	Instance galenahead.InstanceID `cbor:"3,keyasint"`
	Address  string                `cbor:"4,keyasint"`
	Fence    int64                 `cbor:"5,keyasint"`
	// Limit bounds the call, and a poll beyond Wait.
	Limit time.Duration `cbor:"6,keyasint"`
	// The following are set for commands.
	Job        galenahead.JobID  `cbor:"7,keyasint,omitempty"`
	Item       galenajob.ItemKey `cbor:"8,keyasint,omitempty"`
	Run        int64             `cbor:"9,keyasint,omitempty"`
	Payload    string            `cbor:"10,keyasint,omitempty"`
	Deadline   int64             `cbor:"11,keyasint,omitempty"`
	Checkpoint string            `cbor:"12,keyasint,omitempty"`
	Ticket     string            `cbor:"13,keyasint,omitempty"`
	Percent    int               `cbor:"14,keyasint,omitempty"`
	// The following, and Deadline, are set for polls.
	Cursor int64         `cbor:"15,keyasint,omitempty"`
	Wait   time.Duration `cbor:"16,keyasint,omitempty"`
}

// newCommand returns the call of a command.
func newCommand(k kind, a *galenajob.Action, limit time.Duration) call {
	return call{
		Kind: k, Instance: a.Instance.ID, Address: a.Instance.Address, Fence: a.Fence, Limit: limit, Job: a.Item.Job, Item: a.Item.Item,
		Run: a.Run, Payload: a.Payload, Deadline: a.Deadline, Checkpoint: a.Checkpoint, Ticket: a.Ticket, Percent: a.Percent,
	}
}

// newPoll returns the call of a poll.
func newPoll(req *galenajob.PollRequest, wait, limit time.Duration) call {
	return call{
		Kind: kindPoll, Instance: req.Instance.ID, Address: req.Instance.Address, Fence: req.Fence, Limit: limit,
		Deadline: req.Deadline, Cursor: req.Cursor, Wait: wait,
	}
}

func (c *call) instance() galenajob.Instance {
	return galenajob.Instance{ID: c.Instance, Address: c.Address}
}

// action returns the command of the call.
func (c *call) action() galenajob.Action {
	return galenajob.Action{
		Instance: c.instance(), Fence: c.Fence, Item: galenajob.ItemID{Job: c.Job, Item: c.Item}, Run: c.Run,
		Payload: c.Payload, Deadline: c.Deadline, Checkpoint: c.Checkpoint, Ticket: c.Ticket, Percent: c.Percent,
	}
}

// pollRequest returns the poll of the call.
func (c *call) pollRequest() galenajob.PollRequest {
	return galenajob.PollRequest{Instance: c.instance(), Fence: c.Fence, Cursor: c.Cursor, Deadline: c.Deadline}
}

// errorCode tells the errors of calls apart that an owner treats differently.
type errorCode uint8

const (
	errorNone errorCode = iota
	errorOther
	errorFenced
	errorExhausted
	errorOtherIncarnation
	errorRefused
)

// result is the result of a call.
type result struct {
	ID        uint64            `cbor:"1,keyasint"`
	Outcome   galenajob.Outcome `cbor:"2,keyasint,omitempty"`
	Clock     int64             `cbor:"3,keyasint,omitempty"`
	Error     errorCode         `cbor:"4,keyasint,omitempty"`
	ErrorText string            `cbor:"5,keyasint,omitempty"`
	// The following are set for polls.
	Born int64     `cbor:"6,keyasint,omitempty"`
	Runs []wireRun `cbor:"7,keyasint,omitempty"`
	Ends []wireEnd `cbor:"8,keyasint,omitempty"`
	More bool      `cbor:"9,keyasint,omitempty"`
}

// wireRun and wireEnd are a galenajob.Run and a galenajob.End in compact form.
type wireRun struct {
	_          struct{} `cbor:",toarray"`
	Job        galenahead.JobID
	Item       galenajob.ItemKey
	Number     int64
	Checkpoint string
	Percent    int
	Usage      int64
}

type wireEnd struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64
	Job        galenahead.JobID
	Item       galenajob.ItemKey
	Number     int64
	Reason     galenajob.EndReason
	Checkpoint string
}

// setPoll sets the response to a poll.
func (r *result) setPoll(resp *galenajob.PollResponse) {
	r.Clock, r.Born, r.More = resp.Clock, resp.Born, resp.More
	for _, x := range resp.Runs {
		r.Runs = append(r.Runs, wireRun{Job: x.Item.Job, Item: x.Item.Item, Number: x.Number, Checkpoint: x.Checkpoint, Percent: x.Percent, Usage: x.Usage})
	}
	for _, x := range resp.Ends {
		r.Ends = append(r.Ends, wireEnd{
			Sequence: x.Sequence, Job: x.Item.Job, Item: x.Item.Item, Number: x.Number, Reason: x.Reason, Checkpoint: x.Checkpoint,
		})
	}
}

// pollResponse returns the response to a poll.
func (r *result) pollResponse() galenajob.PollResponse {
	resp := galenajob.PollResponse{Clock: r.Clock, Born: r.Born, More: r.More}
	for _, x := range r.Runs {
		resp.Runs = append(resp.Runs, galenajob.Run{
			Item: galenajob.ItemID{Job: x.Job, Item: x.Item}, Number: x.Number, Checkpoint: x.Checkpoint, Percent: x.Percent, Usage: x.Usage,
		})
	}
	for _, x := range r.Ends {
		resp.Ends = append(resp.Ends, galenajob.End{
			Sequence: x.Sequence, Item: galenajob.ItemID{Job: x.Job, Item: x.Item}, Number: x.Number, Reason: x.Reason, Checkpoint: x.Checkpoint,
		})
	}
	return resp
}

func (r *result) setError(err error) {
	if err == nil {
		return
	}
	r.ErrorText = err.Error()
	switch {
	case errors.Is(err, galenafleet.ErrFenced):
		r.Error = errorFenced
	case errors.Is(err, galenafleet.ErrExhausted):
		r.Error = errorExhausted
	case errors.Is(err, galenafleet.ErrOtherIncarnation):
		r.Error = errorOtherIncarnation
	case errors.Is(err, galenafleet.ErrRefused):
		r.Error = errorRefused
	default:
		r.Error = errorOther
	}
}

// err returns the error of the call.
func (r *result) err() error {
	switch r.Error {
	case errorNone:
		return nil
	case errorFenced:
		return eris.Wrap(galenafleet.ErrFenced, r.ErrorText)
	case errorExhausted:
		return eris.Wrap(galenafleet.ErrExhausted, r.ErrorText)
	case errorOtherIncarnation:
		return eris.Wrap(galenafleet.ErrOtherIncarnation, r.ErrorText)
	case errorRefused:
		return eris.Wrap(galenafleet.ErrRefused, r.ErrorText)
	}
	return eris.New(r.ErrorText)
}

// callBatch is the parameter of MethodCalls.
type callBatch struct {
	// Session identifies the client that sends the calls.
	Session uint64 `json:"session"`
	// ReplyTo is the peer address of the client.
	ReplyTo string `json:"reply_to"`
	// SentUS is when the batch was sent, in microseconds of the client's steady clock.
	SentUS int64 `json:"sent_us"`
	// Calls is the CBOR encoding of a list of calls.
	Calls []byte `json:"calls"`
}

// resultBatch is the parameter of MethodResults.
type resultBatch struct {
	Session uint64 `json:"session"`
	// Results is the CBOR encoding of a list of results.
	Results []byte `json:"results"`
}

func encode[T any](items []T) ([]byte, error) {
	b, err := cbor.Marshal(items)
	return b, eris.Wrap(err, "encode a batch")
}

func decode[T any](b []byte) ([]T, error) {
	var items []T
	err := cbor.Unmarshal(b, &items)
	return items, eris.Wrap(err, "decode a batch")
}
