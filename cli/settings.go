package cli

import (
	"io"

	urfave "github.com/urfave/cli/v3"
)

// settingsCommand groups the commands about settings files and the settings tree
// in force.
func settingsCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "settings",
		Usage: "check, apply and show settings",
		Commands: []*urfave.Command{
			settingsCheckCommand(stdout, stderr),
			settingsApplyCommand(stdout, stderr),
			settingsShowCommand(stdout, stderr),
			settingsHashKeyCommand(stdout, stderr),
			settingsDocumentCommand(stdout, stderr),
		},
	}
}
