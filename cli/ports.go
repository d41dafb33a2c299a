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

// portsCommand prints free loopback addresses, for scripts that write the
// addresses of processes into settings before they start the processes.
func portsCommand(stdout io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "ports",
		Usage: "print free loopback addresses, one per line",
		Flags: []urfave.Flag{&urfave.IntFlag{Name: flagCount, Value: 1, Usage: "number of addresses"}},
		Action: func(_ context.Context, c *urfave.Command) error {
			return printFreeAddresses(stdout, c.Int(flagCount))
		},
	}
}

// printFreeAddresses keeps all listeners open until the last one is, so that no
// address is printed twice, and reserves each port; see reservePort.
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

// reservePort leaves a connection in TIME-WAIT on the listener's port for about a
// minute. During that time the kernel does not assign the port to listeners on port
// 0 or to outgoing connections, but a listener can bind to it explicitly. Otherwise
// another process could get the port of one that is still starting: the starting
// process would fail with "address in use", and its callers would reach the other
// process.
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
	if err := server.Close(); err != nil { // the side that closes first enters TIME-WAIT
		return errors.Wrap(err, "close the accepted connection")
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "await the end of the connection")
	}
	return nil
}
