package cli

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/clock"
	"celeryport/rpc"
	"celeryport/verdict"
)

// Flags of all operators' commands.
const (
	flagTo      = "to"
	flagKeyFile = "key-file"
	flagTimeout = "timeout"
	keyVariable = "CELERYPORT_OPERATOR_KEY"
)

const (
	defaultTimeout = 15 * time.Second
	attemptTimeout = 6 * time.Second // per attempt, longer than an instance takes to answer
	retryPause     = 200 * time.Millisecond
)

// operatorFlags returns the common flags and the given flags of one command.
func operatorFlags(extra ...urfave.Flag) []urfave.Flag {
	return connectFlags(append([]urfave.Flag{outputFlag(outputTable, outputJSON)}, extra...)...)
}

// connectFlags is operatorFlags for commands with their own --output flag.
func connectFlags(extra ...urfave.Flag) []urfave.Flag {
	return append([]urfave.Flag{
		&urfave.StringSliceFlag{Name: flagTo, Usage: "comma-separated control addresses, tried in order", Required: true},
		&urfave.StringFlag{Name: flagKeyFile, Usage: "file with the operator key; default: the key in $" + keyVariable},
		&urfave.DurationFlag{Name: flagTimeout, Usage: "how long to keep trying", Value: defaultTimeout},
	}, extra...)
}

// operator sends operators' commands to the fleet.
type operator struct {
	addresses []string
	clients   *rpc.Clients
	timeout   time.Duration
}

func newOperator(c *urfave.Command) (*operator, error) {
	key, err := operatorKey(c.String(flagKeyFile))
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	return &operator{
		addresses: c.StringSlice(flagTo),
		clients:   rpc.NewClients(key, nil),
		timeout:   c.Duration(flagTimeout),
	}, nil
}

// operatorKey reads the key from a file or the environment. It can't be given as
// an argument, since other users of the machine can read arguments.
func operatorKey(file string) (string, error) {
	if file != "" {
		data, err := os.ReadFile(file)
		return strings.TrimSpace(string(data)), errors.Wrap(err, "read the operator key")
	}
	key := os.Getenv(keyVariable)
	if key == "" {
		return "", errors.Newf("no operator key: give --%s or set %s", flagKeyFile, keyVariable)
	}
	return key, nil
}

// call sends a command to the addresses in turn until one answers or the timeout
// expires. Commands can be retried safely: orders carry an id, and other commands
// only read or resume where they stopped. If no attempt was answered and one may
// have been executed, the outcome is unknown.
func (o *operator) call(ctx context.Context, command string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode the command")
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	var unknownOutcome *verdict.Error
	for {
		failure := o.tryEachAddress(ctx, command, body, response)
		if failure == nil {
			return nil
		}
		if final(failure) {
			return withExitCode(failure)
		}
		if failure.Verdict != verdict.NotRun {
			unknownOutcome = failure
		}
		if !clock.Pause(ctx, retryPause) {
			if unknownOutcome != nil {
				return withExitCode(unknownOutcome)
			}
			return withExitCode(failure)
		}
	}
}

// tryEachAddress tries each address once. It returns nil after an answer, otherwise a
// failure whose outcome is unknown, if there is one.
func (o *operator) tryEachAddress(ctx context.Context, command string, body []byte, response any) *verdict.Error {
	var worst *verdict.Error
	for _, address := range o.addresses {
		failure := o.attempt(ctx, address, command, body, response)
		if failure == nil || final(failure) {
			return failure
		}
		if worst == nil || worst.Verdict == verdict.NotRun {
			worst = failure
		}
	}
	return worst
}

func (o *operator) attempt(ctx context.Context, address, command string, body []byte, response any) *verdict.Error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err := o.clients.At(address).Operate(ctx, &rpc.OperateRequest{Command: command, Body: body})
	if err != nil {
		return verdict.From(rpc.FromTwirp(err))
	}
	if err := json.Unmarshal(answer.Body, response); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonInternal, "malformed answer")
	}
	return nil
}

// final reports whether every instance would return the same error.
func final(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonBadRequest, verdict.ReasonUnauthorized, verdict.ReasonNotFound:
		return true
	default:
		return false
	}
}

// withExitCode wraps an error with its exit code.
func withExitCode(e *verdict.Error) error {
	switch {
	case e.Reason == verdict.ReasonBadRequest, e.Reason == verdict.ReasonUnauthorized:
		return &ExitError{Code: ExitUsage, Err: e}
	case e.Reason == verdict.ReasonConflict:
		return &ExitError{Code: ExitConflict, Err: e}
	case e.Verdict == verdict.NotRun:
		return &ExitError{Code: ExitFailed, Err: e}
	default:
		return &ExitError{Code: ExitUnknown, Err: e}
	}
}
