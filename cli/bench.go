package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/bench"
)

// benchCommand benchmarks scheduling decisions on a virtual clock.
func benchCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "bench",
		Usage: "benchmark admission, routing and queueing against a naive baseline, on a virtual clock",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "row", Usage: "only rows whose name contains `TEXT`, such as aretusa/80% or engine-dies"},
			&urfave.IntFlag{Name: "seeds", Value: 3, Usage: "runs of each row"},
			&urfave.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
			&urfave.BoolFlag{Name: "list", Usage: "print the names of the rows"},
		},
		Action: func(_ context.Context, c *urfave.Command) error {
			if c.Bool("list") {
				return listRows(stdout)
			}
			return runBench(stdout, c)
		},
	}
}

func listRows(stdout io.Writer) error {
	for _, row := range bench.Rows() {
		fmt.Fprintln(stdout, row.Name())
	}
	return nil
}

// benchReport is the JSON output.
type benchReport struct {
	Rows []*bench.MeasuredRow `json:"rows"`
	Bars []bench.Criterion    `json:"bars"`
}

func runBench(stdout io.Writer, c *urfave.Command) error {
	format := c.String("output")
	if format != "table" && format != "json" {
		return &ExitError{Code: ExitUsage, Err: errors.Newf("--output %q: table or json", format)}
	}
	measured := bench.Run(bench.Options{Filter: c.String("row"), Seeds: c.Int("seeds")})
	if len(measured) == 0 {
		return &ExitError{Code: ExitUsage, Err: errors.Newf("no row is called %q; see --list", c.String("row"))}
	}
	bars := bench.Criteria(measured)
	if format == "json" {
		if err := json.NewEncoder(stdout).Encode(benchReport{Rows: measured, Bars: bars}); err != nil {
			return errors.Wrap(err, "write the report")
		}
	} else {
		bench.WriteTable(stdout, measured)
	}
	return checkBars(bars)
}

// checkBars returns an error if any figure misses its threshold, so that scripts
// can rely on the exit code.
func checkBars(bars []bench.Criterion) error {
	failed := 0
	for _, bar := range bars {
		if !bar.Pass {
			failed++
		}
	}
	if failed > 0 {
		return &ExitError{Code: ExitFailed, Err: errors.Newf("%d of %d figures miss their bar", failed, len(bars))}
	}
	return nil
}
