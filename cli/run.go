// Package cli is the command line: it parses arguments, calls the library and
// turns errors into exit codes.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"
)

// The exit codes of every command.
const (
	ExitDone     = 0
	ExitFailed   = 1 // failed, and nothing was run or changed
	ExitUsage    = 2 // bad usage or settings
	ExitConflict = 3 // another operator won
	ExitUnknown  = 4 // the outcome is unknown
)

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := &urfave.Command{
		Name:      "celeryport",
		Usage:     "serving layer for prompts of very unlike lengths",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands:  commands(stdout, stderr),
		ExitErrHandler: func(context.Context, *urfave.Command, error) {
		},
	}
	reportUsage(app)
	err := app.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(stderr, "celeryport:", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}

// reportUsage gives bad usage of the command, and of all below it, the exit code
// of bad usage. The library doesn't hand OnUsageError down: without this, a
// wrong flag of a subcommand would look like a failed run.
func reportUsage(command *urfave.Command) {
	command.OnUsageError = func(_ context.Context, _ *urfave.Command, err error, _ bool) error {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	for _, sub := range command.Commands {
		reportUsage(sub)
	}
}
