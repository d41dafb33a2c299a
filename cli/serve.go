package cli

import (
	"context"
	"io"

	urfave "github.com/urfave/cli/v3"

	"celeryport/event"
	"celeryport/forward"
	"celeryport/instance"
	"celeryport/logsink"
	"celeryport/settings"
	"celeryport/signals"
)

const flagSettings = "settings"

// settingsVariable is the environment variable with the path of the process settings,
// used if the flag is not given.
const settingsVariable = "CELERYPORT_NODE_FILE"

// instanceFile is the file of the process settings, as it was at the start.
type instanceFile struct {
	path string
	text []byte
}

// serveCommand runs an instance.
func serveCommand(stdout, stderr io.Writer, dial forward.Dial) *urfave.Command {
	return &urfave.Command{
		Name:  signals.InstanceCommand,
		Usage: "run an instance; SIGTERM shuts it down gracefully, also if it is repeated; SIGQUIT ends it at once",
		Flags: []urfave.Flag{
			&urfave.StringFlag{
				Name: flagSettings, Usage: "process settings `FILE`", Required: true,
				Sources: urfave.EnvVars(settingsVariable),
			},
		},
		OnUsageError: func(_ context.Context, _ *urfave.Command, err error, _ bool) error {
			logRefused(stdout, stderr, err)
			return err
		},
		Action: func(ctx context.Context, c *urfave.Command) error {
			path := c.String(flagSettings)
			process, text, err := awaitProcess(ctx, path)
			if err != nil {
				logRefused(stdout, stderr, err)
				return &ExitError{Code: ExitUsage, Err: err}
			}
			return serveInstance(ctx, instanceFile{path: path, text: text}, process, stdout, stderr, dial)
		},
	}
}

// logRefused logs why an instance does not start.
func logRefused(stdout, stderr io.Writer, err error) {
	sink := logsink.New(stdout, stderr)
	defer sink.Close()
	// The level is not known: an empty one stands for the default.
	eventRefused.Log(logsink.NewLogger(sink, ""), event.Fields{"error": err})
}

// serveInstance runs an instance. Its log goes through a buffer that never blocks calls: to
// standard error if it serves completions, else to standard output.
func serveInstance(ctx context.Context, file instanceFile, process *settings.Process, stdout, stderr io.Writer, dial forward.Dial) error {
	out, fallback := stdout, stderr
	if process.Serves == settings.ServesCompletions {
		out, fallback = stderr, stdout
	}
	sink := logsink.New(out, fallback)
	defer sink.Close()
	log := logsink.NewLogger(sink, process.LogLevel).WithField("instance", process.Name)
	defer captureLibraries(log)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	options := instance.Options{Process: process, Log: log, Collectors: sink.Collectors()}
	if process.Serves == settings.ServesCompletions {
		return instance.Run(followSignals(ctx, log, nil), options)
	}
	reload := make(chan struct{}, 1)
	stop := followSignals(ctx, log, reload)
	options.Dial, options.Adapter = dial, platformAdapter()
	options.Changes = watchSettings(ctx, file, reload, log)
	return instance.RunForwarding(stop, options)
}
