package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/event"
)

// eventsCommand prints the catalogue of log events, docs/EVENTS.md.
func eventsCommand(stdout io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "events",
		Usage: "print the catalogue of log events, docs/EVENTS.md",
		Action: func(context.Context, *urfave.Command) error {
			fmt.Fprint(stdout, event.Document())
			return nil
		},
	}
}
