package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	urfave "github.com/urfave/cli/v3"

	"celeryport/clock"
	"celeryport/control"
	"celeryport/control/state"
	"celeryport/settings"
)

const (
	flagFile    = "file"
	flagBase    = "base"
	flagOrderID = "order-id"
	flagWait    = "wait"
)

// settingsApplyCommand replaces the settings tree of the fleet.
func settingsApplyCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "apply",
		Usage: "replace the settings tree; of several orders on the same base only one succeeds",
		Flags: operatorFlags(
			&urfave.StringFlag{Name: flagFile, Usage: "file with the settings tree", Required: true},
			&urfave.Uint64Flag{Name: flagBase, Usage: "revision that the file is based on; default: the accepted revision"},
			&urfave.StringFlag{Name: flagOrderID, Usage: "id of the order; reuse it to retry an order"},
			&urfave.DurationFlag{Name: flagWait, Usage: "how long to wait until the revision is in force everywhere"},
		),
		Action: func(ctx context.Context, c *urfave.Command) error {
			a := applier{stdout: stdout, stderr: stderr, output: c.String(outputName), wait: c.Duration(flagWait)}
			return a.run(ctx, c)
		},
	}
}

// applier executes one settings apply command.
type applier struct {
	stdout, stderr io.Writer
	output         string
	wait           time.Duration
	operator       *operator
}

// applyResult is the JSON output.
type applyResult struct {
	OrderID string        `json:"order_id"`
	Base    uint64        `json:"base"`
	Outcome state.Outcome `json:"outcome"`
	InForce bool          `json:"in_force"` // true if in force everywhere before --wait expired
}

func (a *applier) run(ctx context.Context, c *urfave.Command) error {
	text, err := os.ReadFile(c.String(flagFile))
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	if _, err := settings.ParseTree(c.String(flagFile), text); err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	if a.operator, err = newOperator(c); err != nil {
		return err
	}
	request := control.ApplyRequest{OrderID: c.String(flagOrderID), File: c.String(flagFile), Text: text}
	if request.Base, err = a.base(ctx, c); err != nil {
		return err
	}
	if request.OrderID == "" {
		if request.OrderID, err = newOrderID(); err != nil {
			return err
		}
		fmt.Fprintf(a.stderr, "order %s on base %d\n", request.OrderID, request.Base)
	}
	result := applyResult{OrderID: request.OrderID, Base: request.Base}
	if err := a.operator.call(ctx, control.CommandApply, request, &result.Outcome); err != nil {
		return err
	}
	return a.report(ctx, result)
}

// newOrderID returns a random id that includes its time, so that operators can
// recognise old orders in listings.
func newOrderID() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), errors.Wrap(err, "draw an order id")
}

func (a *applier) base(ctx context.Context, c *urfave.Command) (uint64, error) {
	if c.IsSet(flagBase) {
		return c.Uint64(flagBase), nil
	}
	if c.IsSet(flagOrderID) {
		// A retried order must have the same base as the first attempt.
		return 0, &ExitError{Code: ExitUsage, Err: errors.Newf("--%s needs --%s", flagOrderID, flagBase)}
	}
	var status control.SettingsStatus
	err := a.operator.call(ctx, control.CommandShow, nil, &status)
	return status.Accepted.Number, readOnlyError(err)
}

func (a *applier) report(ctx context.Context, result applyResult) error {
	if result.Outcome.Kind == state.Accepted && a.wait > 0 {
		result.InForce = a.awaitInForce(ctx, result.Outcome.Revision)
	}
	if err := a.print(&result); err != nil {
		return err
	}
	outcome := result.Outcome
	switch outcome.Kind {
	case state.Accepted:
		return nil
	case state.Conflict:
		return &ExitError{Code: ExitConflict, Err: errors.Newf(
			"conflict: another operator's order %s already made revision %d from base %d; accepted now: %d",
			outcome.Winner.OrderID, outcome.Winner.Number, outcome.Winner.Base, outcome.Current)}
	case state.Reused:
		return &ExitError{Code: ExitUsage, Err: errors.Newf("order id %s was used for another order", result.OrderID)}
	default:
		return &ExitError{Code: ExitUnknown, Err: errors.Newf(
			"orders as old as this one are forgotten: it was not run now, and what came of its first sending is unknown; accepted now: %d",
			outcome.Current)}
	}
}

// awaitInForce waits for at most a.wait until the revision or a newer one is in force
// everywhere, and reports whether it is.
func (a *applier) awaitInForce(ctx context.Context, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, a.wait)
	defer cancel()
	for {
		var status control.SettingsStatus
		if a.operator.call(ctx, control.CommandShow, nil, &status) == nil && status.InForce >= revision {
			return true
		}
		if !clock.Pause(ctx, retryPause) {
			return false
		}
	}
}

func (a *applier) print(result *applyResult) error {
	if a.output == outputJSON {
		return writeJSON(a.stdout, result)
	}
	if result.Outcome.Kind != state.Accepted {
		return nil
	}
	fmt.Fprintf(a.stdout, "accepted as revision %d\n", result.Outcome.Revision)
	switch {
	case result.InForce:
		fmt.Fprintln(a.stdout, "in force everywhere")
	case a.wait > 0:
		fmt.Fprintln(a.stdout, "not yet in force everywhere; see settings show")
	}
	return nil
}

// readOnlyError replaces ExitUnknown by ExitFailed for commands that change nothing.
func readOnlyError(err error) error {
	var exit *ExitError
	if errors.As(err, &exit) && exit.Code == ExitUnknown {
		return &ExitError{Code: ExitFailed, Err: exit.Err}
	}
	return err
}
