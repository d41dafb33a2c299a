package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/slopes"
)

const (
	flagSlopesFile    = "file"
	defaultSlopesFile = "docs/slopes.json"
	slopesMode        = 0o644
)

// slopesCommand measures what control costs on this machine.
func slopesCommand(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "slopes",
		Usage: "measure what control costs for each instance, upstream and change, and write the figures to a file",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: flagSlopesFile, Usage: "`FILE` for the figures", Value: defaultSlopesFile},
		},
		Action: func(_ context.Context, c *urfave.Command) error {
			result, err := slopes.Run(func(format string, args ...any) { fmt.Fprintf(stderr, format+"\n", args...) })
			if err != nil {
				return err
			}
			if err := writeSlopes(c.String(flagSlopesFile), result); err != nil {
				return err
			}
			return printSlopes(stdout, result)
		},
	}
}

func writeSlopes(path string, result *slopes.Result) error {
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the figures")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), slopesMode), "write the figures")
}

func printSlopes(out io.Writer, r *slopes.Result) error {
	var rows [][]string
	for _, i := range append(append([]slopes.Idle(nil), r.Instances...), r.Upstreams...) {
		rows = append(rows, []string{
			fmt.Sprint(i.Instances), fmt.Sprint(i.Upstreams), fmt.Sprintf("%.0f", i.InstanceBytes), fmt.Sprintf("%.1f", i.InstanceCalls),
			fmt.Sprintf("%.0f", i.LeaderBytes), fmt.Sprintf("%.2f%%", percent*i.CPUPerInstance), fmt.Sprintf("%.0f", i.HeapPerInstance),
		})
	}
	heading := []string{"INSTANCES", "UPSTREAMS", "B/S", "CALLS/S", "LEADER B/S", "CPU EACH", "HEAP EACH"}
	if err := writeTable(out, heading, rows); err != nil {
		return err
	}
	c := r.Changes
	fmt.Fprintf(out, "commit ms p50 %.1f p99 %.1f; installed everywhere p50 %.1f p99 %.1f; in force p50 %.1f p99 %.1f\n",
		c.CommitMs.P50, c.CommitMs.P99, c.EverywhereMs.P50, c.EverywhereMs.P99, c.InForceMs.P50, c.InForceMs.P99)
	fmt.Fprintf(out, "a change: %.0f bytes, %.2f calls, %.2f ms of processor for each instance\n",
		c.BytesEach, c.CallsEach, millisecondsPerSecond*c.CPUEach)
	fmt.Fprintf(out, "new leader ms p50 %.0f max %.0f\n", r.Elections.P50, r.Elections.Max)
	fmt.Fprintf(out, "majority lost: the last instance stops after ms p50 %.0f max %.0f; back: all admit after p50 %.0f max %.0f\n",
		r.Outages.StopMs.P50, r.Outages.StopMs.Max, r.Outages.ResumeMs.P50, r.Outages.ResumeMs.Max)
	for _, k := range r.Claims {
		fmt.Fprintf(out, "%d callers: %.0f claims/s, ms p50 %.1f p99 %.1f, %.0f bytes each\n",
			k.Concurrent, k.PerSecond, k.LatencyMs.P50, k.LatencyMs.P99, k.BytesEach)
	}
	for _, k := range r.CatchUp {
		fmt.Fprintf(out, "catch-up after %d changes: %.2f s, %.0f bytes\n", k.Changes, k.Seconds, k.Bytes)
	}
	return nil
}

const (
	percent               = 100
	millisecondsPerSecond = 1000
)
