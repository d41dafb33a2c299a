package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	urfave "github.com/urfave/cli/v3"

	"celeryport/control"
)

// timeFormat is the format of times in the output of operators' commands.
const timeFormat = time.RFC3339

// instancesCommand lists the instances of the fleet.
func instancesCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "instances",
		Usage: "list the instances with their state, zone and confirmed settings revision",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *urfave.Command) error {
			o, err := newOperator(c)
			if err != nil {
				return err
			}
			var status control.InstancesStatus
			if err := o.call(ctx, control.CommandInstances, nil, &status); err != nil {
				return readOnlyError(err)
			}
			if c.String(outputName) == outputJSON {
				return writeJSON(stdout, status)
			}
			return printInstances(stdout, &status)
		},
	}
}

func printInstances(out io.Writer, status *control.InstancesStatus) error {
	rows := make([][]string, 0, len(status.Instances))
	for _, i := range status.Instances {
		role := "-"
		switch {
		case i.ControlAddress == status.Leader:
			role = "leader"
		case i.Voter:
			role = "voter"
		}
		rows = append(rows, []string{
			i.Name, i.State.String(), i.AvailabilityZone, i.Address, i.ControlAddress, role,
			fmt.Sprint(i.Revision), fmt.Sprint(i.Incarnation),
		})
	}
	return writeTable(out, []string{"NAME", "STATE", "ZONE", "ADDRESS", "CONTROL", "ROLE", "REVISION", "INCARNATION"}, rows)
}
