package cli

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	urfave "github.com/urfave/cli/v3"

	"celeryport/standin"
)

// standinCommand groups the commands that run and inspect stand-in upstreams.
func standinCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "standin",
		Usage: "run stand-in upstreams, for tests and demonstrations",
		Commands: []*urfave.Command{
			standinEngineCommand(stderr),
			standinServiceCommand(stderr),
			portsCommand(stdout),
			standinExecutionsCommand(stdout),
		},
	}
}

// shutdownTimeout bounds the graceful shutdown of a stand-in.
const shutdownTimeout = 10 * time.Minute

// standinServer is the interface of both kinds of stand-ins.
type standinServer interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
	Close()
	Faults() *standin.Faults
}

// serveStandin serves until SIGTERM or an interrupt, then shuts down gracefully; a
// second signal ends it immediately.
func serveStandin(ctx context.Context, c *urfave.Command, server standinServer) error {
	if err := enableFaults(c, server.Faults()); err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	ln, err := net.Listen("tcp", c.String(flagListen))
	if err != nil {
		return &ExitError{Code: ExitFailed, Err: errors.Wrap(err, "listen")}
	}
	if err := writeAddress(c.String(flagAddressFile), ln.Addr().String()); err != nil {
		_ = ln.Close()
		return &ExitError{Code: ExitFailed, Err: err}
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	select {
	case err := <-served:
		server.Close()
		return err
	case <-ctx.Done():
	}
	stop()
	return shutDownStandin(server)
}

func shutDownStandin(server standinServer) error {
	limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	second, stop := signal.NotifyContext(limited, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return server.Shutdown(second)
}

// enableFaults enables the faults given by flags.
func enableFaults(c *urfave.Command, faults *standin.Faults) error {
	for _, text := range c.StringSlice(flagFault) {
		parsed, err := standin.ParseFault(text)
		if err != nil {
			return err
		}
		if err := faults.Set(parsed); err != nil {
			return err
		}
	}
	return nil
}

// newStandinLog returns a logger to stderr.
func newStandinLog(stderr io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(stderr)
	return log
}

// openJournal opens the journal for appending; an empty path means no journal.
func openJournal(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return file, errors.Wrap(err, "open the journal")
}
