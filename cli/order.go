package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/control"
)

// orderCommand groups the commands about engine orders.
func orderCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "order",
		Usage: "inspect the orders sent to engines",
		Commands: []*urfave.Command{{
			Name:  "list",
			Usage: "list the orders of the current issuer, oldest first",
			Flags: operatorFlags(),
			Action: func(ctx context.Context, c *urfave.Command) error {
				o, err := newOperator(c)
				if err != nil {
					return err
				}
				var status control.OrdersStatus
				if err := o.call(ctx, control.CommandOrders, nil, &status); err != nil {
					return readOnlyError(err)
				}
				if c.String(outputName) == outputJSON {
					return writeJSON(stdout, status)
				}
				return printOrders(stdout, &status)
			},
		}},
	}
}

func printOrders(out io.Writer, s *control.OrdersStatus) error {
	fmt.Fprintf(out, "issuer: %s  fence: term %d index %d\n", s.Issuer.Holder, s.Issuer.Fence.Term, s.Issuer.Fence.Index)
	rows := make([][]string, 0, len(s.Records))
	for _, r := range s.Records {
		rows = append(rows, []string{
			r.At.Format(timeFormat), r.Engine, string(r.Order.Kind), r.Order.Value, r.Order.ID, r.Result, r.Reason,
		})
	}
	return writeTable(out, []string{"AT", "ENGINE", "ORDER", "VALUE", "ID", "RESULT", "REASON"}, rows)
}
