package cli

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"
)

// The forms in which commands print their results.
const (
	outputName  = "output"
	outputTable = "table"
	outputJSON  = "json"
	outputCSV   = "csv"
	outputHTML  = "html"
)

// outputFlag returns the --output flag; the first form is the default.
func outputFlag(forms ...string) urfave.Flag {
	return &urfave.StringFlag{
		Name:  outputName,
		Usage: "form of the output: " + strings.Join(forms, ", "),
		Value: forms[0],
		Validator: func(form string) error {
			if !slices.Contains(forms, form) {
				return errors.Newf("%q is none of %s", form, strings.Join(forms, ", "))
			}
			return nil
		},
	}
}
