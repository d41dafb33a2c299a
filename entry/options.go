package entry

import (
	"net"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"celeryport/claim"
	"celeryport/clock"
	"celeryport/control"
	"celeryport/dispatch"
	"celeryport/ledger"
	"celeryport/settings"
	"celeryport/upstream/client"
)

// Options configures a Server.
type Options struct {
	Process    *settings.Process
	Plane      control.Plane
	Dispatcher dispatch.Dispatcher
	Recorder   ledger.Recorder
	Client     *client.Client
	Metrics    fasthttp.RequestHandler // GET /metrics, may be nil
	// CountOutlier counts the upstreams that get no requests any more because they fail them, or that
	// get requests again. It may be nil.
	CountOutlier func(target string, ejected bool)
	Burn         fasthttp.RequestHandler // GET /burn for operators, may be nil
	Log          logrus.FieldLogger
	Clock        clock.Clock
}

// claimHolder returns the holder of a claim for one request of this incarnation.
func (o *Options) claimHolder(request string) claim.Holder {
	return claim.Holder{Instance: o.Process.Name, Incarnation: o.Plane.View().Incarnation, Request: request}
}

// advertisedAddress returns the address that is given to callers.
func (o *Options) advertisedAddress(listener net.Addr) string {
	if o.Process.Advertise != "" {
		return o.Process.Advertise
	}
	return listener.String()
}
