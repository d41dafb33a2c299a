package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	urfave "github.com/urfave/cli/v3"

	"celeryport/control"
	"celeryport/upstream"
)

// upstreamsCommand lists the upstreams from the view of one instance.
func upstreamsCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "upstreams",
		Usage: "list the upstreams as known to the first instance that answers",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *urfave.Command) error {
			o, err := newOperator(c)
			if err != nil {
				return err
			}
			var all []control.UpstreamStatus
			if err := o.call(ctx, control.CommandUpstreams, nil, &all); err != nil {
				return readOnlyError(err)
			}
			if c.String(outputName) == outputJSON {
				return writeJSON(stdout, all)
			}
			return printUpstreams(stdout, all)
		},
	}
}

func printUpstreams(out io.Writer, all []control.UpstreamStatus) error {
	rows := make([][]string, 0, len(all))
	for _, u := range all {
		a := u.Announcement
		kind := "engine"
		if a.Kind == upstream.Service {
			kind = "service"
		}
		rows = append(rows, []string{
			a.Name, kind, u.State, a.AvailabilityZone, a.Address, strings.Join(a.Targets, ","), a.Version,
			fmt.Sprint(a.Load.Running), fmt.Sprint(a.Load.Waiting), fmt.Sprint(a.Load.QueuedPrefill),
			(time.Duration(u.HeardAgoMs) * time.Millisecond).String(),
		})
	}
	return writeTable(out, []string{
		"NAME", "KIND", "STATE", "ZONE", "ADDRESS", "SERVES", "VERSION", "RUNNING", "WAITING", "PREFILL", "HEARD",
	}, rows)
}
