package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

const (
	pathAddresses    = "/v1/addresses"
	addressesTimeout = 3 * time.Second
)

// addressList is the answer of pathAddresses.
type addressList struct {
	Addresses []struct {
		Address          string `json:"address"`
		AvailabilityZone string `json:"availability_zone"`
	} `json:"addresses"`
	KeepSeconds int `json:"keep_seconds"`
}

// addressesCommand asks as a caller which addresses to use.
func addressesCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "addresses",
		Usage: "show which addresses callers are given",
		Flags: []urfave.Flag{
			&urfave.StringSliceFlag{Name: flagTo, Usage: "traffic addresses to try in turn, separated by commas", Required: true},
			outputFlag(outputTable, outputJSON),
		},
		Action: func(_ context.Context, c *urfave.Command) error {
			list, err := firstAddresses(c.StringSlice(flagTo))
			if err != nil {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			if c.String(outputName) == outputJSON {
				return writeJSON(stdout, list)
			}
			return printAddresses(stdout, list)
		},
	}
}

// firstAddresses returns the answer of the first instance that gives one.
func firstAddresses(addresses []string) (*addressList, error) {
	var failed error
	for _, address := range addresses {
		list, err := fetchAddresses(address)
		if err == nil {
			return list, nil
		}
		failed = errors.CombineErrors(failed, errors.Wrap(err, address))
	}
	return nil, failed
}

func fetchAddresses(address string) (*addressList, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+pathAddresses, addressesTimeout)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Newf("status %d: %s", status, body)
	}
	var list addressList
	return &list, errors.Wrap(json.Unmarshal(body, &list), "malformed answer")
}

func printAddresses(out io.Writer, list *addressList) error {
	rows := make([][]string, 0, len(list.Addresses))
	for _, a := range list.Addresses {
		rows = append(rows, []string{a.Address, a.AvailabilityZone})
	}
	if err := writeTable(out, []string{"ADDRESS", "ZONE"}, rows); err != nil {
		return err
	}
	fmt.Fprintf(out, "keep for %d s\n", list.KeepSeconds)
	return nil
}
