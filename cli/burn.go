package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// burnCommand is not there yet.
func burnCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "burn"}
}
