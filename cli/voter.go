package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/consensus"
	"celeryport/control"
)

const (
	flagOld = "old"
	flagNew = "new"
)

// replaceTimeout is the default timeout of a replacement, in which the new voter copies the log.
const replaceTimeout = time.Minute

// voterCommand groups the commands about the voters of the control group.
func voterCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "voter",
		Usage: "list and replace the voters of the control group",
		Commands: []*urfave.Command{
			{
				Name:  "list",
				Usage: "list the voters and learners",
				Flags: operatorFlags(),
				Action: func(ctx context.Context, c *urfave.Command) error {
					return readOnlyError(voterCall(ctx, c, stdout, control.CommandVoterList, nil))
				},
			},
			{
				Name:  "replace",
				Usage: "make an instance a voter and remove an old voter; an interrupted command can be repeated",
				Flags: operatorFlags(
					&urfave.StringFlag{Name: flagOld, Usage: "ID of the voter to remove, from voter list; default: only add"},
					&urfave.StringFlag{Name: flagNew, Usage: "name of the instance that becomes a voter; default: only remove"},
				),
				Action: func(ctx context.Context, c *urfave.Command) error {
					return replaceVoter(ctx, c, stdout)
				},
			},
		},
	}
}

func replaceVoter(ctx context.Context, c *urfave.Command, stdout io.Writer) error {
	request := control.ReplaceRequest{Old: consensus.ID(c.String(flagOld)), New: c.String(flagNew)}
	if request.Old == "" && request.New == "" {
		return &ExitError{Code: ExitUsage, Err: errors.Newf("give --%s, --%s or both", flagOld, flagNew)}
	}
	if !c.IsSet(flagTimeout) {
		if err := c.Set(flagTimeout, replaceTimeout.String()); err != nil {
			return err
		}
	}
	return voterCall(ctx, c, stdout, control.CommandVoterReplace, request)
}

func voterCall(ctx context.Context, c *urfave.Command, stdout io.Writer, command string, request any) error {
	o, err := newOperator(c)
	if err != nil {
		return err
	}
	var status control.VotersStatus
	if err := o.call(ctx, command, request, &status); err != nil {
		return err
	}
	if c.String(outputName) == outputJSON {
		return writeJSON(stdout, status)
	}
	return printVoters(stdout, &status)
}

func printVoters(out io.Writer, s *control.VotersStatus) error {
	fmt.Fprintf(out, "term %d, committed up to %d\n", s.Term, s.Commit)
	rows := make([][]string, 0, len(s.Voters))
	for _, v := range s.Voters {
		role := "voter"
		switch {
		case v.ID == s.Leader:
			role = "leader"
		case v.Learner:
			role = "learner"
		}
		rows = append(rows, []string{string(v.ID), v.Instance, role, v.Address, fmt.Sprint(v.Match)})
	}
	return writeTable(out, []string{"ID", "INSTANCE", "ROLE", "CONTROL", "SYNCED"}, rows)
}
