package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/ledger"
	"celeryport/load"
)

// errReportDiffers is the error of a comparison that contradicts the report.
var errReportDiffers = errors.New("the report says what its callers contradict")

// loadCompareCommand checks a usage report against the results of a load run.
func loadCompareCommand(stdout io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:      "compare",
		Usage:     "check a report (report --output json) against the only load run (load --output json) in its period",
		ArgsUsage: "RUN REPORT",
		Action: func(_ context.Context, c *urfave.Command) error {
			return runLoadCompare(c, stdout)
		},
	}
}

func runLoadCompare(c *urfave.Command, stdout io.Writer) error {
	if c.NArg() != 2 {
		return usageError("load compare takes a run and a report")
	}
	var run load.Report
	var report ledger.Report
	if err := readJSON(c.Args().Get(0), &run); err != nil {
		return err
	}
	if err := readJSON(c.Args().Get(1), &report); err != nil {
		return err
	}
	contradicted := 0
	for _, d := range load.Compare(run.Accounts, &report) {
		note := ""
		if d.Missing {
			note = " (an instance's end is unknown)"
		} else {
			contradicted++
		}
		fmt.Fprintf(stdout, "%s%s\n", d, note)
	}
	if contradicted > 0 {
		return &ExitError{Code: ExitFailed, Err: errReportDiffers}
	}
	fmt.Fprintf(stdout, "%d accounts agree with the report\n", len(run.Accounts))
	return nil
}

func readJSON(path string, value any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	if err := json.Unmarshal(content, value); err != nil {
		return &ExitError{Code: ExitUsage, Err: errors.Wrapf(err, "decode %s", path)}
	}
	return nil
}
