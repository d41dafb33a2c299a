package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/control"
	"celeryport/quarantine"
	"celeryport/settings"
)

// Plane is what the forwarder sees of control.
type Plane interface {
	// View returns the present view without blocking.
	View() *control.View
	// ReportEvidence hands in what this instance saw of a request whose upstream ended. It
	// does not wait.
	ReportEvidence(e quarantine.Evidence)
}

// Dial opens a connection to an upstream; tests replace it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Server. All but Dial and Random must be set.
type Options struct {
	Process *settings.Process
	Plane   Plane
	Dialect Dialect
	Metrics *Metrics
	Log     logrus.FieldLogger
	Dial    Dial       // nil: TCP
	Random  *rand.Rand // nil: seeded from the machine
	Budget  RepeatBudget
}

// RepeatBudget bounds the sends beyond the first of each call, over all
// instances together.
type RepeatBudget struct {
	Ratio  float64       // of the calls for a service
	Slack  float64       // repeats beyond the ratio, over all instances
	Window time.Duration // any span of this length counts
}

// The limits that hold until settings give others.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// callerLimits returns the limits of the settings, with defaults for what they
// leave out.
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
