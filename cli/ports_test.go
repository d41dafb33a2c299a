package cli

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against a printed address that the kernel assigns to another program before
// the process it is meant for listens there. The process would then fail to start, and
// its clients would reach the other program.
func TestFreeAddressesStayReserved(t *testing.T) {
	for _, address := range freeAddresses(t, 3) {
		if taken, err := listenInRangeOf(address); err == nil {
			_ = taken.Close()
			t.Errorf("the kernel assigned %s to a listener on port 0", address)
		}
		named, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("can't listen on %s explicitly: %v", address, err)
			continue
		}
		_ = named.Close()
	}
}

// listenInRangeOf listens on a port chosen by the kernel, with a port range that holds
// only the port of the address.
func listenInRangeOf(address string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			onlyPort := at.Port<<16 | at.Port
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, onlyPort)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}
