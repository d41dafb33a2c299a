package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// instancesCommand is not there yet.
func instancesCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "instances"}
}
