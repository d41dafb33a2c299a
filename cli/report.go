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

// Flags that filter a report.
const (
	flagSince        = "since"
	flagOrganisation = "organisation"
	flagClass        = "class"
	flagShares       = "shares"
)

// reportCommand prints the usage report.
func reportCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "report",
		Usage: "report how many requests were received, served, refused and failed, by organisation, class and service",
		Flags: connectFlags(append(filterFlags(), &urfave.BoolFlag{Name: flagShares, Usage: "report the shares of the engines that the organisations of forwarded calls have now, instead of requests"}, outputFlag(outputTable, outputJSON, outputCSV))...),
		Action: func(ctx context.Context, c *urfave.Command) error {
			query, err := reportQuery(c, time.Now())
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			o, err := newOperator(c)
			if err != nil {
				return err
			}
			if c.Bool(flagShares) {
				return reportShares(ctx, o, stdout, c.String(outputName))
			}
			var report ledger.Report
			if err := o.call(ctx, accounting.CommandReport, query, &report); err != nil {
				return readOnlyError(err)
			}
			return printReport(stdout, &report, c.String(outputName))
		},
	}
}

func filterFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.StringFlag{Name: flagSince, Usage: "start of the period: a duration before now, such as 30m, or a time such as 2026-03-01T09:00:00Z"},
		&urfave.StringFlag{Name: flagOrganisation, Usage: "only this organisation and its descendants"},
		&urfave.StringFlag{Name: flagClass, Usage: "only this class and its descendants"},
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

func printReport(stdout io.Writer, report *ledger.Report, format string) error {
	switch format {
	case outputJSON:
		return writeJSON(stdout, report)
	case outputCSV:
		return report.WriteCSV(stdout)
	}
	return report.WriteTable(stdout)
}
