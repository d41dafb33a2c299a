package cli

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// A fleet is given free addresses and starts its processes one after the other. Until
// a process listens, another program that lets the kernel choose a port may be given
// that very one. The process then ends, and operators get answers of a stranger at its
// address for as long as that one runs.
func TestFreeAddressesStayReserved(t *testing.T) {
	for _, address := range freeAddresses(t, 3) {
		if taken, err := listenInRangeOf(address); err == nil {
			_ = taken.Close()
			t.Errorf("the kernel gave %s to a listener that named no port", address)
		}
		named, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("who names %s does not get it: %v", address, err)
			continue
		}
		_ = named.Close()
	}
}

// listenInRangeOf listens at a port that the kernel chooses, out of the one port of the
// address.
func listenInRangeOf(address string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var failed error
		err := conn.Control(func(fd uintptr) {
			onlyPort := at.Port<<16 | at.Port
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, onlyPort)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}
