package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/control"
)

// zoneCommand groups the commands about availability zones.
func zoneCommand(stdout, _ io.Writer) *urfave.Command {
	zoneFlag := &urfave.StringFlag{Name: flagZone, Usage: "availability zone", Required: true}
	return &urfave.Command{
		Name:  "zone",
		Usage: "list, evacuate and restore availability zones",
		Commands: []*urfave.Command{
			{
				Name:  "list",
				Usage: "list the availability zones with their instances and upstreams",
				Flags: operatorFlags(),
				Action: func(ctx context.Context, c *urfave.Command) error {
					return readOnlyError(zoneCall(ctx, c, stdout, control.CommandZones, nil))
				},
			},
			{
				Name:  "evacuate",
				Usage: "send no new work to the upstreams of a zone; an interrupted command can be repeated",
				Flags: operatorFlags(zoneFlag),
				Action: func(ctx context.Context, c *urfave.Command) error {
					return zoneCall(ctx, c, stdout, control.CommandEvacuate, control.EvacuateRequest{Zone: c.String(flagZone), Evacuated: true})
				},
			},
			{
				Name:  "restore",
				Usage: "send work to the upstreams of an evacuated zone again; an interrupted command can be repeated",
				Flags: operatorFlags(zoneFlag),
				Action: func(ctx context.Context, c *urfave.Command) error {
					return zoneCall(ctx, c, stdout, control.CommandEvacuate, control.EvacuateRequest{Zone: c.String(flagZone)})
				},
			},
		},
	}
}

func zoneCall(ctx context.Context, c *urfave.Command, stdout io.Writer, command string, request any) error {
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	var status control.ZonesStatus
	if err := o.call(ctx, command, request, &status); err != nil {
		return err
	}
	if c.String(outputName) == outputJSON {
		return writeJSON(stdout, status)
	}
	return printZones(stdout, &status)
}

func printZones(out io.Writer, s *control.ZonesStatus) error {
	rows := make([][]string, 0, len(s.Zones))
	for _, z := range s.Zones {
		state := "in use"
		if z.Evacuated {
			state = "evacuated"
		}
		rows = append(rows, []string{z.Name, state, fmt.Sprint(z.Instances), fmt.Sprint(z.Upstreams)})
	}
	return writeTable(out, []string{"ZONE", "STATE", "INSTANCES", "UPSTREAMS"}, rows)
}
