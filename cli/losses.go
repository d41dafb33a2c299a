package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	urfave "github.com/urfave/cli/v3"

	"celeryport/losses"
)

// flagLossesJSON asks for the tables as JSON.
const flagLossesJSON = "json"

// lossesCommand says where answers in time were lost, from logs alone.
func lossesCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:      "losses",
		Usage:     "say which forwarded calls were not answered in time, by route, cause and moment, from the logs of all instances",
		ArgsUsage: "LOG...",
		Flags:     []urfave.Flag{&urfave.BoolFlag{Name: flagLossesJSON, Usage: "print JSON"}},
		Action: func(_ context.Context, c *urfave.Command) error {
			lines, unread, err := readLogs(c.Args().Slice())
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			if unread > 0 {
				fmt.Fprintf(stderr, "celeryport: %d lines are no whole log lines and were passed over\n", unread)
			}
			table := losses.Of(lines)
			if c.Bool(flagLossesJSON) {
				return writeJSON(stdout, table)
			}
			return writeLosses(stdout, &table)
		},
	}
}

func writeLosses(out io.Writer, table *losses.Table) error {
	heading := []string{"route", "calls", "prompt", "cause", "of calls", "lost %"}
	for _, m := range losses.Moments() {
		heading = append(heading, string(m))
	}
	var rows [][]string
	for i := range table.Routes {
		o := &table.Routes[i]
		row := []string{o.Route, strconv.Itoa(o.Calls), strconv.Itoa(int(o.Prompt)), "(owed)", "", inPercent(o.Lost)}
		rows = append(rows, append(row, percents(o.ByMoment)...))
		for j := range table.Rows {
			r := &table.Rows[j]
			if r.Route == o.Route {
				row := []string{"", "", "", string(r.Cause), strconv.Itoa(r.Calls), inPercent(r.Lost)}
				rows = append(rows, append(row, percents(r.ByMoment)...))
			}
		}
	}
	return writeTable(out, heading, rows)
}

func percents(by map[losses.Moment]float64) []string {
	cells := make([]string, 0, len(losses.Moments()))
	for _, m := range losses.Moments() {
		cells = append(cells, inPercent(by[m]))
	}
	return cells
}

func inPercent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) }
