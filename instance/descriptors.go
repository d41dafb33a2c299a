package instance

import (
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"celeryport/connlimit"
	"celeryport/event"
	"celeryport/settings"
)

// connectionLimits divides the descriptors of this process, of which the settings and the kernel
// state how many there are.
func connectionLimits(p *settings.Process, log logrus.FieldLogger) connlimit.Limits {
	kernel, err := resourceLimit(unix.RLIMIT_NOFILE)
	descriptors, source := connlimit.Smaller(p.Descriptors, kernel)
	limits := connlimit.Divide(descriptors, p.MaxConnections, p.Serves != settings.ServesControl)
	fields := event.Fields{
		"descriptors": descriptors, "decided_by": source,
		"callers": limits.Callers, "control": limits.Control, "directory": limits.Directory, "probes": limits.Probes,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	eventConnectionLimits.Log(log, fields)
	return limits
}
