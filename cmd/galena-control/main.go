// Command galena-control is the control daemon: it holds a replica of the
// control state, serves operators and drives the fleet.
package main

import (
	"os"

	"github.com/galenahead/galenahead/cmd/galena-control/command"
	"github.com/galenahead/galenahead/galenadaemon"
)

func main() {
	os.Exit(galenadaemon.Main(command.NewCmdControl(nil)))
}
