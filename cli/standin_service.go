package cli

import (
	"context"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/standin"
)

func standinServiceCommand(stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "service",
		Usage: "run a stand-in plain service that counts executions (GET /counts)",
		Flags: append(standinFlags(),
			&urfave.StringFlag{Name: flagService, Usage: "name of the service", Value: "cassa-bottega"},
			&urfave.DurationFlag{Name: "latency", Usage: "delay before each answer"},
			&urfave.BoolFlag{Name: "dedupe", Usage: "execute each Idempotency-Key only once"},
		),
		Action: func(ctx context.Context, c *urfave.Command) error {
			options, closeJournal, err := standinOptions(c, stderr)
			if err != nil {
				return err
			}
			defer closeJournal()
			options.Targets = []string{c.String(flagService)}
			return serveStandin(ctx, c, standin.NewService(standin.ServiceOptions{
				Options: options,
				Latency: c.Duration("latency"),
				Dedupe:  c.Bool("dedupe"),
			}))
		},
	}
}
