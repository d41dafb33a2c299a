package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// settingsCommand is not there yet.
func settingsCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "settings"}
}
