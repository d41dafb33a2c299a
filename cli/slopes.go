package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// slopesCommand is not there yet.
func slopesCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "slopes"}
}
