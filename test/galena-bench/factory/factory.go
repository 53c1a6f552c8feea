// Package factory provides what the commands of galena-bench
// share.
package factory

import (
	"io"
	"os"

	"golang.org/x/term"
)

// IOStreams are the streams of a command.
type IOStreams struct {
	Out, Err io.Writer
	// Terminal tells that Out is a terminal.
	Terminal bool
}

// Factory provides what commands need.
type Factory struct {
	IO IOStreams
}

// NewFactory returns the factory of the process.
func NewFactory() *Factory {
	return &Factory{IO: IOStreams{
		Out: os.Stdout, Err: os.Stderr, Terminal: term.IsTerminal(int(os.Stdout.Fd())),
	}}
}
