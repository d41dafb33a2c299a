package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/standin"
)

// errDuplicateExecution is the error of a check that found duplicate executions.
var errDuplicateExecution = errors.New("work under one idempotency key began more than once")

// standinExecutionsCommand looks for duplicate executions in the journals of stand-ins.
func standinExecutionsCommand(stdout io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:      "executions",
		Usage:     "find idempotency keys that were executed more than once, in the journals of all stand-ins",
		ArgsUsage: "JOURNAL...",
		Action: func(_ context.Context, c *urfave.Command) error {
			if c.NArg() == 0 {
				return usageError("standin executions takes journals")
			}
			return runStandinExecutions(c.Args().Slice(), stdout)
		},
	}
}

func runStandinExecutions(paths []string, stdout io.Writer) error {
	executions := standin.NewExecutions()
	for _, path := range paths {
		if err := readJournal(executions, path); err != nil {
			return &ExitError{Code: ExitUsage, Err: err}
		}
	}
	duplicates := executions.Doubled()
	for _, one := range duplicates {
		fmt.Fprintf(stdout, "%s began %d times: %s\n", one.Key, one.Count, strings.Join(one.Upstreams, ", "))
	}
	fmt.Fprintf(stdout, "%d keys, %d doubled\n", executions.Keys(), len(duplicates))
	if len(duplicates) > 0 {
		return &ExitError{Code: ExitFailed, Err: errDuplicateExecution}
	}
	return nil
}

func readJournal(executions *standin.Executions, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the journal")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrapf(executions.Read(file), "%s", path)
}
