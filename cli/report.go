package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// reportCommand is not there yet.
func reportCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "report"}
}
