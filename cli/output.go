package cli

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"
)

// Output formats of commands.
const (
	outputName  = "output"
	outputTable = "table"
	outputJSON  = "json"
	outputCSV   = "csv"
	outputHTML  = "html"
)

// outputFlag returns the --output flag; the first format is the default.
func outputFlag(formats ...string) urfave.Flag {
	return &urfave.StringFlag{
		Name:  outputName,
		Usage: "output format: " + strings.Join(formats, ", "),
		Value: formats[0],
		Validator: func(format string) error {
			if !slices.Contains(formats, format) {
				return errors.Newf("%q is none of %s", format, strings.Join(formats, ", "))
			}
			return nil
		},
	}
}
