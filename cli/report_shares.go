package cli

import (
	"context"
	"io"
	"strconv"

	"celeryport/control"
)

// reportShares prints the shares of the organisations of forwarded calls.
func reportShares(ctx context.Context, o *operator, stdout io.Writer, format string) error {
	var status control.SharesStatus
	if err := o.call(ctx, control.CommandShares, nil, &status); err != nil {
		return readOnlyError(err)
	}
	if format == outputJSON {
		return writeJSON(stdout, status)
	}
	return printShares(stdout, &status)
}

func printShares(out io.Writer, status *control.SharesStatus) error {
	number := func(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }
	rows := make([][]string, 0, len(status.Organisations))
	for _, s := range status.Organisations {
		rows = append(rows, []string{s.Organisation, number(s.Demand), number(s.Served), number(s.Share), number(s.RefusedPerSecond)})
	}
	return writeTable(out, []string{"ORGANISATION", "DEMAND", "SERVED", "SHARE", "REFUSED/S"}, rows)
}
