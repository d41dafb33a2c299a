package instance

import (
	"net"

	"golang.org/x/sys/unix"

	"celeryport/connlimit"
	"celeryport/settings"
)

// connectionLimits divides the descriptors of this process, of which the settings or the kernel
// state how many there are.
func connectionLimits(p *settings.Process) connlimit.Limits {
	descriptors := int64(p.Descriptors)
	kernel, err := resourceLimit(unix.RLIMIT_NOFILE)
	if err == nil && kernel > 0 && (descriptors == 0 || kernel < descriptors) {
		descriptors = kernel // otherwise the stated limit decides alone
	}
	return connlimit.Divide(int(descriptors), p.MaxConnections, p.Serves != settings.ServesControl)
}

// limitAuxiliary bounds the connections at an address of readiness, directory or metrics.
func (f *forwarding) limitAuxiliary(address string, listener net.Listener) net.Listener {
	limit := f.limits.Probes
	if address == f.options.Process.Directory {
		limit = f.limits.Directory
	}
	return connlimit.New(listener, connlimit.Options{Limit: limit, Log: f.options.Log})
}
