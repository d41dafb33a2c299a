package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	urfave "github.com/urfave/cli/v3"

	"celeryport/instance"
	"celeryport/settings"
)

const flagSettings = "settings"

// serveCommand runs an entry instance.
func serveCommand(_, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "serve",
		Usage: "run an entry instance; SIGTERM shuts it down gracefully, a second one cuts off what is in flight",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: flagSettings, Usage: "process settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *urfave.Command) error {
			process, err := readProcess(c.String(flagSettings))
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			return serve(ctx, process, newLog(stderr, process.LogLevel))
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

func newLog(out io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}

// serve turns signals into the two ends of a run.
func serve(ctx context.Context, process *settings.Process, log logrus.FieldLogger) error {
	stop, first := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer first()
	cut, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-stop.Done()
		second, end := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
		defer end()
		select {
		case <-second.Done():
			cancel()
		case <-cut.Done():
		}
	}()
	return instance.Run(stop, cut, instance.Options{Process: process, Log: log})
}
