package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// standinCommand is not there yet.
func standinCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "standin"}
}
