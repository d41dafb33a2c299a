package instance

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"celeryport/forward"
	"celeryport/settings"
)

// Options configure an instance.
type Options struct {
	Process *settings.Process
	Log     logrus.FieldLogger
	Traffic net.Listener             // nil to listen on Process.Listen
	Control net.Listener             // nil to listen on Process.ControlListen
	Dial    forward.Dial             // opens the connections of forwarded calls to upstreams; nil: TCP
	Adapter *Adapter                 // for instances that do not serve completions
	Changes <-chan *settings.Process // process settings that change while the instance runs; nil if they never change
	// Collectors are registered with the metrics of the process.
	Collectors []prometheus.Collector
}
