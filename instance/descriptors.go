package instance

import (
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
