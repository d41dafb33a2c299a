package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// addressesCommand is not there yet.
func addressesCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "addresses"}
}
