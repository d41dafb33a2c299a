package cli

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/accounting"
	"celeryport/ledger"
)

// The flags that restrict a report.
const (
	flagSince        = "since"
	flagOrganisation = "organisation"
	flagClass        = "class"
)

// reportCommand prints who got what.
func reportCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "report",
		Usage: "report what was received, served, refused and failed, by organisation, class and service",
		Flags: connectFlags(append(restrictFlags(), outputFlag(outputTable, outputJSON, outputCSV))...),
		Action: func(ctx context.Context, c *urfave.Command) error {
			query, err := reportQuery(c, time.Now())
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			o, err := newOperator(c)
			if err != nil {
				return err
			}
			var report ledger.Report
			if err := o.ask(ctx, accounting.CommandReport, query, &report); err != nil {
				return readOnly(err)
			}
			return printReport(stdout, &report, c.String(outputName))
		},
	}
}

func restrictFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.StringFlag{Name: flagSince, Usage: "a duration back from now, such as 30m, or a time such as 2026-03-01T09:00:00Z"},
		&urfave.StringFlag{Name: flagOrganisation, Usage: "only this organisation and those below it"},
		&urfave.StringFlag{Name: flagClass, Usage: "only this class and those below it"},
	}
}

func reportQuery(c *urfave.Command, now time.Time) (ledger.Query, error) {
	since, err := parseSince(c.String(flagSince), now)
	return ledger.Query{
		Since:        since,
		Organisation: c.String(flagOrganisation),
		Class:        c.String(flagClass),
	}, err
}

func parseSince(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago.Abs()), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	return at, errors.Wrap(err, "--"+flagSince+" is neither a duration nor a time")
}

func printReport(stdout io.Writer, report *ledger.Report, form string) error {
	switch form {
	case outputJSON:
		return writeJSON(stdout, report)
	case outputCSV:
		return report.WriteCSV(stdout)
	}
	return report.WriteTable(stdout)
}
