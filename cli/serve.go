package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// serveCommand is not there yet.
func serveCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "serve"}
}
