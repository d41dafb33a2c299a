package cli

import (
	"context"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/accounting"
	"celeryport/burn"
)

// burnCommand prints the burn rates of the error budgets.
func burnCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "burn",
		Usage: "report how fast the error budgets of the classes burn, with the organisations and causes",
		Flags: connectFlags(outputFlag(outputTable, outputJSON, outputHTML)),
		Action: func(ctx context.Context, c *urfave.Command) error {
			o, err := newOperator(c)
			if err != nil {
				return err
			}
			var table burn.Table
			if err := o.call(ctx, accounting.CommandBurn, nil, &table); err != nil {
				return readOnlyError(err)
			}
			return printBurn(stdout, &table, c.String(outputName))
		},
	}
}

func printBurn(stdout io.Writer, table *burn.Table, format string) error {
	switch format {
	case outputJSON:
		return table.WriteJSON(stdout)
	case outputHTML:
		return table.WriteHTML(stdout)
	}
	return table.WriteText(stdout)
}
