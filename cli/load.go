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

// errPromiseBroken ends a run of load in which a promise to callers was broken.
var errPromiseBroken = errors.New("requests were lost, doubled, crossed or untruly refused, or that is unknown")

// loadCommand sends a mix of requests and judges the answers.
func loadCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:     "load",
		Usage:    "send the requests of a deployment's callers and check every answer",
		Commands: []*urfave.Command{loadCompareCommand(stdout)},
		Flags: []urfave.Flag{
			&urfave.StringSliceFlag{Name: "to", Usage: "entry instances that the callers know at first"},
			&urfave.StringFlag{Name: "keys", Usage: "file of lines ORGANISATION=KEY"},
			&urfave.StringFlag{Name: "mix", Usage: "aretusa or brazos", Value: "aretusa"},
			&urfave.StringSliceFlag{Name: "class", Usage: "only these classes of the mix"},
			&urfave.StringFlag{Name: flagModel, Usage: "model to ask instead of the mix's own"},
			&urfave.StringFlag{Name: flagService, Usage: "service to call instead of the mix's own"},
			&urfave.FloatFlag{Name: "rate", Usage: "requests a second", Value: load.DefaultRate},
			&urfave.DurationFlag{Name: "duration", Usage: "send for so long", Value: defaultLoadDuration},
			&urfave.IntFlag{Name: "requests", Usage: "send so many at most; 0: no limit but the duration"},
			&urfave.Uint64Flag{Name: "seed", Usage: "seed of lengths, order and gaps", Value: 1},
			&urfave.StringFlag{Name: flagZone, Usage: "availability zone of the callers, preferred among the addresses"},
			&urfave.FloatFlag{Name: "deadline-scale", Usage: "times the deadlines of the classes, for stand-ins with a time scale", Value: 1},
			&urfave.DurationFlag{Name: "grace", Usage: "a request without an end so long after its deadline is lost", Value: load.DefaultGrace},
			&urfave.IntFlag{Name: "most-in-flight", Usage: "above it requests are not sent but counted as unsent", Value: load.DefaultMaxInFlight},
			&urfave.IntFlag{Name: "engine-memory", Usage: "memory of one engine in tokens, for the table", Value: load.DefaultEngineMemory},
			&urfave.IntFlag{Name: "resend-one-in", Usage: "make one in so many calls with a key twice at once; 0: none"},
			&urfave.IntFlag{Name: "no-repeat-one-in", Usage: "mark one in so many prompts as not to be repeated; 0: none"},
			&urfave.StringSliceFlag{Name: "counts-from", Usage: "stand-in services to ask what they executed"},
			&urfave.StringFlag{Name: "counts-key-file", Usage: "file with the key for asking them"},
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
		return &ExitError{Code: ExitFailed, Err: errPromiseBroken}
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
	// Not marked as required, since "load compare" needs neither.
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
