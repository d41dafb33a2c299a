package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/settings"
)

// checkResult is the result for one file, also in the JSON output.
type checkResult struct {
	File   string          `json:"file"`
	Kind   string          `json:"kind"`
	Faults settings.Faults `json:"faults"`
}

// settingsCheckCommand validates settings files of both kinds offline.
func settingsCheckCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:      "check",
		Usage:     "check settings files, both trees and process settings",
		ArgsUsage: "FILE...",
		Flags:     []urfave.Flag{outputFlag(outputTable, outputJSON)},
		Action: func(_ context.Context, c *urfave.Command) error {
			return checkFiles(stdout, c.Args().Slice(), c.String(outputName))
		},
	}
}

func checkFiles(stdout io.Writer, files []string, output string) error {
	if len(files) == 0 {
		return &ExitError{Code: ExitUsage, Err: errors.New("settings check needs at least one file")}
	}
	var results []checkResult
	faults := 0
	for _, file := range files {
		result := checkFile(file)
		faults += len(result.Faults)
		results = append(results, result)
	}
	if err := printCheck(stdout, results, output); err != nil {
		return err
	}
	if faults > 0 {
		return &ExitError{Code: ExitUsage, Err: errors.Newf("faults in the settings: %d, files checked: %d", faults, len(files))}
	}
	return nil
}

func checkFile(file string) checkResult {
	text, err := os.ReadFile(file)
	if err != nil {
		unreadable := settings.Fault{File: file, Problem: "can't be read: " + err.Error(), Allowed: "a readable file"}
		return checkResult{File: file, Kind: "unknown", Faults: settings.Faults{unreadable}}
	}
	kind, err := settings.Check(file, text)
	result := checkResult{File: file, Kind: kind.String()}
	if err != nil && !errors.As(err, &result.Faults) {
		result.Faults = settings.Faults{{File: file, Problem: err.Error()}}
	}
	return result
}

func printCheck(stdout io.Writer, results []checkResult, output string) error {
	if output == outputJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	for _, r := range results {
		if len(r.Faults) == 0 {
			fmt.Fprintf(stdout, "%s: %s settings are good\n", r.File, r.Kind)
			continue
		}
		fmt.Fprintln(stdout, r.Faults.Error())
	}
	return nil
}
