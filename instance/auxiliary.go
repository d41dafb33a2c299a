package instance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/binding"
	"celeryport/bodylimit"
	"celeryport/connlimit"
	"celeryport/supervise"
)

const (
	auxiliaryReadTimeout = 3 * time.Second
	auxiliaryIdleTimeout = 30 * time.Second
	auxiliaryHeaderBytes = 16 << 10
	auxiliaryBodyBytes   = 64 << 10 // nobody sends a body there
	// auxiliaryGrace is how long requests that are being answered may take after the stop.
	auxiliaryGrace = 100 * time.Millisecond
)

// auxiliary serves an address that callers' requests don't need, such as that of the metrics.
type auxiliary struct {
	log      logrus.FieldLogger
	purpose  string
	address  string
	handler  http.Handler
	listener net.Listener

	connections int // at a time; 0: no limit
}

func (a *auxiliary) component() supervise.Component {
	return supervise.Component{Name: a.purpose, Kind: supervise.Reopened, Open: a.open, Run: a.run}
}

func (a *auxiliary) open(ctx context.Context) (err error) {
	a.listener, err = binding.TCP(ctx, a.log, a.purpose, a.address)
	return err
}

func (a *auxiliary) run(ctx context.Context) error {
	idle := connlimit.NewIdle()
	server := &http.Server{
		Handler:           bodylimit.Handler(connlimit.StateIdle(a.handler), bodylimit.Limit{Bytes: auxiliaryBodyBytes, Time: auxiliaryReadTimeout}),
		ReadHeaderTimeout: auxiliaryReadTimeout, MaxHeaderBytes: auxiliaryHeaderBytes, IdleTimeout: auxiliaryIdleTimeout, ConnState: idle.Track,
	}
	ended := make(chan struct{})
	release := context.AfterFunc(ctx, func() {
		defer close(ended)
		shutDown(server)
	})
	err := server.Serve(connlimit.New(a.listener, connlimit.Options{Limit: a.connections, Log: a.log, Idle: idle}))
	if !release() {
		<-ended
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", a.address)
	}
	return nil
}

// shutDown closes the connections of a server once their requests are answered, at the latest after
// auxiliaryGrace.
func shutDown(server *http.Server) {
	bounded, cancel := context.WithTimeout(context.Background(), auxiliaryGrace)
	defer cancel()
	if server.Shutdown(bounded) != nil {
		_ = server.Close() // its error is that of a listener that is closed already
	}
}
