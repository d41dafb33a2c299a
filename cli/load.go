package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	urfave "github.com/urfave/cli/v3"

	"celeryport/load"
)

const defaultLoadDuration = 30 * time.Second

// errGuaranteeBroken is the error of a load run that found a broken guarantee.
var errGuaranteeBroken = errors.New("requests were lost, doubled, crossed or untruly refused, or that is unknown")

// loadCommand generates load and verifies every answer.
func loadCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:     "load",
		Usage:    "send the requests of a deployment's callers and check every answer",
		Commands: []*urfave.Command{loadCompareCommand(stdout)},
		Flags: []urfave.Flag{
			&urfave.StringSliceFlag{Name: "to", Usage: "addresses of entry instances that callers know initially"},
			&urfave.StringFlag{Name: "keys", Usage: "file of lines ORGANISATION=KEY"},
			&urfave.StringFlag{Name: "mix", Usage: "aretusa or brazos", Value: "aretusa"},
			&urfave.StringSliceFlag{Name: "class", Usage: "restrict the mix to these classes"},
			&urfave.StringFlag{Name: flagModel, Usage: "model to use instead of that of the mix"},
			&urfave.StringFlag{Name: flagService, Usage: "service to call instead of that of the mix"},
			&urfave.FloatFlag{Name: "rate", Usage: "requests per second", Value: load.DefaultRate},
			&urfave.DurationFlag{Name: "duration", Usage: "how long to send", Value: defaultLoadDuration},
			&urfave.IntFlag{Name: "requests", Usage: "maximum number of requests; 0: limited only by the duration"},
			&urfave.Uint64Flag{Name: "seed", Usage: "seed of the random lengths, order and gaps", Value: 1},
			&urfave.StringFlag{Name: flagZone, Usage: "availability zone of the callers, whose addresses are preferred"},
			&urfave.FloatFlag{Name: "deadline-scale", Usage: "factor on the deadlines of the classes, for stand-ins with a time scale", Value: 1},
			&urfave.DurationFlag{Name: "grace", Usage: "how long after its deadline a request without a final answer counts as lost", Value: load.DefaultGrace},
			&urfave.IntFlag{Name: "most-in-flight", Usage: "maximum concurrent requests; further ones are not sent but counted as unsent", Value: load.DefaultMaxInFlight},
			&urfave.IntFlag{Name: "engine-memory", Usage: "memory of one engine in tokens, for the table of results", Value: load.DefaultEngineMemory},
			&urfave.IntFlag{Name: "resend-one-in", Usage: "send one in `N` calls with an idempotency key twice concurrently; 0: none"},
			&urfave.IntFlag{Name: "no-repeat-one-in", Usage: "mark one in `N` prompts as not to be repeated; 0: none"},
			&urfave.StringSliceFlag{Name: "counts-from", Usage: "stand-in services to query for their execution counts"},
			&urfave.StringFlag{Name: "counts-key-file", Usage: "file with the key for these queries"},
			&urfave.StringFlag{Name: "output", Usage: "table or json", Value: "table"},
		},
		Action: func(ctx context.Context, c *urfave.Command) error { return runLoad(ctx, c, stdout, stderr) },
	}
}

func runLoad(ctx context.Context, c *urfave.Command, stdout, stderr io.Writer) error {
	options, err := loadOptions(c)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(stderr)
	options.Log = log
	options.Progress = stderr
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	report, err := load.Run(ctx, options)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	if err := writeLoad(c.String("output"), report, stdout); err != nil {
		return &ExitError{Code: ExitFailed, Err: err}
	}
	if report.HasViolations() {
		return &ExitError{Code: ExitFailed, Err: errGuaranteeBroken}
	}
	return nil
}

func writeLoad(output string, report *load.Report, stdout io.Writer) error {
	if output == outputJSON {
		return json.NewEncoder(stdout).Encode(report)
	}
	return report.WriteTable(stdout)
}

func loadOptions(c *urfave.Command) (load.Options, error) {
	// The flags are not marked as required, since "load compare" needs neither.
	if len(c.StringSlice("to")) == 0 || c.String("keys") == "" {
		return load.Options{}, usageError("--to and --keys are required")
	}
	mix, err := loadMix(c)
	if err != nil {
		return load.Options{}, &ExitError{Code: ExitUsage, Err: err}
	}
	keys, err := load.ReadKeys(c.String("keys"))
	if err != nil {
		return load.Options{}, &ExitError{Code: ExitUsage, Err: err}
	}
	countsKey, err := readKey(c.String("counts-key-file"))
	if err != nil {
		return load.Options{}, err
	}
	if c.Float("rate") <= 0 {
		return load.Options{}, usageError("--rate must be above 0")
	}
	return load.Options{
		Mix:              mix,
		Keys:             keys,
		To:               c.StringSlice("to"),
		AvailabilityZone: c.String(flagZone),
		Rate:             c.Float("rate"),
		Duration:         c.Duration("duration"),
		Requests:         c.Int("requests"),
		Seed:             c.Uint64("seed"),
		DeadlineScale:    c.Float("deadline-scale"),
		Grace:            c.Duration("grace"),
		MaxInFlight:      c.Int("most-in-flight"),
		EngineMemory:     c.Int("engine-memory"),
		ResendOneIn:      c.Int("resend-one-in"),
		NoRepeatOneIn:    c.Int("no-repeat-one-in"),
		CountsFrom:       c.StringSlice("counts-from"),
		CountsKey:        countsKey,
	}, nil
}

func loadMix(c *urfave.Command) (load.Mix, error) {
	mix, err := load.FindMix(c.String("mix"))
	if err != nil {
		return load.Mix{}, err
	}
	if model := c.String(flagModel); model != "" {
		mix.Model = model
	}
	if service := c.String(flagService); service != "" {
		mix.Service = service
	}
	return mix.Select(c.StringSlice("class"))
}
