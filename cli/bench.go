package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// benchCommand is not there yet.
func benchCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "bench"}
}
