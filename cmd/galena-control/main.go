// Command galena-control runs a control daemon, which keeps a replica of the
// control state, serves operators and, as the leader, runs waves, moves and jobs.
package main

import (
	"os"

	"github.com/galenahead/galenahead/cmd/galena-control/command"
	"github.com/galenahead/galenahead/galenadaemon"
)

func main() {
	os.Exit(galenadaemon.Main(command.NewCmdControl(nil)))
}
