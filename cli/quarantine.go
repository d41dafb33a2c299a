package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/control"
	"celeryport/quarantine"
)

const flagRequest = "request"

// quarantineCommand groups the commands about requests that crash upstreams.
func quarantineCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "quarantine",
		Usage: "list and release requests that crash upstreams",
		Commands: []*urfave.Command{
			{
				Name:  "list",
				Usage: "list the suspected and quarantined requests, oldest evidence first",
				Flags: operatorFlags(),
				Action: func(ctx context.Context, c *urfave.Command) error {
					return listQuarantine(ctx, c, stdout)
				},
			},
			{
				Name:  "release",
				Usage: "discard the evidence against a request, so that it is served again",
				Flags: operatorFlags(&urfave.StringFlag{Name: flagRequest, Usage: "fingerprint of the request, from quarantine list", Required: true}),
				Action: func(ctx context.Context, c *urfave.Command) error {
					return releaseQuarantined(ctx, c, stdout)
				},
			},
		},
	}
}

func listQuarantine(ctx context.Context, c *urfave.Command, stdout io.Writer) error {
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	var status control.QuarantineStatus
	if err := o.call(ctx, control.CommandQuarantineList, nil, &status); err != nil {
		return readOnlyError(err)
	}
	if c.String(outputName) == outputJSON {
		return writeJSON(stdout, status)
	}
	return printQuarantine(stdout, &status)
}

func printQuarantine(out io.Writer, s *control.QuarantineStatus) error {
	rows := make([][]string, 0, len(s.Records))
	for i := range s.Records {
		r := &s.Records[i]
		state := "suspected"
		if r.Quarantined {
			state = "quarantined"
		}
		rows = append(rows, []string{
			r.Request.String(), state, fmt.Sprint(len(r.Started)), fmt.Sprint(len(r.Waiting)), r.At.Format(timeFormat),
		})
	}
	return writeTable(out, []string{"REQUEST", "STATE", "CRASHES", "ENDED WHILE WAITING", "LAST"}, rows)
}

func releaseQuarantined(ctx context.Context, c *urfave.Command, stdout io.Writer) error {
	request, err := quarantine.ParseFingerprint(c.String(flagRequest))
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: errors.Wrapf(err, "--%s", flagRequest)}
	}
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	if err := o.call(ctx, control.CommandQuarantineRelease, control.ReleaseRequest{Request: request}, &control.ReleaseRequest{}); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "released %s\n", request)
	return nil
}
