package galenastate

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"github.com/galenahead/galenahead"
	"github.com/rotisserie/eris"
)

// ErrFenced reports a driver command whose epoch or step number is not current.
var ErrFenced = eris.New("epoch or step number is not the current one")

// Code is the outcome category of a command.
type Code uint8

// Result codes.
const (
	CodeOK Code = iota
	CodeConflict
	CodeInvalid
	CodeNotFound
	CodeRequestIDReused
	CodeQuota
	CodeFenced
)

var codeErrors = []error{
	CodeConflict:        galenahead.ErrConflict,
	CodeInvalid:         galenahead.ErrInvalid,
	CodeNotFound:        galenahead.ErrNotFound,
	CodeRequestIDReused: galenahead.ErrRequestIDReused,
	CodeQuota:           galenahead.ErrQuota,
	CodeFenced:          ErrFenced,
}

// Result is the outcome of one command.
type Result struct {
	Code Code `cbor:"1,keyasint,omitempty"`
	// Revision is the revision assigned to an accepted change. For a rejected
	// change, and for a driver change that entries do not need, it is the
	// current revision.
	Revision galenahead.Revision `cbor:"2,keyasint,omitempty"`
	// Message names the field, the value found and the values allowed.
	Message string `cbor:"3,keyasint,omitempty"`
	// Winner is the oldest change in the history that conflicts with the
	// command's base revision. It is set with CodeConflict.
	Winner *AcceptedChange `cbor:"4,keyasint,omitempty"`
	// Repeated is set for a driver command that was already applied. The
	// proposer must not execute its effect again.
	Repeated bool `cbor:"5,keyasint,omitempty"`
}

// AcceptedChange is an accepted operator change.
type AcceptedChange struct {
	Revision  galenahead.Revision `cbor:"1,keyasint" json:"revision"`
	RequestID string              `cbor:"2,keyasint,omitempty" json:"request_id,omitempty"`
	Operator  string              `cbor:"3,keyasint,omitempty" json:"operator,omitempty"`
	TimeMS    int64               `cbor:"4,keyasint,omitempty" json:"time_ms"`
	Change    Change              `cbor:"5,keyasint" json:"change"`
}

// String returns the change as JSON.
func (a AcceptedChange) String() string {
	b, err := json.Marshal(a)
	if err != nil {
		return a.Summary()
	}
	return string(b)
}

// Summary returns the change as one line.
func (a AcceptedChange) Summary() string {
	b, err := json.Marshal(a.Change)
	if err != nil {
		return a.Change.Kind()
	}
	return string(b)
}

// ConflictError is an ErrConflict that carries the conflicting change.
type ConflictError struct {
	// Winner is the oldest change in the history after the base revision.
	Winner AcceptedChange
	// Revision is the current revision, on which the next attempt can be based.
	Revision galenahead.Revision
}

// Error describes the conflicting change and the base revision for a retry.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("base revision is not the latest: revision %d by %q won: %s; retry with base revision %d",
		e.Winner.Revision, e.Winner.Operator, e.Winner.Summary(), e.Revision)
}

// Unwrap returns ErrConflict.
func (*ConflictError) Unwrap() error { return galenahead.ErrConflict }

// Err returns nil for CodeOK, a *ConflictError for CodeConflict, and otherwise
// an error that wraps the sentinel error of the code.
func (r Result) Err() error {
	switch {
	case r.Code == CodeOK:
		return nil
	case r.Code == CodeConflict && r.Winner != nil:
		return &ConflictError{Winner: *r.Winner, Revision: r.Revision}
	case int(r.Code) < len(codeErrors):
		return eris.Wrap(codeErrors[r.Code], r.Message)
	}
	return eris.Errorf("result has unknown code %d: %s", r.Code, r.Message)
}

// ResultFromError converts an error of this package to a result. An error that
// wraps no code's sentinel error becomes CodeInvalid.
func ResultFromError(err error) Result {
	if err == nil {
		return Result{}
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		winner := conflict.Winner
		return Result{Code: CodeConflict, Winner: &winner, Revision: conflict.Revision}
	}
	var rejected *rejection
	if errors.As(err, &rejected) {
		return Result{Code: rejected.code, Message: rejected.message}
	}
	for code, sentinel := range codeErrors {
		if sentinel != nil && errors.Is(err, sentinel) {
			return Result{Code: Code(code), Message: err.Error()}
		}
	}
	return Result{Code: CodeInvalid, Message: err.Error()}
}

// Encode returns the encoded result.
func (r Result) Encode() []byte {
	b, err := encoding.Marshal(r)
	if err != nil {
		// Results hold only strings and integers, which always encode.
		panic(err)
	}
	return b
}

// DecodeResult decodes a result returned by Apply.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := decoding.Unmarshal(b, &r)
	return r, err
}

// rejection is the error for a command that is not accepted.
type rejection struct {
	code    Code
	message string
}

func (r *rejection) Error() string { return r.message }

func (r *rejection) Unwrap() error { return codeErrors[r.code] }

// invalid rejects a field's value and says what is allowed.
func invalid(field string, found any, allowed string) error {
	return &rejection{CodeInvalid, describe(field, found, allowed)}
}

func notFound(field string, found any) error {
	return &rejection{CodeNotFound, describe(field, found, "an existing name")}
}

func fenced(field string, found, current any) error {
	return &rejection{CodeFenced, describe(field, found, fmt.Sprint(current))}
}

func describe(field string, found any, allowed string) string {
	if reflect.TypeOf(found).Kind() == reflect.String {
		found = fmt.Sprintf("%q", found)
	}
	return fmt.Sprintf("%s: found %v, allowed is %s", field, found, allowed)
}
