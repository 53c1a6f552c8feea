// Package factory provides the dependencies that the commands of galena-bench
// share.
package factory

import (
	"io"
	"os"

	"golang.org/x/term"
)

// IOStreams are the output streams of a command.
type IOStreams struct {
	Out, Err io.Writer
	// Terminal is true if Out is a terminal.
	Terminal bool
}

// Factory holds the dependencies of the commands.
type Factory struct {
	IO IOStreams
}

// NewFactory returns a factory that uses the standard streams of the process.
func NewFactory() *Factory {
	return &Factory{IO: IOStreams{
		Out: os.Stdout, Err: os.Stderr, Terminal: term.IsTerminal(int(os.Stdout.Fd())),
	}}
}
