package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"celeryport/httpwire"
)

const (
	pathAddresses    = "/v1/addresses"
	addressesTimeout = 3 * time.Second
	addressesBytes   = 1 << 20 // of the response
)

// addressList is the response of pathAddresses.
type addressList struct {
	Addresses []struct {
		Address          string `json:"address"`
		AvailabilityZone string `json:"availability_zone"`
	} `json:"addresses"`
	KeepSeconds int `json:"keep_seconds"`
}

// addressesCommand fetches the address list that callers get.
func addressesCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "addresses",
		Usage: "show the addresses that callers are given",
		Flags: []urfave.Flag{
			&urfave.StringSliceFlag{Name: flagTo, Usage: "comma-separated traffic addresses, tried in order", Required: true},
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

// firstAddresses returns the list of the first address that responds.
func firstAddresses(addresses []string) (*addressList, error) {
	var failures error
	for _, address := range addresses {
		list, err := fetchAddresses(address)
		if err == nil {
			return list, nil
		}
		failures = errors.CombineErrors(failures, errors.Wrap(err, address))
	}
	return nil, failures
}

func fetchAddresses(address string) (*addressList, error) {
	var request fasthttp.Request
	request.SetRequestURI("http://" + address + pathAddresses)
	request.SetConnectionClose()
	var response fasthttp.Response
	if err := exchangeAddresses(fasthttp.AddMissingPort(address, false), &request, &response); err != nil {
		return nil, err
	}
	if status := response.StatusCode(); status != http.StatusOK {
		return nil, errors.Newf("status %d: %s", status, response.Body())
	}
	var list addressList
	return &list, errors.Wrap(json.Unmarshal(response.Body(), &list), "malformed answer")
}

func exchangeAddresses(address string, request *fasthttp.Request, response *fasthttp.Response) error {
	conn, err := net.DialTimeout("tcp", address, addressesTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // a failure has no consequence
	if err := conn.SetDeadline(time.Now().Add(addressesTimeout)); err != nil {
		return err
	}
	if _, err := request.WriteTo(conn); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	if err := httpwire.SkipInterim(reader, nil); err != nil {
		return err
	}
	return response.ReadLimitBody(reader, addressesBytes)
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
