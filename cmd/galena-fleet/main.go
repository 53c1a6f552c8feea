// Command galena-fleet runs galenahead on the users' platform, either as an entry
// daemon that serves callers or as a control daemon that may own the fleet.
package main

import (
	"os"

	"github.com/galenahead/galenahead/cmd/galena-fleet/command"
	"github.com/galenahead/galenahead/galenadaemon"
)

func main() {
	os.Exit(galenadaemon.Main(command.NewCmdFleet()))
}
