package cli

import (
	"context"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/standin"
	"celeryport/standin/enginemodel"
	"celeryport/upstream"
)

// The values of --fencing.
const (
	fencingRefuse = "refuse"
	fencingIgnore = "ignore"
)

func standinEngineCommand(stderr io.Writer) *urfave.Command {
	d := enginemodel.DefaultConfig()
	return &urfave.Command{
		Name:  "engine",
		Usage: "run a stand-in of a model engine",
		Flags: append(standinFlags(),
			&urfave.StringSliceFlag{Name: flagModel, Usage: "models that it has loaded", Value: []string{"modello-sarto"}},
			&urfave.FloatFlag{Name: "time-scale", Usage: "run so many times faster than a real engine", Value: 1},
			&urfave.IntFlag{Name: "memory-tokens", Usage: "KV memory in tokens", Value: d.MemoryTokens},
			&urfave.FloatFlag{Name: "prefill-rate", Usage: "prompt tokens a second", Value: d.PrefillRate},
			&urfave.IntFlag{Name: "chunk", Usage: "most prompt tokens of one iteration", Value: d.Chunk},
			&urfave.DurationFlag{Name: "decode-step", Usage: "time of an iteration that only decodes", Value: d.DecodeStep},
			&urfave.IntFlag{Name: "max-running", Usage: "most requests in one batch", Value: d.MaxRunning},
			&urfave.IntFlag{Name: "cache-tokens", Usage: "memory that the prefix cache may use", Value: d.CacheTokens},
			&urfave.DurationFlag{Name: "cache-lag", Usage: "delay of cache events, in the engine's time", Value: d.CacheLag},
			&urfave.IntFlag{Name: "cache-loss-one-in", Usage: "lose one in so many cache events; 0: none"},
			&urfave.DurationFlag{Name: "load-lag", Usage: "age of load reports, in the engine's time", Value: d.LoadLag},
			&urfave.DurationFlag{Name: "heartbeat", Usage: "longest silence on an answer stream", Value: standin.DefaultHeartbeat},
			&urfave.DurationFlag{Name: "resume-window", Usage: "keep work without a reader for so long", Value: standin.DefaultResumeWindow},
			&urfave.StringFlag{Name: "fencing", Usage: "orders with an old fencing number: refuse or ignore (execute them)", Value: fencingRefuse},
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
