package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// loadCommand is not there yet.
func loadCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "load"}
}
