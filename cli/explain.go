package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/explain"
)

const flagLog = "log"

// explainCommand reconstructs the outcome of one call from logs.
func explainCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:      "explain",
		Usage:     "explain the outcome of one forwarded call, from the logs of any instances",
		ArgsUsage: "CALL-ID",
		Flags: []urfave.Flag{
			&urfave.StringSliceFlag{Name: flagLog, Usage: "log `FILE`; repeatable; default: standard input"},
		},
		Action: func(_ context.Context, c *urfave.Command) error {
			if c.Args().Len() != 1 {
				return &ExitError{Code: ExitUsage, Err: errors.New("name exactly one call id")}
			}
			lines, skipped, err := readLogs(c.StringSlice(flagLog))
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			if skipped > 0 {
				fmt.Fprintf(stderr, "celeryport: skipped %d lines that are not complete log lines\n", skipped)
			}
			story, found := explain.StoryOf(lines, c.Args().First())
			if !found {
				return errors.Newf("none of %d log lines names the call %s; it did not reach these instances, or their logs are not whole", len(lines), story.Call)
			}
			printStory(stdout, &story)
			return nil
		},
	}
}

func readLogs(paths []string) ([]explain.Line, int, error) {
	if len(paths) == 0 {
		return explain.Read(os.Stdin)
	}
	var all []explain.Line
	total := 0
	for _, path := range paths {
		lines, skipped, err := readLog(path)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, lines...)
		total += skipped
	}
	return all, total, nil
}

func readLog(path string) ([]explain.Line, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open a log")
	}
	lines, skipped, err := explain.Read(file)
	return lines, skipped, errors.CombineErrors(err, file.Close())
}

func printStory(out io.Writer, story *explain.Story) {
	fmt.Fprintln(out, story.Cause)
	for _, l := range story.Lines {
		fmt.Fprintf(out, "  %s  %s  %d %s  %v\n", l.At.Format("15:04:05.000"), l.Instance, l.Event, l.Message, extraFields(l))
	}
	if len(story.Upstream) > 0 {
		fmt.Fprintln(out, "about the upstreams that it was sent to:")
	}
	for _, l := range story.Upstream {
		fmt.Fprintf(out, "  %s  %s  %d %s  %v\n", l.At.Format("15:04:05.000"), l.Instance, l.Event, l.Message, extraFields(l))
	}
}

// extraFields returns the fields of a line except those that are printed for every line.
func extraFields(l explain.Line) map[string]any {
	fields := map[string]any{}
	for name, value := range l.Fields {
		switch name {
		case "event", "instance", "level", "msg", "time", "call":
		default:
			fields[name] = value
		}
	}
	return fields
}
