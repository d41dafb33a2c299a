package settings

import (
	"net"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
)

// listenAddress is an address on which a process listens for TCP connections.
type listenAddress struct {
	section string
	key     string
	text    string // host:port
}

// listenAddresses returns the addresses on which the process listens, or would if its duty were
// another one. The addresses of auxiliary services matter only to the duties that have them.
func listenAddresses(p *Process) []listenAddress {
	all := []listenAddress{{listenSchema.kind, "address", p.Listen}}
	if p.Serves != ServesCompletions {
		all = append(all,
			listenAddress{listenSchema.kind, "readiness", p.Readiness},
			listenAddress{listenSchema.kind, "directory", p.Directory},
			listenAddress{listenSchema.kind, "metrics", p.Metrics},
		)
	}
	all = append(all, listenAddress{controlSchema.kind, "address", p.ControlListen})
	var given []listenAddress
	for _, a := range all {
		if a.text != "" {
			given = append(given, a)
		}
	}
	return given
}

// checkListenAddresses finds addresses of which the second could never be bound, or would take
// the place of the first.
func checkListenAddresses(p *Process, faults *collector) {
	all := listenAddresses(p)
	for i, a := range all {
		for _, earlier := range all[:i] {
			if collide(earlier.text, a.text) {
				faults.add(a.section, a.key, "same address as "+earlier.key+" in ["+earlier.section+"]", "different addresses; a wildcard host includes all others")
				break
			}
		}
	}
}

// collide reports whether a process can't listen on both addresses.
func collide(a, b string) bool {
	hostA, portA, errA := splitAddress(a)
	hostB, portB, errB := splitAddress(b)
	if errA != nil || errB != nil || portA != portB {
		return false // a malformed address is a fault of its own
	}
	return hostA == hostB || isWildcard(hostA) || isWildcard(hostB)
}

// isWildcard reports whether a socket at a host takes the connections to all addresses, of either
// family: package net opens the same socket for 0.0.0.0 as for [::] where there is IPv6.
func isWildcard(host string) bool {
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsUnspecified()
}

var errPort = errors.New("the port is not between 1 and 65535")

// splitAddress returns the host of an address in its usual form, and its port.
func splitAddress(text string) (string, int, error) {
	host, digits, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, errors.Wrap(err, "address")
	}
	port, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || port == 0 {
		return "", 0, errPort
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		host = ip.Unmap().String()
	}
	return host, int(port), nil
}
