// Command galena-bench replays recorded traces through the routing and queueing
// decisions of galenahead and through baseline policies, and compares the results.
package main

import (
	"fmt"
	"os"

	"github.com/galenahead/galenahead/test/galena-bench/factory"
	"github.com/galenahead/galenahead/test/galena-bench/root"
)

func main() {
	f := factory.NewFactory()
	if err := root.NewCmdRoot(f).Execute(); err != nil {
		fmt.Fprintln(f.IO.Err, err)
		os.Exit(1)
	}
}
