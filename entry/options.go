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

// Options are what a Server is built from.
type Options struct {
	Process    *settings.Process
	Plane      control.Plane
	Dispatcher dispatch.Dispatcher
	Recorder   ledger.Recorder
	Client     *client.Client
	Metrics    fasthttp.RequestHandler // GET /metrics, may be nil
	Burn       fasthttp.RequestHandler // GET /burn for operators, may be nil
	Log        logrus.FieldLogger
	Clock      clock.Clock
}

// holder names one attempt of this incarnation to send a claimed request.
func (o *Options) holder(request string) claim.Holder {
	return claim.Holder{Instance: o.Process.Name, Incarnation: o.Plane.View().Incarnation, Request: request}
}

// advertised is the address that callers are given.
func (o *Options) advertised(listener net.Addr) string {
	if o.Process.Advertise != "" {
		return o.Process.Advertise
	}
	return listener.String()
}
