package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/control"
	"celeryport/forward/telemetry"
	"celeryport/quarantine"
	"celeryport/resend"
	"celeryport/settings"
)

// Plane is the control plane as used by the forwarder.
type Plane interface {
	// View returns the current view without blocking.
	View() *control.View
	// ReportEvidence submits evidence about a request whose upstream ended. It does not block.
	ReportEvidence(e quarantine.Evidence)
}

// Dial opens a connection. Tests replace it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Server. All fields except Dial, DialPeer, Random and
// Memory must be set.
type Options struct {
	Process *settings.Process
	Plane   Plane
	Dialect Dialect
	Metrics *telemetry.Metrics
	Log     logrus.FieldLogger
	// Dial opens connections to upstreams, and DialPeer to other instances; nil: TCP.
	Dial     Dial
	DialPeer Dial
	Random   *rand.Rand // nil: randomly seeded
	Budget   resend.Budget
	// Connections is the number of connections that callers may have open; 0: no limit.
	Connections int
	Memory      int64 // limit on the memory of the process in bytes; 0: unknown
}

// Defaults for limits that the settings leave out.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// callerLimits returns the limits of the settings, with defaults for those that are not set.
func callerLimits(view *control.View) settings.CallerLimits {
	var limits settings.CallerLimits
	if view != nil && view.Tree != nil && view.Tree.Forwarding != nil {
		limits = view.Tree.Forwarding.Limits
	}
	if limits.HeaderBytes == 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.BodyBytes == 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	if limits.HeaderTimeout == 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout == 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}
