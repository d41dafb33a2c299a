package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/settings"
)

// settingsDocumentCommand prints docs/SETTINGS.md.
func settingsDocumentCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "document",
		Usage: "print the reference page of all settings, docs/SETTINGS.md",
		Action: func(context.Context, *urfave.Command) error {
			_, err := fmt.Fprint(stdout, settings.Document())
			return err
		},
	}
}
