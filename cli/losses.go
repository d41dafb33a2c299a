package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/explain"
	"celeryport/losses"
	"celeryport/platform"
)

const (
	// flagLossesJSON selects JSON output.
	flagLossesJSON = "json"
	// flagLossesDocument is the path of the platform's settings document, which holds
	// the performance model of the engines.
	flagLossesDocument = "document"
)

// lossesCommand attributes late and failed calls to causes, from logs.
func lossesCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:      "losses",
		Usage:     "report which forwarded calls were not answered in time, by route, cause and moment, from the logs of all instances",
		ArgsUsage: "LOG...",
		Flags: []urfave.Flag{
			&urfave.BoolFlag{Name: flagLossesJSON, Usage: "print JSON"},
			&urfave.StringFlag{Name: flagLossesDocument, Usage: "settings document `FILE` of the platform; prints the achievable rates per route instead"},
		},
		Action: func(_ context.Context, c *urfave.Command) error {
			lines, skipped, err := readLogs(c.Args().Slice())
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			if skipped > 0 {
				fmt.Fprintf(stderr, "celeryport: skipped %d lines that are not complete log lines\n", skipped)
			}
			if file := c.String(flagLossesDocument); file != "" {
				return printReach(stdout, lines, file, c.Bool(flagLossesJSON))
			}
			table := losses.TableOf(lines)
			if c.Bool(flagLossesJSON) {
				return writeJSON(stdout, table)
			}
			if err := writeLosses(stdout, &table); err != nil {
				return err
			}
			fmt.Fprintln(stdout)
			return writeUnserved(stdout, &table)
		},
	}
}

// printReach prints, for each route with prompts, the fraction of the value that was
// served in time and the achievable fraction. It uses the performance model of the
// first engine service of the document.
func printReach(out io.Writer, lines []explain.Line, file string, asJSON bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: errors.Wrap(err, "read the settings document")}
	}
	tree, err := platform.ParseDocument(file, text)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	services := tree.Forwarding.Engines()
	if len(services) == 0 {
		return &ExitError{Code: ExitUsage, Err: errors.Newf("%s names no service with engines", file)}
	}
	reach := losses.ReachOf(lines, tree.Forwarding.Service(services[0]).Engine)
	if asJSON {
		return writeJSON(out, reach)
	}
	var rows [][]string
	for _, r := range reach {
		rows = append(rows, []string{r.Route, strconv.Itoa(r.Calls), formatPercent(r.Reached), formatPercent(r.Reachable)})
	}
	return writeTable(out, []string{"route", "calls", "in time %", "reachable %"}, rows)
}

func writeLosses(out io.Writer, table *losses.Table) error {
	heading := []string{"route", "calls", "prompt", "cause", "of calls", "lost %"}
	for _, m := range losses.Moments() {
		heading = append(heading, string(m))
	}
	var rows [][]string
	for i := range table.Routes {
		o := &table.Routes[i]
		row := []string{o.Route, strconv.Itoa(o.Calls), strconv.Itoa(int(o.Prompt)), "(owed)", "", formatPercent(o.Lost)}
		rows = append(rows, append(row, formatPercents(o.ByMoment)...))
		for j := range table.Rows {
			r := &table.Rows[j]
			if r.Route == o.Route {
				row := []string{"", "", "", string(r.Cause), strconv.Itoa(r.Calls), formatPercent(r.Lost)}
				rows = append(rows, append(row, formatPercents(r.ByMoment)...))
			}
		}
	}
	return writeTable(out, heading, rows)
}

// writeUnserved prints the calls that were not served at all, by route and cause.
func writeUnserved(out io.Writer, table *losses.Table) error {
	var rows [][]string
	for i := range table.Unserved {
		u := &table.Unserved[i]
		rows = append(rows, []string{
			u.Route, strconv.Itoa(u.Calls), "(not served)", strconv.Itoa(u.Count), strconv.FormatFloat(100*u.Share(), 'f', 3, 64), u.Nines.String(),
		})
		for _, cause := range u.Causes() {
			count := u.ByCause[cause]
			rows = append(rows, []string{
				"", "", string(cause), strconv.Itoa(count), "", losses.NinesOf(u.Calls, count).String(),
			})
		}
	}
	return writeTable(out, []string{"route", "calls", "cause", "of calls", "served %", "nines"}, rows)
}

func formatPercents(by map[losses.Moment]float64) []string {
	cells := make([]string, 0, len(losses.Moments()))
	for _, m := range losses.Moments() {
		cells = append(cells, formatPercent(by[m]))
	}
	return cells
}

func formatPercent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) }
