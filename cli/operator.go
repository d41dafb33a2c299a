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

// The flags of every operator's command.
const (
	flagTo      = "to"
	flagKeyFile = "key-file"
	flagTimeout = "timeout"
	keyVariable = "CELERYPORT_OPERATOR_KEY"
)

const (
	defaultTimeout = 15 * time.Second
	askTimeout     = 6 * time.Second // of one attempt, above what an instance takes at most
	askPause       = 200 * time.Millisecond
)

// operatorFlags returns the common flags and those of one command.
func operatorFlags(own ...urfave.Flag) []urfave.Flag {
	return connectFlags(append([]urfave.Flag{outputFlag(outputTable, outputJSON)}, own...)...)
}

// connectFlags is operatorFlags for a command with other forms of output.
func connectFlags(own ...urfave.Flag) []urfave.Flag {
	return append([]urfave.Flag{
		&urfave.StringSliceFlag{Name: flagTo, Usage: "control addresses to try in turn, separated by commas", Required: true},
		&urfave.StringFlag{Name: flagKeyFile, Usage: "file with the operator key; without it $" + keyVariable},
		&urfave.DurationFlag{Name: flagTimeout, Usage: "how long to go on trying", Value: defaultTimeout},
	}, own...)
}

// operator sends commands to a fleet.
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

// operatorKey reads the key from a file or the environment, never from an
// argument, which other users of the machine could read.
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

// ask sends a command to one address after the other until one answers or the
// time is over. Every command may be sent again: orders carry an id, and the
// rest reads or goes on where it stopped. If any attempt may have been executed
// and none was answered, the outcome is unknown.
func (o *operator) ask(ctx context.Context, command string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode the command")
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	var unknown *verdict.Error
	for {
		failed := o.round(ctx, command, body, response)
		if failed == nil {
			return nil
		}
		if final(failed) {
			return exitOf(failed)
		}
		if failed.Verdict != verdict.NotRun {
			unknown = failed
		}
		if !clock.Pause(ctx, askPause) {
			if unknown != nil {
				return exitOf(unknown)
			}
			return exitOf(failed)
		}
	}
}

// round tries each address once. It returns nil after an answer, and otherwise
// the failure that leaves most open.
func (o *operator) round(ctx context.Context, command string, body []byte, response any) *verdict.Error {
	var worst *verdict.Error
	for _, address := range o.addresses {
		failed := o.attempt(ctx, address, command, body, response)
		if failed == nil || final(failed) {
			return failed
		}
		if worst == nil || worst.Verdict == verdict.NotRun {
			worst = failed
		}
	}
	return worst
}

func (o *operator) attempt(ctx context.Context, address, command string, body []byte, response any) *verdict.Error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// final reports whether no other instance would answer otherwise.
func final(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonBadRequest, verdict.ReasonUnauthorized, verdict.ReasonNotFound:
		return true
	default:
		return false
	}
}

// exitOf gives an error its exit code.
func exitOf(e *verdict.Error) error {
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
