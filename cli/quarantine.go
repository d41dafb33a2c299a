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

const (
	flagRequest = "request"
	flagPart    = "part"
)

// quarantineCommand groups the commands about requests and parts of prompts that crash upstreams.
func quarantineCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "quarantine",
		Usage: "list and release requests and parts of prompts that crash upstreams",
		Commands: []*urfave.Command{
			{
				Name:  "list",
				Usage: "list the suspected and quarantined requests and parts, oldest evidence first",
				Flags: operatorFlags(),
				Action: func(ctx context.Context, c *urfave.Command) error {
					return listQuarantine(ctx, c, stdout)
				},
			},
			{
				Name:  "release",
				Usage: "discard the evidence against a request or a part, so that it is served again",
				Flags: operatorFlags(
					&urfave.StringFlag{Name: flagRequest, Usage: "fingerprint of the request, from quarantine list"},
					&urfave.StringFlag{Name: flagPart, Usage: "part of prompts, from quarantine list"},
				),
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
	for i := range s.Parts.Records {
		r := &s.Parts.Records[i]
		state, started := "suspected", 0
		if s.Parts.Blamed(r.Part) {
			state = "quarantined"
		}
		for _, end := range r.Ends {
			if end.Started {
				started++
			}
		}
		rows = append(rows, []string{
			r.Part.String(), state, fmt.Sprint(started), fmt.Sprint(len(r.Ends) - started), r.At.Format(timeFormat),
		})
	}
	return writeTable(out, []string{"REQUEST OR PART", "STATE", "CRASHES", "ENDED WHILE WAITING", "LAST"}, rows)
}

func releaseQuarantined(ctx context.Context, c *urfave.Command, stdout io.Writer) error {
	request, err := parseRelease(c.String(flagRequest), c.String(flagPart))
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	if err := o.call(ctx, control.CommandQuarantineRelease, request, &control.ReleaseRequest{}); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "released %s\n", request)
	return nil
}

// parseRelease parses the flags that name what is released.
func parseRelease(request, part string) (*control.ReleaseRequest, error) {
	if (request == "") == (part == "") {
		return nil, errors.Newf("either --%s or --%s is required", flagRequest, flagPart)
	}
	if part != "" {
		p, err := quarantine.ParsePart(part)
		return &control.ReleaseRequest{Part: p}, errors.Wrapf(err, "--%s", flagPart)
	}
	fingerprint, err := quarantine.ParseFingerprint(request)
	return &control.ReleaseRequest{Request: fingerprint}, errors.Wrapf(err, "--%s", flagRequest)
}
