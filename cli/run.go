// Package cli implements the command line: it parses arguments, calls the other
// packages and maps errors to exit codes.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/binding"
	"celeryport/forward"
	"celeryport/logsink"
	"celeryport/signals"
)

// Exit codes of all commands.
const (
	ExitDone     = 0
	ExitFailed   = 1 // failed; an operator's command had no effect
	ExitUsage    = 2 // invalid usage or settings
	ExitConflict = 3 // another operator's order was applied first
	ExitUnknown  = 4 // the outcome is unknown
)

// ExitError is an error with the exit code of the command.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return RunWithDial(ctx, args, stdout, stderr, nil)
}

// RunWithDial is like Run, but instances that forward calls open their connections to upstreams with
// dial; nil: TCP. Tests use it to cut the paths of single processes.
func RunWithDial(ctx context.Context, args []string, stdout, stderr io.Writer, dial forward.Dial) int {
	app := &urfave.Command{
		Name:      "celeryport",
		Usage:     "serving layer for prompts of widely different lengths",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands:  commands(stdout, stderr, dial),
		ExitErrHandler: func(context.Context, *urfave.Command, error) {
		},
	}
	setUsageExitCode(app)
	err := app.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	printError(args, stderr, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	var refusal *binding.Refusal
	if errors.As(err, &refusal) {
		return ExitUsage
	}
	return ExitFailed
}

// printError prints why a command failed. An instance does not wait for a standard error that nobody
// reads, since it could not end then; the error is in its log, too.
func printError(args []string, stderr io.Writer, err error) {
	if len(args) > 1 && args[1] == signals.InstanceCommand {
		sink := logsink.New(stderr, io.Discard)
		defer sink.Close()
		stderr = sink
	}
	fmt.Fprintln(stderr, "celeryport:", err)
}

// setUsageExitCode makes usage errors of a command and all its subcommands exit with
// ExitUsage. The library does not apply OnUsageError to subcommands, so an invalid
// flag of a subcommand would otherwise exit with ExitFailed. A command's own OnUsageError is called
// before.
func setUsageExitCode(command *urfave.Command) {
	report := command.OnUsageError
	command.OnUsageError = func(ctx context.Context, c *urfave.Command, err error, isSubcommand bool) error {
		if report != nil {
			err = report(ctx, c, err, isSubcommand)
		}
		return &ExitError{Code: ExitUsage, Err: err}
	}
	for _, sub := range command.Commands {
		setUsageExitCode(sub)
	}
}
