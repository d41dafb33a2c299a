package cli

import (
	"context"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/standin"
	"celeryport/standin/enginemodel"
	"celeryport/upstream"
)

// Values of --fencing.
const (
	fencingRefuse = "refuse"
	fencingIgnore = "ignore"
)

func standinEngineCommand(stderr io.Writer) *urfave.Command {
	d := enginemodel.DefaultConfig()
	return &urfave.Command{
		Name:  "engine",
		Usage: "run a stand-in model engine",
		Flags: append(standinFlags(),
			&urfave.StringSliceFlag{Name: flagModel, Usage: "models that are loaded", Value: []string{"modello-sarto"}},
			&urfave.FloatFlag{Name: "time-scale", Usage: "speed-up over a real engine", Value: 1},
			&urfave.IntFlag{Name: "memory-tokens", Usage: "KV memory in tokens", Value: d.MemoryTokens},
			&urfave.FloatFlag{Name: "prefill-rate", Usage: "prompt tokens per second", Value: d.PrefillRate},
			&urfave.IntFlag{Name: "chunk", Usage: "maximum prompt tokens per iteration", Value: d.Chunk},
			&urfave.DurationFlag{Name: "decode-step", Usage: "duration of an iteration that only decodes", Value: d.DecodeStep},
			&urfave.IntFlag{Name: "max-running", Usage: "maximum requests per batch", Value: d.MaxRunning},
			&urfave.IntFlag{Name: "cache-tokens", Usage: "maximum memory of the prefix cache, in tokens", Value: d.CacheTokens},
			&urfave.DurationFlag{Name: "cache-lag", Usage: "delay of cache events, before scaling by time-scale", Value: d.CacheLag},
			&urfave.IntFlag{Name: "cache-loss-one-in", Usage: "lose one in `N` cache events; 0: none"},
			&urfave.DurationFlag{Name: "load-lag", Usage: "age of load reports, before scaling by time-scale", Value: d.LoadLag},
			&urfave.DurationFlag{Name: "heartbeat", Usage: "maximum silence on an answer stream", Value: standin.DefaultHeartbeat},
			&urfave.DurationFlag{Name: "resume-window", Usage: "how long to keep a request whose reader disconnected", Value: standin.DefaultResumeWindow},
			&urfave.StringFlag{Name: "fencing", Usage: "handling of orders with an outdated fencing number: refuse, or ignore the number and execute them", Value: fencingRefuse},
		),
		Action: func(ctx context.Context, c *urfave.Command) error { return runStandinEngine(ctx, c, stderr) },
	}
}

func runStandinEngine(ctx context.Context, c *urfave.Command, stderr io.Writer) error {
	options, closeJournal, err := standinOptions(c, stderr)
	if err != nil {
		return err
	}
	defer closeJournal()
	options.Targets = c.StringSlice(flagModel)
	fencing, err := parseFencing(c.String("fencing"))
	if err != nil {
		return err
	}
	return serveStandin(ctx, c, standin.NewEngine(standin.EngineOptions{
		Options:      options,
		Model:        engineModel(c),
		TimeScale:    c.Float("time-scale"),
		Heartbeat:    c.Duration("heartbeat"),
		ResumeWindow: c.Duration("resume-window"),
		Fencing:      fencing,
	}))
}

func engineModel(c *urfave.Command) enginemodel.Config {
	return enginemodel.Config{
		PrefillRate:    c.Float("prefill-rate"),
		Chunk:          c.Int("chunk"),
		DecodeStep:     c.Duration("decode-step"),
		MaxRunning:     c.Int("max-running"),
		MemoryTokens:   c.Int("memory-tokens"),
		CacheTokens:    c.Int("cache-tokens"),
		CacheLag:       c.Duration("cache-lag"),
		CacheLossOneIn: c.Int("cache-loss-one-in"),
		LoadLag:        c.Duration("load-lag"),
	}
}

func parseFencing(text string) (upstream.Fencing, error) {
	switch text {
	case fencingRefuse:
		return upstream.FencingChecked, nil
	case fencingIgnore:
		return upstream.FencingIgnored, nil
	}
	return 0, usageError("--fencing %q: allowed are %s and %s", text, fencingRefuse, fencingIgnore)
}
