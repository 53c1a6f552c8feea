package galenastate

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"github.com/galenahead/galenahead"
	"github.com/rotisserie/eris"
)

// ErrFenced reports a driver's command with an older epoch or step number.
var ErrFenced = eris.New("epoch or step number is not the current one")

// Code is the kind of a result.
type Code uint8

// Codes of results.
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
	// Revision is the accepted revision, or the current one for a driver's
	// change that entries need not know and for a refused change.
	Revision galenahead.Revision `cbor:"2,keyasint,omitempty"`
	// Message names the field, what was found and what is allowed.
	Message string `cbor:"3,keyasint,omitempty"`
	// Winner is set with CodeConflict.
	Winner *Accepted `cbor:"4,keyasint,omitempty"`
	// Repeated marks a driver's command that had been applied before; its
	// effect must not be repeated.
	Repeated bool `cbor:"5,keyasint,omitempty"`
}

// Accepted is an accepted change.
type Accepted struct {
	Revision  galenahead.Revision `cbor:"1,keyasint" json:"revision"`
	RequestID string              `cbor:"2,keyasint,omitempty" json:"request_id,omitempty"`
	Operator  string              `cbor:"3,keyasint,omitempty" json:"operator,omitempty"`
	TimeMS    int64               `cbor:"4,keyasint,omitempty" json:"time_ms"`
	Change    Change              `cbor:"5,keyasint" json:"change"`
}

// String returns the change as JSON.
func (a Accepted) String() string {
	b, err := json.Marshal(a)
	if err != nil {
		return a.Summary()
	}
	return string(b)
}

// Summary returns the change as one line.
func (a Accepted) Summary() string {
	b, err := json.Marshal(a.Change)
	if err != nil {
		return a.Change.Kind()
	}
	return string(b)
}

// ConflictError is an ErrConflict with the change that won.
type ConflictError struct {
	Winner Accepted
	// Revision is the current revision, to base the next attempt on.
	Revision galenahead.Revision
}

// Error names the winner.
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

// ResultOf returns the result for an error of this package. Errors that wrap
// no sentinel error of a code become CodeInvalid.
func ResultOf(err error) Result {
	if err == nil {
		return Result{}
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		winner := conflict.Winner
		return Result{Code: CodeConflict, Winner: &winner, Revision: conflict.Revision}
	}
	var refused *refusal
	if errors.As(err, &refused) {
		return Result{Code: refused.code, Message: refused.message}
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

// DecodeResult decodes what Apply returned.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := decoding.Unmarshal(b, &r)
	return r, err
}

// refusal is why a command is not accepted.
type refusal struct {
	code    Code
	message string
}

func (r *refusal) Error() string { return r.message }

func (r *refusal) Unwrap() error { return codeErrors[r.code] }

// invalid names a field, what was found in it and what is allowed.
func invalid(field string, found any, allowed string) error {
	return &refusal{CodeInvalid, describe(field, found, allowed)}
}

func notFound(field string, found any) error {
	return &refusal{CodeNotFound, describe(field, found, "an existing name")}
}

func fenced(field string, found, current any) error {
	return &refusal{CodeFenced, describe(field, found, fmt.Sprint(current))}
}

func describe(field string, found any, allowed string) string {
	if reflect.TypeOf(found).Kind() == reflect.String {
		found = fmt.Sprintf("%q", found)
	}
	return fmt.Sprintf("%s: found %v, allowed is %s", field, found, allowed)
}
