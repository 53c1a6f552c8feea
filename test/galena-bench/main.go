// Command galena-bench measures the decisions of galenahead.
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
