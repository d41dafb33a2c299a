// Command celeryport runs instances of the serving layer, operators' commands, stand-in
// upstreams and the load generator.
package main

import (
	"context"
	"os"

	"celeryport/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
