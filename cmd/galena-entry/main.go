// Command galena-entry runs an entry daemon, which forwards the requests of
// callers to the upstreams that announced themselves.
package main

import (
	"os"

	"github.com/galenahead/galenahead/cmd/galena-entry/command"
	"github.com/galenahead/galenahead/galenadaemon"
)

func main() {
	os.Exit(galenadaemon.Main(command.NewCmdEntry(nil)))
}
