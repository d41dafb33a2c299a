package cli

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"
)

const flagCount = "count"

// portsCommand prints free loopback addresses, for scripts that must write the
// addresses of processes into settings before they start them.
func portsCommand(stdout io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "ports",
		Usage: "print free loopback addresses, one a line",
		Flags: []urfave.Flag{&urfave.IntFlag{Name: flagCount, Value: 1, Usage: "how `MANY`"}},
		Action: func(_ context.Context, c *urfave.Command) error {
			return printFreeAddresses(stdout, c.Int(flagCount))
		},
	}
}

// printFreeAddresses holds all listeners until the last is open, so that no
// address is printed twice.
func printFreeAddresses(stdout io.Writer, count int) error {
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "look for a free port")
		}
		defer func() { _ = listener.Close() }()
		fmt.Fprintln(stdout, listener.Addr())
	}
	return nil
}
