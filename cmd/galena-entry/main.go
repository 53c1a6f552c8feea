// Command galena-entry is the entry daemon: it answers callers through the
// upstreams that announced themselves.
package main

import (
	"os"

	"github.com/galenahead/galenahead/cmd/galena-entry/command"
	"github.com/galenahead/galenahead/galenadaemon"
)

func main() {
	os.Exit(galenadaemon.Main(command.NewCmdEntry(nil)))
}
