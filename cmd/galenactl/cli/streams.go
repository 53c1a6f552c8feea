// Package cli provides what all commands of galenactl share: streams, global
// flags, output and errors.
package cli

import (
	"bytes"
	"io"
	"os"

	"golang.org/x/term"
)

// IOStreams are the streams of a command.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// Terminal is true if Out is a terminal.
	Terminal bool
}

// SystemStreams returns the streams of the process.
func SystemStreams() *IOStreams {
	return &IOStreams{
		In:       os.Stdin,
		Out:      os.Stdout,
		ErrOut:   os.Stderr,
		Terminal: term.IsTerminal(int(os.Stdout.Fd())),
	}
}

// TestStreams returns streams that write to the buffers out and errOut.
func TestStreams(terminal bool) (s *IOStreams, out, errOut *bytes.Buffer) {
	out, errOut = &bytes.Buffer{}, &bytes.Buffer{}
	return &IOStreams{In: &bytes.Buffer{}, Out: out, ErrOut: errOut, Terminal: terminal}, out, errOut
}
