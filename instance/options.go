package instance

import (
	"net"

	"github.com/sirupsen/logrus"

	"celeryport/settings"
)

// Options are what an instance is run from.
type Options struct {
	Process *settings.Process
	Log     logrus.FieldLogger
	Traffic net.Listener             // nil: listen on Process.Listen
	Control net.Listener             // nil: listen on Process.ControlListen
	Adapter *Adapter                 // of an instance that does not serve completions
	Changes <-chan *settings.Process // process settings that changed while it runs; nil: none
}
