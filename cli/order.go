package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// orderCommand is not there yet.
func orderCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "order"}
}
