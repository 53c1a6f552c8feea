package cli

import (
	"errors"
	"fmt"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenasettings"
)

// Exit codes of the process.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitNoLeader = 4
)

// UsageError is an error in the use of the command line.
type UsageError struct{ Message string }

// Error returns the message.
func (e UsageError) Error() string { return e.Message }

// Usagef returns a UsageError with a formatted message.
func Usagef(format string, args ...any) error {
	return UsageError{fmt.Sprintf(format, args...)}
}

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	var usage UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.Is(err, galenasettings.ErrSettings):
		return ExitUsage
	case errors.Is(err, galenahead.ErrConflict):
		return ExitConflict
	case errors.Is(err, client.ErrNoLeader):
		return ExitNoLeader
	}
	return ExitFailure
}
