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
// address is printed twice, and leaves each port reserved for whoever names it.
func printFreeAddresses(stdout io.Writer, count int) error {
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "look for a free port")
		}
		defer func() { _ = listener.Close() }()
		if err := reservePort(listener); err != nil {
			return errors.Wrap(err, "reserve a free port")
		}
		fmt.Fprintln(stdout, listener.Addr())
	}
	return nil
}

// reservePort leaves a connection in TIME-WAIT at the listener's port, which the
// kernel keeps for a minute. Until then it gives the port neither to a listener that
// names none nor to an outgoing connection, while one that names it gets it.
// Without that, a process that lets the kernel choose takes the port of one that is
// still starting: that one ends, since its address is in use, and callers that expect
// it meet a stranger's answers.
func reservePort(listener net.Listener) error {
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	if err != nil {
		return errors.Wrap(err, "accept")
	}
	if err := server.Close(); err != nil { // the side that closes first waits
		return errors.Wrap(err, "close the accepted connection")
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "await the end of the connection")
	}
	return nil
}
