package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/control"
)

const flagText = "text"

// settingsShowCommand shows the accepted settings and whether they are in force.
func settingsShowCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "show",
		Usage: "show the accepted revision, the revision in force everywhere and the outstanding instances",
		Flags: operatorFlags(&urfave.BoolFlag{Name: flagText, Usage: "print only the text of the accepted settings"}),
		Action: func(ctx context.Context, c *urfave.Command) error {
			o, err := newOperator(c)
			if err != nil {
				return err
			}
			var status control.SettingsStatus
			if err := o.call(ctx, control.CommandShow, nil, &status); err != nil {
				return readOnlyError(err)
			}
			switch {
			case c.Bool(flagText):
				_, err := stdout.Write(status.Text)
				return err
			case c.String(outputName) == outputJSON:
				return writeJSON(stdout, status)
			default:
				return printSettings(stdout, &status)
			}
		},
	}
}

func printSettings(out io.Writer, s *control.SettingsStatus) error {
	fmt.Fprintf(out, "accepted: %d  order %s  base %d  at %s\n",
		s.Accepted.Number, s.Accepted.OrderID, s.Accepted.Base, s.Accepted.At.Format(timeFormat))
	fmt.Fprintf(out, "in force: %d\n", s.InForce)
	if s.Settling {
		fmt.Fprintln(out, "a new leader waits for leases that the former one granted")
	}
	var rows [][]string
	for _, i := range s.Outstanding {
		rows = append(rows, []string{i.Name, i.AvailabilityZone, fmt.Sprint(i.Revision), i.ControlAddress})
	}
	if len(rows) == 0 {
		fmt.Fprintln(out, "outstanding: none")
		return nil
	}
	fmt.Fprintln(out, "outstanding:")
	return writeTable(out, []string{"INSTANCE", "ZONE", "REVISION", "CONTROL"}, rows)
}
