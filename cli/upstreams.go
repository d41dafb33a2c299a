package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// upstreamsCommand is not there yet.
func upstreamsCommand(_, _ io.Writer) *urfave.Command {
	return &urfave.Command{Name: "upstreams"}
}
