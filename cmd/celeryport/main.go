// Command celeryport is the serving layer's one binary: the entry instance, the
// operators' commands, the stand-ins and the load tool.
package main

import (
	"context"
	"os"

	"celeryport/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
