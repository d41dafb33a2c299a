package cli

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	urfave "github.com/urfave/cli/v3"

	"celeryport/forward"
	"celeryport/instance"
	"celeryport/logsink"
	"celeryport/settings"
)

const flagSettings = "settings"

// settingsVariable is the environment variable with the path of the process settings,
// used if the flag is not given.
const settingsVariable = "CELERYPORT_NODE_FILE"

// serveCommand runs an instance.
func serveCommand(stdout, stderr io.Writer, dial forward.Dial) *urfave.Command {
	return &urfave.Command{
		Name:  "serve",
		Usage: "run an instance; SIGTERM shuts it down gracefully, a second SIGTERM aborts the requests in flight",
		Flags: []urfave.Flag{
			&urfave.StringFlag{
				Name: flagSettings, Usage: "process settings `FILE`", Required: true,
				Sources: urfave.EnvVars(settingsVariable),
			},
		},
		Action: func(ctx context.Context, c *urfave.Command) error {
			path := c.String(flagSettings)
			process, err := readProcess(path)
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			if process.Serves == settings.ServesCompletions {
				log := newLog(stderr, process.LogLevel)
				ctx, cancel := context.WithCancel(ctx)
				defer cancel()
				asked := followSignals(ctx, log, nil)
				return instance.Run(asked.stop, asked.abort, instance.Options{Process: process, Log: log})
			}
			return serveForwarding(ctx, path, process, stdout, dial)
		},
	}
}

func readProcess(path string) (*settings.Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the process settings")
	}
	return settings.ParseProcess(path, text)
}

// logTimeFormat includes milliseconds, since lines of several instances are ordered by time.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLog(out io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}

// serveForwarding runs an instance that forwards calls or serves control only. Its
// log goes to standard output through a buffer that never blocks calls.
func serveForwarding(ctx context.Context, path string, process *settings.Process, stdout io.Writer, dial forward.Dial) error {
	sink := logsink.New(stdout)
	defer sink.Close()
	log := newLog(sink, process.LogLevel).WithField("instance", process.Name)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reload := make(chan struct{}, 1)
	asked := followSignals(ctx, log, reload)
	return instance.RunForwarding(asked.stop, asked.abort, instance.Options{
		Process: process,
		Log:     log,
		Dial:    dial,
		Adapter: platformAdapter(),
		Changes: watchSettings(ctx, path, reload, log),
	})
}
